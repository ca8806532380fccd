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
	const trip = 100 * time.Millisecond
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
			b := crowd(7, 0)
			b.Want(team, wanted)
			s := b.Draft(0)
			b.Taken(s, trip)
			if c.late {
				b.Want(team, -wanted)
			}
			b.Apply("self", s, trip)
			if got := b.Balance(team, trip).Claimed; got < wanted {
				t.Fatalf("claimed %d", got)
			}
			if !c.late {
				b.Want(team, -wanted)
			}
			kept := true
			if s := b.Draft(trip + c.after); s != nil {
				kept = s.Rows[0].Claimed >= wanted
			}
			if kept != c.kept {
				t.Fatalf("kept %v, want %v", kept, c.kept)
			}
		})
	}
}
