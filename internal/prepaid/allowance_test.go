package prepaid_test

import (
	"testing"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// steadyRoundTime is the time of one round of steady.
const steadyRoundTime = 150 * time.Millisecond

// newRichFleet is a fleet with a budget that lasts for some hundred rounds.
func newRichFleet(t *testing.T, hosts int) *simFleet {
	t.Helper()
	f := newSimFleet(t, make([]int64, hosts)...)
	f.prepaidTotal, f.maxPrepaid = 1_000_000, 1_000_000
	for _, p := range f.processes {
		p.SetPrepaid(map[record.Team]int64{team: f.prepaidTotal})
	}
	return f
}

// runSteady plays rounds in which each living process is asked for one request,
// which ends at once, and returns how many were refused.
func (f *simFleet) runSteady(size int64, rounds int, cutOff bool) (refused int) {
	for range rounds {
		f.now += steadyRoundTime
		for _, p := range f.processes {
			if !p.alive {
				continue
			}
			if p.Reserve(team, size, f.now) == nil {
				p.Settle(team, size, size)
				p.settled += size
			} else {
				refused++
			}
			if !cutOff {
				p.write(f, true)
				p.follow(f)
			}
		}
		f.checkNotOverspent()
	}
	return refused
}

func allHosts(f *simFleet) map[*simHost]bool {
	cut := map[*simHost]bool{}
	for _, host := range f.hosts {
		cut[host] = true
	}
	return cut
}

// Seven instances are cut off from the log and from each other when half of a
// budget is used, at a rate that what they hold covers for 6 s. With a fixed mark
// for the first 3 s, 40 of the 280 requests were refused.
func TestACutIsServedThroughFromItsStart(t *testing.T) {
	f := newRichFleet(t, 7)
	f.runSteady(900, 25, false) // The first claims are on their way.
	if refused := f.runSteady(900, 60, false); refused > 0 {
		t.Fatalf("%d refused before the cut", refused)
	}
	if refused := f.runSteady(900, 40, true); refused > 0 {
		t.Errorf("%d of %d refused in the cut", refused, 7*40)
	}
}

// What a process that dies behind a cut can't have used by then goes back, the
// more the earlier it died. With a fixed mark nothing did after 3 s.
func TestAProcessThatDiesBehindACutGivesBack(t *testing.T) {
	last := int64(1 << 62)
	for _, rounds := range []int{2, 10, 25} {
		f := newRichFleet(t, 4)
		f.runSteady(900, 60, false)
		held := int64(0)
		for _, p := range f.processes {
			b := p.Balance(team, f.now)
			held += b.Claimed + b.Received - b.Transferred - b.Settled - b.Reserved
		}
		f.runSteady(900, rounds, true)
		f.powerCycle(300 * time.Millisecond)
		got := f.reclaimableTokens()
		t.Logf("after %s: %d of %d", time.Duration(rounds)*steadyRoundTime, got, held)
		if got <= 0 || got >= last {
			t.Errorf("after %s of a cut %d of %d held went back, before %d", time.Duration(rounds)*steadyRoundTime, got, held, last)
		}
		last = got
		f.runBusy(500, 400, nil)
	}
}

// A request that waits for its allowance is told when it has grown that far: to
// come back sooner is in vain, later is idle.
func TestARefusedRequestIsToldWhenItsTokensAreFree(t *testing.T) {
	f := newRichFleet(t, 4)
	f.runSteady(900, 60, false)
	p := f.processes[0]
	held := p.Balance(team, f.now)
	size := held.Spendable + 5000
	err := p.Reserve(team, size, f.now)
	insufficient, ok := err.(*prepaid.InsufficientError) //nolint:errorlint // The type is the point.
	if !ok {
		t.Fatalf("got %v with %d at hand", err, held.Spendable)
	}
	if insufficient.After <= 0 || insufficient.After > 10*time.Second {
		t.Fatalf("told to come back after %s", insufficient.After)
	}
	if err := p.Reserve(team, size, f.now+insufficient.After*9/10); err == nil {
		t.Error("free a tenth of the time sooner")
	}
	if err := p.Reserve(team, size, f.now+insufficient.After+time.Millisecond); err != nil {
		t.Errorf("not free when told: %v", err)
	}
}
