package discovery_test

import (
	"testing"
	"time"

	"guavapier/internal/discovery"
)

func endpoint(id string) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "z", Born: 1}
}

func TestEntriesComeChangeAndEnd(t *testing.T) {
	table := discovery.New()
	e := endpoint("a")
	steps := []struct {
		change func(*discovery.Endpoint)
		want   discovery.Change
	}{
		{func(*discovery.Endpoint) {}, discovery.Added},
		{func(*discovery.Endpoint) {}, discovery.Unchanged},
		{func(e *discovery.Endpoint) { e.Slots = 2 }, discovery.Updated},
		{func(e *discovery.Endpoint) { e.Leaving = true }, discovery.StartedLeaving},
		{func(e *discovery.Endpoint) { e.Leaving, e.Born = false, 2 }, discovery.Restarted},
	}
	for i, step := range steps {
		step.change(&e)
		if got := table.Put(e); got != step.want {
			t.Errorf("step %d: change %d, want %d", i, got, step.want)
		}
	}
	if table.Remove("a", 0) != discovery.Removed || table.Has("a") || table.Remove("a", 0) != discovery.Unchanged {
		t.Error("an entry that disappears while the store answers must remove its endpoint, once")
	}
}

// Entries that disappear during an outage of the store lapse: their endpoints stay until the
// grace period after it has passed, unless they are published again.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	table := discovery.New()
	table.Put(endpoint("back"))
	table.Put(endpoint("gone"))
	table.RecordStoreFailure()
	if table.Remove("back", 0) != discovery.Lapsed || table.Remove("gone", 0) != discovery.Lapsed || len(table.List()) != 2 {
		t.Fatal("an entry that lapsed during an outage removed its endpoint")
	}
	if got := table.Expire(time.Hour); got != nil {
		t.Errorf("%v expired during the outage", got)
	}
	table.RecordStoreSuccess(time.Hour)
	if got := table.Expire(time.Hour + discovery.LapsedGracePeriod - 1); got != nil {
		t.Errorf("%v expired before the end of the grace period", got)
	}
	table.Put(endpoint("back"))
	if got := table.Expire(time.Hour + discovery.LapsedGracePeriod); len(got) != 1 || got[0] != "gone" {
		t.Errorf("%v expired, want only the endpoint gone", got)
	}
	if table.Remove("back", time.Hour+discovery.LapsedGracePeriod) != discovery.Removed {
		t.Error("an entry that disappears after the grace period must remove its endpoint")
	}
}

// An endpoint that a full listing does not contain is removed, or lapses around an outage.
func TestAFullListingEndsWhatItDoesNotName(t *testing.T) {
	table := discovery.New()
	table.Put(endpoint("a"))
	table.Put(endpoint("b"))
	if got := table.Retain(map[string]bool{"b": true}, 0); len(got) != 1 || got[0] != "a" || table.Has("a") {
		t.Errorf("%v removed by a listing without a, want only a", got)
	}
	// A listing read right after an outage may still lack living endpoints.
	table.RecordStoreFailure()
	table.RecordStoreSuccess(time.Second)
	if got := table.Retain(nil, time.Second); len(got) != 1 || !table.Has("b") {
		t.Errorf("%v lapsed right after an outage, want b, which stays in the table", got)
	}
}
