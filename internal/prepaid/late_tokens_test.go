package prepaid_test

import (
	"testing"
	"time"
)

// A request gives up either after its claim was confirmed, and the claim is returned to the log;
// or while the claim is delayed by a slow log, and it is kept for a retry for lateTokensTTL.
func TestClaimThatComesLateIsKeptForItsCaller(t *testing.T) {
	const shortfall = 1 << 39 // Half of the total, far more than an instance would hold without a request.
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
			b.AddShortfall(team, shortfall)
			s := b.NextRecord(0)
			b.MarkAcknowledged(s, logDelay)
			if c.late {
				b.AddShortfall(team, -shortfall)
			}
			b.Apply("self", s, logDelay)
			if got := b.Balance(team, logDelay).Claimed; got < shortfall {
				t.Fatalf("claimed %d, want at least the shortfall", got)
			}
			if !c.late {
				b.AddShortfall(team, -shortfall)
			}
			kept := true
			if s := b.NextRecord(logDelay + c.after); s != nil {
				kept = s.Claims[0].Claimed >= shortfall
			}
			if kept != c.kept {
				t.Fatalf("tokens kept: %v, want %v", kept, c.kept)
			}
		})
	}
}

// Tokens that arrive after their request gave up are kept for a retry for a limited time. If
// each confirmation of a record, one a second, restarted that time, an instance would keep the
// tokens as long as it publishes records, also while it terminates, and requests elsewhere
// would be refused for lack of them.
func TestALateClaimIsNotKeptForEver(t *testing.T) {
	const shortfall = 1 << 39
	b := newLargeFleet(7, 0)
	b.AddShortfall(team, shortfall)
	s := b.NextRecord(0)
	b.MarkAcknowledged(s, 0)
	b.AddShortfall(team, -shortfall)
	b.Apply("self", s, 0)
	for now := time.Second; now <= 5*time.Second; now += time.Second {
		if s := b.NextRecord(now); s != nil {
			b.MarkAcknowledged(s, now)
			b.Apply("self", s, now)
		}
	}
	if got := b.Balance(team, 5*time.Second).Claimed; got >= shortfall {
		t.Errorf("%d still claimed after 5 s, want less than the shortfall", got)
	}
}
