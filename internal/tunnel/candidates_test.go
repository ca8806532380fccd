package tunnel

import (
	"fmt"
	"testing"
	"time"
)

// candidatesIn returns candidates of which own are in this instance's zone "z" and other in
// zone "y".
func candidatesIn(own, other int) *Candidates {
	var list []Candidate
	for i := range own + other {
		zone := "z"
		if i >= own {
			zone = "y"
		}
		list = append(list, Candidate{Name: fmt.Sprint(zone, i), Zone: zone, LinkMbps: 100})
	}
	c := NewCandidates("z", 1)
	c.Set(list)
	return c
}

func TestTheOwnZoneIsAskedFirstAndAnotherNext(t *testing.T) {
	c := candidatesIn(3, 3)
	for range 50 {
		first, _ := c.Next(nil, 0)
		second, _ := c.Next([]string{first.Name}, 0)
		if first.Zone != "z" || second.Zone != "y" {
			t.Fatalf("asked %s, then %s; want the own zone and then another", first.Zone, second.Zone)
		}
	}
}

func TestWithoutOtherZonesTheOwnOneIsAskedOn(t *testing.T) {
	c := candidatesIn(2, 0)
	first, _ := c.Next(nil, 0)
	second, ok := c.Next([]string{first.Name}, 0)
	if !ok || second.Name == first.Name {
		t.Errorf("asked %q after %q", second.Name, first.Name)
	}
	if third, ok := c.Next([]string{first.Name, second.Name}, 0); ok {
		t.Errorf("asked %q, want none: all were asked", third.Name)
	}
}

func TestTunnelsAreSpreadByTheSpeedOfLinks(t *testing.T) {
	c := NewCandidates("z", 1)
	c.Set([]Candidate{{Name: "slow", Zone: "z", LinkMbps: 10}, {Name: "fast", Zone: "z", LinkMbps: 200}, {Name: "fast-too", Zone: "z", LinkMbps: 200}})
	count := map[string]int{}
	for range 120 {
		next, _ := c.Next(nil, 0)
		c.Opened(next.Name)
		count[next.Name]++
	}
	if count["slow"] > 25 || count["fast"] < 35 || count["fast-too"] < 35 {
		t.Errorf("tunnels by candidate: %v", count)
	}
}

// A candidate that could not help is left out, each time for longer, until it has helped.
func TestACandidateThatCannotHelpIsLeftOut(t *testing.T) {
	c := candidatesIn(1, 0)
	now := time.Duration(0)
	for _, pause := range []time.Duration{initialPause, 2 * initialPause, 4 * initialPause} {
		c.LeaveOut("z0", now)
		if _, ok := c.Next(nil, now+pause-1); ok {
			t.Errorf("asked within %s of the last try", pause)
		}
		now += pause
		if _, ok := c.Next(nil, now); !ok {
			t.Errorf("not asked %s after the last try", pause)
		}
	}
	c.Opened("z0")
	c.LeaveOut("z0", now)
	if _, ok := c.Next(nil, now+initialPause); !ok {
		t.Errorf("not asked %s after a try that followed a success", initialPause)
	}
}
