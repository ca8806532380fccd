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

var crashingContent = Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: []byte("deadly")}

// refusingProbe is the probe of an endpoint that is gone.
func refusingProbe(context.Context, string, string) error {
	return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
}

// newTestSyncer returns an instance without neighbours.
func newTestSyncer(self string, log logstore.Keyed, probe Probe) *Syncer {
	return NewSyncer(Options{
		Self: record.InstanceID(self), Log: log, Probe: probe, Neighbours: func() []record.InstanceID { return nil },
		Logger: zerolog.Nop(), ThinnedLogger: zerolog.Nop(),
	})
}

// startSyncers runs instances on one log.
func startSyncers(t *testing.T, log *standin.Keyed, n int) []*Syncer {
	t.Helper()
	var syncers []*Syncer
	for i := range n {
		s := newTestSyncer(fmt.Sprint("instance-", i), log, refusingProbe)
		go s.Run(t.Context())
		syncers = append(syncers, s)
	}
	time.Sleep(time.Second)
	for i, s := range syncers {
		if !s.Loaded() {
			t.Fatalf("instance %d has not read the log", i)
		}
	}
	return syncers
}

// crashThreeEndpoints has three endpoints end under the content, each seen by another instance.
func crashThreeEndpoints(t *testing.T, syncers []*Syncer) {
	t.Helper()
	for i := range 3 {
		if !syncers[i%len(syncers)].Broke(t.Context(), crashingContent, fmt.Sprint("e", i), "address", 50*time.Millisecond) {
			t.Fatal("endpoint not taken for gone")
		}
		time.Sleep(time.Second)
	}
}

func isQuarantined(err error) bool {
	var quarantined *QuarantinedError
	return errors.As(err, &quarantined)
}

func TestAllInstancesQuarantineAfterThreeInstancesSeeOneCrashEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		syncers := startSyncers(t, standin.NewKeyed(), 4)
		crashThreeEndpoints(t, syncers[:3])
		for i, s := range syncers {
			if err := s.Admit(t.Context(), crashingContent); !isQuarantined(err) {
				t.Errorf("instance %d: %v a second after the third end", i, err)
			}
		}
		other := crashingContent
		other.Organisation = "other"
		if err := syncers[0].Admit(t.Context(), other); err != nil {
			t.Errorf("another organisation's request: %v", err)
		}
	})
}

func TestOneRetestInTheFleetAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		syncers := startSyncers(t, log, 4)
		crashThreeEndpoints(t, syncers[:3])
		admit := func() (admittedBy *Syncer, n int32) {
			var admitted atomic.Int32
			var last atomic.Pointer[Syncer]
			var all sync.WaitGroup
			for i := range 20 {
				all.Go(func() {
					s := syncers[i%len(syncers)]
					if s.Admit(t.Context(), crashingContent) == nil {
						admitted.Add(1)
						last.Store(s)
					}
				})
			}
			all.Wait()
			return last.Load(), admitted.Load()
		}
		if _, n := admit(); n != 0 {
			t.Errorf("%d admitted while it is held", n)
		}
		time.Sleep(initialQuarantine)
		retester, n := admit()
		if n != 1 {
			t.Fatalf("%d retests, want 1", n)
		}
		if _, n := admit(); n != 0 {
			t.Errorf("%d admitted while a retest is under way", n)
		}
		retester.Broke(t.Context(), crashingContent, "e9", "address", 50*time.Millisecond)
		time.Sleep(initialQuarantine)
		if _, n := admit(); n != 0 {
			t.Errorf("%d admitted after a retest that failed and the first hold's time", n)
		}
		time.Sleep(quarantineDuration(1))
		if retester, n = admit(); n != 1 {
			t.Fatalf("%d retests after the second hold, want 1", n)
		}
		retester.Answered(crashingContent)
		time.Sleep(time.Second)
		if _, n := admit(); n != 20 {
			t.Errorf("%d of 20 admitted after an answer", n)
		}
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) > 0 {
			t.Errorf("%d records left, %v", len(page.Records), err)
		}
	})
}

func TestAQuarantinedRequestIsRefusedAtOnceWhileTheLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		s := startSyncers(t, log, 1)[0]
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		crashThreeEndpoints(t, []*Syncer{s})
		time.Sleep(initialQuarantine)
		start := time.Now()
		if err := s.Admit(t.Context(), crashingContent); !isQuarantined(err) || time.Since(start) > 0 {
			t.Errorf("%v after %s; want to be held at once", err, time.Since(start))
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) != 1 {
			t.Errorf("%d records after the log is back, %v; want 1", len(page.Records), err)
		}
	})
}

func TestOnlyARefusedConnectionMeansThatAnEndpointIsGone(t *testing.T) {
	for name, probe := range map[string]Probe{
		"takes them":  func(context.Context, string, string) error { return nil },
		"is silent":   func(ctx context.Context, _, _ string) error { <-ctx.Done(); return ctx.Err() },
		"unreachable": func(context.Context, string, string) error { return syscall.EHOSTUNREACH },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestSyncer("me", standin.NewKeyed(), probe)
				if s.Broke(t.Context(), crashingContent, "e", "address", time.Second) || len(s.Table.View(time.Now())) > 0 {
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
		log.Set(logstore.TopicQuarantine, crashingContent.Fingerprint().String(), []byte("x"))
		syncers := startSyncers(t, log, 2)
		crashThreeEndpoints(t, syncers)
		if err := syncers[1].Admit(t.Context(), crashingContent); !isQuarantined(err) {
			t.Errorf("%v; want to be held", err)
		}
	})
}

// testCaller reaches keepers by their names, but for those that are cut off.
type testCaller struct {
	syncers     map[record.InstanceID]*Syncer
	unreachable map[record.InstanceID]bool
}

// Call implements peer.Caller.
func (c testCaller) Call(_ context.Context, to record.InstanceID, method string, args, reply any) error {
	if c.unreachable[to] || method != ServiceName+".Swap" {
		return fmt.Errorf("%s of %q not reached", method, to)
	}
	return NewPeerService(c.syncers[to]).Swap(args.(SwapArgs), reply.(*SwapReply))
}

func TestInstancesOfAZoneExchangeRecordsWhileTheLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		caller := testCaller{map[record.InstanceID]*Syncer{}, map[record.InstanceID]bool{"instance-4": true}}
		var names []record.InstanceID
		var syncers []*Syncer
		for i := range 5 {
			s := newTestSyncer(fmt.Sprint("instance-", i), log, refusingProbe)
			s.Caller, s.Neighbours = caller, func() []record.InstanceID {
				return slices.DeleteFunc(slices.Clone(names), func(name record.InstanceID) bool { return name == s.Self })
			}
			names, syncers = append(names, s.Self), append(syncers, s)
			caller.syncers[s.Self] = s
		}
		for _, s := range syncers {
			go s.Run(t.Context())
		}
		time.Sleep(time.Second)
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		crashThreeEndpoints(t, syncers[:3])
		time.Sleep(2 * time.Second)
		for i, s := range syncers[:4] {
			if err := s.Admit(t.Context(), crashingContent); !isQuarantined(err) {
				t.Errorf("instance %d: %v", i, err)
			}
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		if err := syncers[4].Admit(t.Context(), crashingContent); !isQuarantined(err) {
			t.Errorf("the one that was cut off, when the log is back: %v", err)
		}
	})
}
