package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/settings"
	"guavapier/internal/standin"
)

// trackedState is a stateTracker that follows a log, and what it put in force.
type trackedState struct {
	log *standin.Keyed

	mu      sync.Mutex // Guards the rest.
	states  []string
	cordons map[string]bool
	// cordonsAtFirstState are the cordons in force when the first state was.
	cordonsAtFirstState map[string]bool
}

// followState runs a stateTracker on the log until the test ends.
func followState(t *testing.T, log *standin.Keyed) *trackedState {
	t.Helper()
	f := &trackedState{log: log}
	tracker := &stateTracker{
		platform: Platform{Store: log, CordonedZone: func(key string) (string, bool) { return strings.CutPrefix(key, "cordon/") }},
		log:      zerolog.Nop(), version: func() int64 { return 0 }, applyCordons: f.applyCordons,
		freshness:  newFreshness(time.Second, func() time.Duration { return 0 }, &storeContact{}),
		applyState: f.applyState,
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go tracker.follower(settings.DefaultGateway().Store).Run(ctx)
	return f
}

func (f *trackedState) applyCordons(zones map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cordons = zones
}

func (f *trackedState) applyState(value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.states) == 0 {
		f.cordonsAtFirstState = f.cordons
	}
	f.states = append(f.states, string(value))
}

// wait lets the tracker read everything, and checks the cordons and the last state.
func (f *trackedState) wait(t *testing.T, state string, cordons ...string) {
	t.Helper()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	want := map[string]bool{}
	for _, zone := range cordons {
		want[zone] = true
	}
	if got := fmt.Sprint(f.cordons); got != fmt.Sprint(want) {
		t.Errorf("cordons %s, want %v", got, want)
	}
	if len(f.states) == 0 || f.states[len(f.states)-1] != state {
		t.Errorf("states %q, want %q at last", f.states, state)
	}
}

func (f *trackedState) set(key, value string) {
	f.log.Set(logstore.TopicState, key, []byte(value))
}

func (f *trackedState) remove(key string) { f.log.Set(logstore.TopicState, key, nil) }

func TestCordonsAreFollowed(t *testing.T) {
	for name, change := range map[string]func(f *trackedState){
		"set and taken back": func(f *trackedState) {
			f.set("cordon/c", "{}")
			f.remove("cordon/b")
		},
		"among many states in a row": func(f *trackedState) {
			for i := range 20 {
				f.set(logstore.StateKey, "1")
				if i == 7 {
					f.set("cordon/c", "{}")
				}
				if i == 9 {
					f.remove("cordon/b")
				}
			}
		},
		"while the history was lost": func(f *trackedState) {
			f.set("cordon/c", "{}")
			f.remove("cordon/b")
			f.log.Compact(logstore.TopicState)
		},
		"while the store was down": func(f *trackedState) {
			f.log.SetDown(true)
			time.Sleep(10 * time.Second)
			f.set("cordon/c", "{}")
			f.remove("cordon/b")
			f.log.SetDown(false)
		},
		"by a record that can't be read": func(f *trackedState) {
			f.set("cordon/c", "\x00not a record")
			f.set("unknown", "{}")
			f.remove("cordon/b")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := followState(t, standin.NewKeyed())
				f.set("cordon/b", "{}")
				f.set("cordon/a", "{}")
				f.set(logstore.StateKey, "1")
				f.wait(t, "1", "a", "b")
				change(f)
				f.wait(t, "1", "a", "c")
			})
		})
	}
}

func TestCordonsPrecedeTheFirstState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		for i := range 20 { // The order of the newest records is random.
			log.Set(logstore.TopicState, fmt.Sprintf("cordon/%d", i), []byte("{}"))
		}
		log.Set(logstore.TopicState, logstore.StateKey, []byte("1"))
		f := followState(t, log)
		time.Sleep(time.Second)
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		if got := len(f.cordonsAtFirstState); got != 20 {
			t.Errorf("%d cordons are in force with the first state, want 20", got)
		}
	})
}

func TestCordonsStayWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := followState(t, standin.NewKeyed())
		f.set("cordon/a", "{}")
		f.set(logstore.StateKey, "1")
		f.wait(t, "1", "a")
		f.log.SetDown(true)
		time.Sleep(time.Minute)
		f.wait(t, "1", "a")
	})
}
