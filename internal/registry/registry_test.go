package registry

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// testInstance is a Registry that runs, and the names that it reported last.
type testInstance struct {
	stop context.CancelFunc

	mu     sync.Mutex // Guards the rest.
	names  []string
	others map[string]Details
	fewest int // Smallest number of names in a report after the first with several.
}

func (i *testInstance) setNames(names []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.names) > 1 {
		i.fewest = min(i.fewest, len(names))
	}
	i.names = names
}

func (i *testInstance) setDetails(others map[string]Details) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.others = others
}

// start runs an instance's registry on the log.
func start(t *testing.T, log logstore.KeyedLog, name string) *testInstance {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	i := &testInstance{stop: stop, fewest: math.MaxInt}
	r := &Registry{
		Log: log, Name: name, Details: Details{Process: record.NewInstanceID(name), Zone: "z", Peer: name + ":1"}, Logger: zerolog.Nop(),
		OnChange: i.setNames, OnDetails: i.setDetails,
	}
	go r.Run(ctx)
	return i
}

// wantNames lets the instance read the log and checks what it reports.
func (i *testInstance) wantNames(t *testing.T, when string, want ...string) {
	t.Helper()
	time.Sleep(2 * maxReadWait)
	synctest.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !slices.Equal(i.names, want) {
		t.Errorf("%s: instances %q, want %q", when, i.names, want)
	}
}

func TestAllInstancesAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		var instances []*testInstance
		var names []string
		for i := range 5 {
			names = append(names, fmt.Sprint("i", i))
			instances = append(instances, start(t, log, names[i]))
		}
		for _, i := range instances {
			i.wantNames(t, "after the start", names...)
		}
		instances[0].stop()
		instances[1].wantNames(t, "after one has ended", names...)
		log.SetDown(true)
		instances[1].wantNames(t, "while the log is down", names...)
		late := start(t, log, "late")
		late.wantNames(t, "started while the log is down")
		log.SetDown(false)
		late.wantNames(t, "when the log is back", append(names, "late")...)
		instances[2].wantNames(t, "after one was added", append(names, "late")...)
		log.Compact(logstore.TopicInstances)
		start(t, log, "i0")
		instances[1].wantNames(t, "after a restart and a loss of history", append(names, "late")...)
	})
}

// Instances that forget each other in a long outage would each use what is for all of them.
func TestAnOutageDoesNotShortenTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		a, b := start(t, log, "a"), start(t, log, "b")
		a.wantNames(t, "after the start", "a", "b")
		log.SetDown(true)
		time.Sleep(2 * expiry)
		a.wantNames(t, "after a long outage", "a", "b")
		log.SetDown(false)
		time.Sleep(2 * maxReadWait)
		b.wantNames(t, "when the log is back", "a", "b")
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.fewest < 2 {
			t.Errorf("%d instances were reported when the log was back, want 2", b.fewest)
		}
	})
}

func TestAnInstanceThatIsGoneExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		gone, other := start(t, log, "a"), start(t, log, "b")
		other.wantNames(t, "after the start", "a", "b")
		gone.stop()
		time.Sleep(expiry + 2*maxReadWait)
		other.wantNames(t, "long after one has ended", "b")
	})
}

// A record of a build that publishes no details, and one that can't be read, keep their
// instances in the list.
func TestDetailsOfOtherInstancesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		log.Set(logstore.TopicInstances, "older", []byte("older-process"))
		a := start(t, log, "a")
		start(t, log, "b")
		a.wantNames(t, "after the start", "a", "b", "older")
		a.mu.Lock()
		defer a.mu.Unlock()
		if got := a.others["b"]; len(a.others) != 1 || got.Peer != "b:1" || got.Zone != "z" {
			t.Errorf("details %+v, want those of b only", a.others)
		}
	})
}

// Guards against instances that have nobody to copy records to just after the whole fleet has
// started.
func TestInstancesThatStartTogetherKnowEachOtherSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, spread = 8, 300 * time.Millisecond
		log := standin.NewKeyed()
		var started []*testInstance
		for n := range instances {
			started = append(started, start(t, log, fmt.Sprint("instance-", n)))
			time.Sleep(spread / instances)
		}
		time.Sleep(1500*time.Millisecond - spread)
		for n, i := range started {
			i.mu.Lock()
			if len(i.others) != instances-1 {
				t.Errorf("1.5 s after the start instance %d knows %d others, want %d", n, len(i.others), instances-1)
			}
			i.mu.Unlock()
		}
	})
}
