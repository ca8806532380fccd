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

// crashingContent is the content of a request that crashes endpoints.
var crashingContent = Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: [][]byte{[]byte("deadly")}}

// refusingProbe is the probe of an endpoint that is gone.
func refusingProbe(context.Context, string, string) error {
	return fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
}

// newTestSyncer returns the Syncer of an instance without neighbours.
func newTestSyncer(self string, log logstore.KeyedLog, probe Probe) *Syncer {
	return NewSyncer(Options{
		Self: record.InstanceID(self), Log: log, Probe: probe, Neighbours: func() []record.InstanceID { return nil },
		Logger: zerolog.Nop(), ThinnedLogger: zerolog.Nop(),
	})
}

// startSyncers runs n instances that share a log, and waits until they have read it.
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

// crashThreeEndpoints lets three endpoints crash while serving crashingContent, one after the
// other, each seen by the next of the instances.
func crashThreeEndpoints(t *testing.T, syncers []*Syncer) {
	t.Helper()
	for i := range 3 {
		if !syncers[i%len(syncers)].Broke(t.Context(), crashingContent, Endpoint{ID: fmt.Sprint("e", i), Address: "address"}, 50*time.Millisecond) {
			t.Fatal("an endpoint that refuses connections does not count as gone")
		}
		time.Sleep(time.Second)
	}
}

// isQuarantined reports whether err is the error for a quarantined request.
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
				t.Errorf("instance %d admits with %v a second after the third crash, want a QuarantinedError", i, err)
			}
		}
		other := crashingContent
		other.Organisation = "other"
		if err := syncers[0].Admit(t.Context(), other); err != nil {
			t.Errorf("another organisation's request is refused: %v", err)
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
			t.Errorf("%d requests are admitted during the quarantine", n)
		}
		time.Sleep(initialQuarantine)
		retester, n := admit()
		if n != 1 {
			t.Fatalf("%d retests, want 1", n)
		}
		if _, n := admit(); n != 0 {
			t.Errorf("%d requests are admitted during a retest", n)
		}
		retester.Broke(t.Context(), crashingContent, Endpoint{ID: "e9", Address: "address"}, 50*time.Millisecond)
		time.Sleep(initialQuarantine)
		if _, n := admit(); n != 0 {
			t.Errorf("%d requests are admitted after a failed retest and the time of the first quarantine", n)
		}
		time.Sleep(quarantineDuration(1))
		if retester, n = admit(); n != 1 {
			t.Fatalf("%d retests after the second quarantine, want 1", n)
		}
		retester.Answered(crashingContent, Endpoint{ID: "e10", Address: "address"})
		time.Sleep(time.Second)
		if _, n := admit(); n != 20 {
			t.Errorf("%d of 20 requests are admitted after an answer, want all", n)
		}
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) > 0 {
			t.Errorf("%d records are left on the log after an answer, error %v", len(page.Records), err)
		}
	})
}

// Two requests at one instance may both find that the quarantine has ended before either of
// them claims the retest.
func TestALateClaimDoesNotBeginAnotherRetest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		syncers := startSyncers(t, standin.NewKeyed(), 2)
		crashThreeEndpoints(t, syncers)
		time.Sleep(initialQuarantine)
		f := crashingContent.Fingerprint()
		if !syncers[0].acquireRetest(t.Context(), f) {
			t.Fatal("no retest is acquired after the quarantine")
		}
		for i, s := range syncers {
			if s.acquireRetest(t.Context(), f) {
				t.Errorf("instance %d acquires another retest while one is in progress", i)
			}
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
			t.Errorf("admitted with %v after %s, want a QuarantinedError at once", err, time.Since(start))
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) != 1 {
			t.Errorf("%d records on the log after it has recovered, error %v; want 1", len(page.Records), err)
		}
	})
}

func TestOnlyARefusedConnectionMeansThatAnEndpointIsGone(t *testing.T) {
	for name, probe := range map[string]Probe{
		"accepts connections": func(context.Context, string, string) error { return nil },
		"is silent":           func(ctx context.Context, _, _ string) error { <-ctx.Done(); return ctx.Err() },
		"unreachable":         func(context.Context, string, string) error { return syscall.EHOSTUNREACH },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestSyncer("me", standin.NewKeyed(), probe)
				if s.Broke(t.Context(), crashingContent, Endpoint{ID: "e", Address: "address"}, time.Second) || len(s.Table.View(time.Now())) > 0 {
					t.Error("the endpoint counts as gone or the request is recorded")
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
			t.Errorf("admitted with %v, want a QuarantinedError", err)
		}
	})
}

// testCaller calls syncers by the IDs of their instances, except for those that are
// unreachable.
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

// startZone runs n instances of one availability zone that share a log, and waits until they have
// read it. The one named unreachable can't be called.
func startZone(t *testing.T, log *standin.Keyed, n int, unreachable record.InstanceID) []*Syncer {
	t.Helper()
	caller := testCaller{map[record.InstanceID]*Syncer{}, map[record.InstanceID]bool{unreachable: true}}
	var names []record.InstanceID
	var syncers []*Syncer
	for i := range n {
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
	return syncers
}

func TestInstancesOfAZoneExchangeRecordsWhileTheLogIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		syncers := startZone(t, log, 5, "instance-4")
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		crashThreeEndpoints(t, syncers[:3])
		time.Sleep(2 * time.Second)
		for i, s := range syncers[:4] {
			if err := s.Admit(t.Context(), crashingContent); !isQuarantined(err) {
				t.Errorf("instance %d admits with %v, want a QuarantinedError", i, err)
			}
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		if err := syncers[4].Admit(t.Context(), crashingContent); !isQuarantined(err) {
			t.Errorf("the unreachable instance admits with %v after the log has recovered, want a QuarantinedError", err)
		}
	})
}
