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
			t.Errorf("step %d: %d, want %d", i, got, step.want)
		}
	}
	if table.Remove("a", 0) != discovery.Removed || table.Has("a") || table.Remove("a", 0) != discovery.Unchanged {
		t.Error("an entry that ends while the store is well means that the endpoint is gone")
	}
}

// Entries lapse while the store is away; their endpoints live and come back.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	table := discovery.New()
	table.Put(endpoint("back"))
	table.Put(endpoint("gone"))
	table.RecordStoreFailure()
	if table.Remove("back", 0) != discovery.Lapsed || table.Remove("gone", 0) != discovery.Lapsed || len(table.List()) != 2 {
		t.Fatal("an entry that lapsed in an outage ends its endpoint")
	}
	if got := table.Expire(time.Hour); got != nil {
		t.Errorf("%v expire during the outage", got)
	}
	table.RecordStoreSuccess(time.Hour)
	if got := table.Expire(time.Hour + discovery.LapsedGracePeriod - 1); got != nil {
		t.Errorf("%v expire before they could be back", got)
	}
	table.Put(endpoint("back"))
	if got := table.Expire(time.Hour + discovery.LapsedGracePeriod); len(got) != 1 || got[0] != "gone" {
		t.Errorf("%v expire, want gone", got)
	}
	if table.Remove("back", time.Hour+discovery.LapsedGracePeriod) != discovery.Removed {
		t.Error("the outage excuses nothing any more")
	}
}

func TestAFullListingEndsWhatItDoesNotName(t *testing.T) {
	table := discovery.New()
	table.Put(endpoint("a"))
	table.Put(endpoint("b"))
	if got := table.Retain(map[string]bool{"b": true}, 0); len(got) != 1 || got[0] != "a" || table.Has("a") {
		t.Errorf("%v", got)
	}
	// Read right after an outage, a listing may still lack living ones.
	table.RecordStoreFailure()
	table.RecordStoreSuccess(time.Second)
	if got := table.Retain(nil, time.Second); len(got) != 1 || !table.Has("b") {
		t.Errorf("%v", got)
	}
}
