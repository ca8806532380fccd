package prepaid_test

import (
	"testing"
	"time"
)

// TestClaimThatComesLateIsKeptForItsCaller has a request give up: after its
// claim has come, and it is given back for others; or while the claim is on its
// way on a slow log, and it is kept for the caller's return, some time.
func TestClaimThatComesLateIsKeptForItsCaller(t *testing.T) {
	const wanted = 1 << 39 // Half of the total: far over what an instance holds by itself.
	const logDelay = 100 * time.Millisecond
	for name, c := range map[string]struct {
		late  bool
		after time.Duration
		kept  bool
	}{
		"in time":                {after: 200 * time.Millisecond},
		"late":                   {late: true, after: 200 * time.Millisecond, kept: true},
		"late, and nobody comes": {late: true, after: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newLargeFleet(7, 0)
			b.AddShortfall(team, wanted)
			s := b.NextRecord(0)
			b.MarkAcknowledged(s, logDelay)
			if c.late {
				b.AddShortfall(team, -wanted)
			}
			b.Apply("self", s, logDelay)
			if got := b.Balance(team, logDelay).Claimed; got < wanted {
				t.Fatalf("claimed %d", got)
			}
			if !c.late {
				b.AddShortfall(team, -wanted)
			}
			kept := true
			if s := b.NextRecord(logDelay + c.after); s != nil {
				kept = s.Claims[0].Claimed >= wanted
			}
			if kept != c.kept {
				t.Fatalf("kept %v, want %v", kept, c.kept)
			}
		})
	}
}

// What comes late for a request is kept for its caller's return for some time, and
// not for as long as the instance goes on stating.
//
// What callers saw: refused elsewhere for want of tokens that an instance kept and had
// no use for, also one that was about to end. Order of events: a request gives up while
// its claim is on its way; the claim comes; each statement after it is confirmed. Cause:
// each confirmation began the time of keeping anew, and there is one a second. Evidence:
// five statements of an instance that ends, a second apart, all with the same 100 and
// 200 tokens of a request that had gone.
func TestALateClaimIsNotKeptForEver(t *testing.T) {
	const wanted = 1 << 39
	b := newLargeFleet(7, 0)
	b.AddShortfall(team, wanted)
	s := b.NextRecord(0)
	b.MarkAcknowledged(s, 0)
	b.AddShortfall(team, -wanted)
	b.Apply("self", s, 0)
	for now := time.Second; now <= 5*time.Second; now += time.Second {
		if s := b.NextRecord(now); s != nil {
			b.MarkAcknowledged(s, now)
			b.Apply("self", s, now)
		}
	}
	if got := b.Balance(team, 5*time.Second).Claimed; got >= wanted {
		t.Errorf("%d still claimed", got)
	}
}
