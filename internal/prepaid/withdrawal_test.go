package prepaid_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/allocator"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// slowAllocators answers each withdrawal with 1,000 tokens after the delay of the called allocator.
type slowAllocators map[record.InstanceID]time.Duration

func (s slowAllocators) Call(ctx context.Context, to record.InstanceID, method string, _, reply any) error {
	select {
	case <-time.After(s[to]):
	case <-ctx.Done():
		return ctx.Err()
	}
	if draw, ok := reply.(*prepaid.DrawReply); ok && method == prepaid.ServiceName+".Draw" {
		draw.Total = 1000
	}
	return nil
}

// newMember returns a member that reaches the allocators k0 and k1, and the clock's start.
func newMember(t *testing.T, allocators slowAllocators) *prepaid.Controller {
	t.Helper()
	const zone = "z"
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	self := prepaid.Identity{Key: "member", Node: "member", Zone: zone}
	clocks := prepaid.Clocks{SinceBoot: clock, Wall: func() int64 { return time.Now().UnixMilli() }}
	accounts := prepaid.NewAccounts(self, prepaid.DefaultPolicy(), clocks)
	accounts.SetPrepaid(map[record.Team]int64{team: 1 << 40})
	accounts.SetRole(allocator.Member)
	directory := allocator.New(allocator.Self{Key: self.Key, Zone: zone})
	for slot, key := range []record.InstanceID{"k0", "k1"} {
		value, err := allocator.New(allocator.Self{Key: key, Zone: zone}).EncodeAnnouncement()
		if err != nil {
			t.Fatal(err)
		}
		if err := directory.Observe(allocator.SlotKey(zone, slot), value, 0); err != nil {
			t.Fatal(err)
		}
		directory.MarkReachable(key)
	}
	return prepaid.NewController(accounts, directory, prepaid.NewPeers(allocators, zerolog.Nop()), standin.NewKeyed(), clock, zerolog.Nop())
}

// Behind a full link an answer takes 0.3 s and more, and must not be given up.
func TestSlowAllocatorsAreNotLost(t *testing.T) {
	for name, c := range map[string]struct {
		delays    slowAllocators
		served    bool          // The request is served.
		takes     time.Duration // For which it waits at most.
		reachable int
	}{
		"both slow":    {slowAllocators{"k0": 450 * time.Millisecond, "k1": 450 * time.Millisecond}, true, 450 * time.Millisecond, 2},
		"one hangs":    {slowAllocators{"k0": time.Hour}, true, 300 * time.Millisecond, 1},
		"answers late": {slowAllocators{"k0": 900 * time.Millisecond, "k1": 900 * time.Millisecond}, false, 500 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMember(t, c.delays)
				start := time.Now()
				_, err := m.Reserve(t.Context(), team, 500)
				if served, took := err == nil, time.Since(start); served != c.served || took > c.takes {
					t.Errorf("served: %v after %s (%v), want %v within %s", served, took, err, c.served, c.takes)
				}
				time.Sleep(700*time.Millisecond - time.Since(start))
				if got := len(m.Directory.ListReachable()); got != c.reachable {
					t.Errorf("%d allocators reachable, want %d", got, c.reachable)
				}
				time.Sleep(2 * time.Second)
				if _, err := m.Reserve(t.Context(), team, 500); err != nil {
					t.Errorf("refused after the answers: %v", err)
				}
			})
		})
	}
}
