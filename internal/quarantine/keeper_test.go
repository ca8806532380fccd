package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

var deadly = Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: []byte("deadly")}

// refuses is the probe of an endpoint that is gone.
func refuses(context.Context, string, string) error {
	return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
}

// newKeeper returns an instance without neighbours.
func newKeeper(self string, log logstore.Keyed, probe Probe) *Keeper {
	return NewKeeper(Options{
		Self: record.InstanceID(self), Log: log, Probe: probe, Neighbours: func() []record.InstanceID { return nil },
		Logs: zerolog.Nop(), Busy: zerolog.Nop(),
	})
}

// startKeepers runs instances on one log.
func startKeepers(t *testing.T, log *standin.Keyed, n int) []*Keeper {
	t.Helper()
	var keepers []*Keeper
	for i := range n {
		k := newKeeper(fmt.Sprint("instance-", i), log, refuses)
		go k.Run(t.Context())
		keepers = append(keepers, k)
	}
	time.Sleep(time.Second)
	for i, k := range keepers {
		if !k.Loaded() {
			t.Fatalf("instance %d has not read the log", i)
		}
	}
	return keepers
}

// endThree has three endpoints end under the content, each seen by another instance.
func endThree(t *testing.T, keepers []*Keeper) {
	t.Helper()
	for i := range 3 {
		if !keepers[i%len(keepers)].Broke(t.Context(), deadly, fmt.Sprint("e", i), "address", 50*time.Millisecond) {
			t.Fatal("endpoint not taken for gone")
		}
		time.Sleep(time.Second)
	}
}

func isHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

func TestAllInstancesHoldWhatEachHasSeenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := startKeepers(t, standin.NewKeyed(), 4)
		endThree(t, keepers[:3])
		for i, k := range keepers {
			if err := k.Admit(t.Context(), deadly); !isHeld(err) {
				t.Errorf("instance %d: %v a second after the third end", i, err)
			}
		}
		other := deadly
		other.Organisation = "other"
		if err := keepers[0].Admit(t.Context(), other); err != nil {
			t.Errorf("another organisation's request: %v", err)
		}
	})
}

func TestOneRetestInTheFleetAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		keepers := startKeepers(t, log, 4)
		endThree(t, keepers[:3])
		admit := func() (tried *Keeper, n int32) {
			var admitted atomic.Int32
			var winner atomic.Pointer[Keeper]
			var all sync.WaitGroup
			for i := range 20 {
				all.Go(func() {
					k := keepers[i%len(keepers)]
					if k.Admit(t.Context(), deadly) == nil {
						admitted.Add(1)
						winner.Store(k)
					}
				})
			}
			all.Wait()
			return winner.Load(), admitted.Load()
		}
		if _, n := admit(); n != 0 {
			t.Errorf("%d admitted while it is held", n)
		}
		time.Sleep(firstHold)
		tried, n := admit()
		if n != 1 {
			t.Fatalf("%d retests, want 1", n)
		}
		if _, n := admit(); n != 0 {
			t.Errorf("%d admitted while a retest is under way", n)
		}
		tried.Broke(t.Context(), deadly, "e9", "address", 50*time.Millisecond)
		time.Sleep(firstHold)
		if _, n := admit(); n != 0 {
			t.Errorf("%d admitted after a retest that failed and the first hold's time", n)
		}
		time.Sleep(holdOf(1))
		if tried, n = admit(); n != 1 {
			t.Fatalf("%d retests after the second hold, want 1", n)
		}
		tried.Answered(deadly)
		time.Sleep(time.Second)
		if _, n := admit(); n != 20 {
			t.Errorf("%d of 20 admitted after an answer", n)
		}
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) > 0 {
			t.Errorf("%d records left, %v", len(page.Records), err)
		}
	})
}

func TestARequestIsRefusedAtOnceWhileTheLogIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		k := startKeepers(t, log, 1)[0]
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		endThree(t, []*Keeper{k})
		time.Sleep(firstHold)
		began := time.Now()
		if err := k.Admit(t.Context(), deadly); !isHeld(err) || time.Since(began) > 0 {
			t.Errorf("%v after %s; want to be held at once", err, time.Since(began))
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) != 1 {
			t.Errorf("%d records after the log is back, %v; want 1", len(page.Records), err)
		}
	})
}

func TestAnEndpointThatTakesConnectionsIsNotGone(t *testing.T) {
	for name, probe := range map[string]Probe{
		"takes them":  func(context.Context, string, string) error { return nil },
		"is silent":   func(ctx context.Context, _, _ string) error { <-ctx.Done(); return ctx.Err() },
		"unreachable": func(context.Context, string, string) error { return syscall.EHOSTUNREACH },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newKeeper("me", standin.NewKeyed(), probe)
				if k.Broke(t.Context(), deadly, "e", "address", time.Second) || len(k.Table.View(time.Now())) > 0 {
					t.Error("reported")
				}
			})
		})
	}
}

func TestUnreadableRecordsArePassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		log.Set(logstore.TopicQuarantine, "no fingerprint", []byte("x"))
		log.Set(logstore.TopicQuarantine, deadly.Fingerprint().String(), []byte("x"))
		keepers := startKeepers(t, log, 2)
		endThree(t, keepers)
		if err := keepers[1].Admit(t.Context(), deadly); !isHeld(err) {
			t.Errorf("%v; want to be held", err)
		}
	})
}

// callerTo reaches keepers by their names, but for those that are cut off.
type callerTo struct {
	keepers map[record.InstanceID]*Keeper
	cut     map[record.InstanceID]bool
}

// Call implements peer.Caller.
func (c callerTo) Call(_ context.Context, to record.InstanceID, method string, args, reply any) error {
	if c.cut[to] || method != ServiceName+".Swap" {
		return fmt.Errorf("%s of %q not reached", method, to)
	}
	return NewExchange(c.keepers[to]).Swap(args.(SwapArgs), reply.(*SwapReply))
}

func TestInstancesOfAZoneTellEachOtherWhileTheLogIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		caller := callerTo{map[record.InstanceID]*Keeper{}, map[record.InstanceID]bool{"instance-4": true}}
		var names []record.InstanceID
		var keepers []*Keeper
		for i := range 5 {
			k := newKeeper(fmt.Sprint("instance-", i), log, refuses)
			k.Caller, k.Neighbours = caller, func() []record.InstanceID {
				return slices.DeleteFunc(slices.Clone(names), func(name record.InstanceID) bool { return name == k.Self })
			}
			names, keepers = append(names, k.Self), append(keepers, k)
			caller.keepers[k.Self] = k
		}
		for _, k := range keepers {
			go k.Run(t.Context())
		}
		time.Sleep(time.Second)
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		endThree(t, keepers[:3])
		time.Sleep(2 * time.Second)
		for i, k := range keepers[:4] {
			if err := k.Admit(t.Context(), deadly); !isHeld(err) {
				t.Errorf("instance %d: %v", i, err)
			}
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		if err := keepers[4].Admit(t.Context(), deadly); !isHeld(err) {
			t.Errorf("the one that was cut off, when the log is back: %v", err)
		}
	})
}
