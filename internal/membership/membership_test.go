package membership_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/membership"
	"guavapier/internal/record"
)

// simFleet simulates the platform's instance list and the peers on it. It runs
// in a synctest bubble, which fails a test that leaks goroutines.
type simFleet struct {
	mu          sync.Mutex
	list        logstore.List
	unavailable bool
	silent      map[record.InstanceID]bool
	pings       map[record.InstanceID]int
}

func (f *simFleet) Announce(context.Context, logstore.Instance) error { return nil }

func (f *simFleet) List(context.Context) (logstore.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return logstore.List{}, logstore.ErrUnavailable
	}
	return logstore.List{Instances: slices.Clone(f.list.Instances)}, nil
}

func (f *simFleet) Ping(ctx context.Context, to record.InstanceID) error {
	f.mu.Lock()
	f.pings[to]++
	silent := f.silent[to]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.New("silent")
	}
	return nil
}

func (f *simFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func instances(n int) []logstore.Instance {
	var out []logstore.Instance
	for i := range n {
		zone := record.Zone([]string{"z2", "z1", "z3"}[i%3])
		out = append(out, logstore.Instance{ID: record.InstanceID(fmt.Sprintf("i%03d", i)), Zone: zone, Peer: "127.0.0.1:1"})
	}
	return out
}

func runWithMembers(t *testing.T, size int, steps func(*simFleet, *membership.Members)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &simFleet{list: logstore.List{Instances: instances(size)}, silent: map[record.InstanceID]bool{}, pings: map[record.InstanceID]int{}}
		m := membership.New(f, func() logstore.Instance { return logstore.Instance{ID: "i001", Zone: "z1"} }, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { m.Run(ctx, f) })
		time.Sleep(time.Second)
		steps(f, m)
		cancel()
		running.Wait()
	})
}

func instanceIDs(live []logstore.Instance) []record.InstanceID {
	var out []record.InstanceID
	for _, in := range live {
		out = append(out, in.ID)
	}
	return out
}

func TestListOutlivesThePlatform(t *testing.T) {
	runWithMembers(t, 6, func(f *simFleet, m *membership.Members) {
		want := []record.InstanceID{"i001", "i004", "i000", "i003", "i002", "i005"}
		if got := instanceIDs(m.Live()); !slices.Equal(got, want) || !m.PlatformUp() {
			t.Errorf("live %v, want %v; platform up %v", got, want, m.PlatformUp())
		}
		f.update(func() { f.unavailable = true })
		time.Sleep(time.Hour)
		if got := instanceIDs(m.Live()); !slices.Equal(got, want) || m.PlatformUp() {
			t.Errorf("after an hour without the platform: live %v; platform up %v", got, m.PlatformUp())
		}
		f.update(func() { f.unavailable, f.list.Instances[4].Leaving = false, true })
		time.Sleep(time.Second)
		if got := instanceIDs(m.Live()); slices.Contains(got, "i004") {
			t.Errorf("leaving instance is live: %v", got)
		}
	})
}

// A silent peer is marked unreachable until it answers again; the others stay
// reachable.
func TestHeartbeatsMarkSilentPeers(t *testing.T) {
	runWithMembers(t, 6, func(f *simFleet, m *membership.Members) {
		f.update(func() { f.silent["i003"] = true })
		time.Sleep(10 * time.Second)
		if m.Reachable("i003") || len(m.Live()) != 5 {
			t.Errorf("silent peer: reachable %v, live %v", m.Reachable("i003"), instanceIDs(m.Live()))
		}
		f.update(func() { f.silent["i003"] = false })
		time.Sleep(10 * time.Second)
		if !m.Reachable("i003") || len(m.Live()) != 6 {
			t.Errorf("recovered peer: reachable %v, live %v", m.Reachable("i003"), instanceIDs(m.Live()))
		}
	})
}

// The number of heartbeats does not depend on the size of the fleet, and every
// peer gets one, even while many are silent.
func TestHeartbeatsAreBoundedAndFair(t *testing.T) {
	runWithMembers(t, 410, func(f *simFleet, _ *membership.Members) {
		f.update(func() {
			for n := range 100 {
				f.silent[f.list.Instances[n].ID] = n != 1
			}
			clear(f.pings)
		})
		const seconds = 300
		time.Sleep(seconds * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		total := 0
		for _, in := range f.list.Instances {
			total += f.pings[in.ID]
			if in.ID != "i001" && f.pings[in.ID] == 0 {
				t.Errorf("%s had no heartbeat", in.ID)
			}
		}
		if total > 8*seconds+8 {
			t.Errorf("%d heartbeats in %d s, want at most 8 per second", total, seconds)
		}
	})
}
