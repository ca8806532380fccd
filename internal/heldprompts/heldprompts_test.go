package heldprompts

import (
	"testing"
	"time"
)

const part = 7

// What an endpoint has no room for is not assumed to be there, however short ago it was used, and
// what nothing has displaced is, however long ago.
func TestPartsStayAsLongAsThereIsRoom(t *testing.T) {
	c := New()
	c.SetRoom(100_000)
	c.Use(part, 0)
	if got := c.Probability(part, true, 50*time.Second); got != 1 {
		t.Errorf("with nothing read since, the part is held with %.2f", got)
	}
	c.Read(90_000)
	if got := c.Probability(part, true, time.Second); got <= 0 || got >= 1 {
		t.Errorf("with the room nearly read once over, the part is held with %.2f", got)
	}
	c.Read(40_000)
	if got := c.Probability(part, true, time.Second); got != 0 {
		t.Errorf("with more read than there is room, the part is held with %.2f", got)
	}
	c.Use(part, time.Second)
	if got := c.Probability(part, true, time.Second); got != 1 {
		t.Errorf("after another use, the part is held with %.2f", got)
	}
}

// With less knowledge an age decides.
func TestWithoutKnowledgePartsStayForATime(t *testing.T) {
	known, unknown := New(), New()
	known.SetRoom(10)
	for _, c := range []*Cache{&known, &unknown} {
		c.Use(part, 0)
		c.Read(1000)
		if got := c.Probability(part, false, 9*time.Second); got != 1 {
			t.Errorf("after 9 s the part is held with %.2f", got)
		}
		if got := c.Probability(part, false, 10*time.Second); got != 0 {
			t.Errorf("after 10 s the part is held with %.2f", got)
		}
	}
	if got := unknown.Probability(part, true, 9*time.Second); got != 1 {
		t.Errorf("without a known room the part is held with %.2f", got)
	}
	if got := unknown.Probability(part+1, true, 0); got != 0 {
		t.Errorf("a part that was never used is held with %.2f", got)
	}
}

// Uses are forgotten once they tell nothing: after the assumed time, or with a known room once
// that has been read over.
func TestSweepForgets(t *testing.T) {
	assumed, estimated, displaced := New(), New(), New()
	estimated.SetRoom(1000)
	displaced.SetRoom(1000)
	for _, c := range []*Cache{&assumed, &estimated, &displaced} {
		c.Use(part, 0)
	}
	displaced.Read(2000)
	for _, c := range []*Cache{&assumed, &estimated, &displaced} {
		c.Sweep(20 * time.Second)
	}
	if assumed.Len() != 0 || estimated.Len() != 1 || displaced.Len() != 0 {
		t.Errorf("uses kept after 20 s: %d assumed, %d estimated, %d displaced; want 0, 1, 0", assumed.Len(), estimated.Len(), displaced.Len())
	}
	estimated.Sweep(2 * time.Minute)
	if estimated.Len() != 0 {
		t.Error("a use is kept for two minutes")
	}
}
