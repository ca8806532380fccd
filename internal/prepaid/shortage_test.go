package prepaid_test

import (
	"errors"
	"sync"
	"testing"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// reserveTogether makes that many concurrent requests and returns how many were refused and
// the sum of the times for which these were held.
func reserveTogether(t *testing.T, c *prepaid.Controller, requests int, tokens int64) (refused int, held time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	for range requests {
		running.Go(func() {
			startedAt := time.Now()
			r, err := c.Reserve(t.Context(), team, tokens)
			if err == nil {
				r.Settle(tokens)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			refused, held = refused+1, held+time.Since(startedAt)
			if !errors.Is(err, prepaid.ErrInsufficient) {
				t.Errorf("refused by %v", err)
			}
		})
	}
	running.Wait()
	return refused, held
}

// Another instance has claimed the tokens, cannot be reached, and the log is available. The first
// requests wait for a claim in vain; after that, all but one are refused at once. Once the total
// is raised, all are served.
func TestRequestsAreRefusedAtOnceWhileAnOrganisationIsShort(t *testing.T) {
	log := standin.NewKeyed()
	lost, stop := runController(t, log, "a", 100_000)
	waitFor(t, "a claim", func() bool { return lost.Accounts.Spendable(team, sinceOrigin()) > 0 })
	r, err := lost.Reserve(t.Context(), team, 60_000) // Stays reserved: the others can't tell that it isn't spent.
	if err != nil {
		t.Fatal(err)
	}
	defer r.Settle(0)
	stop()
	c, _ := runController(t, log, "b", 100_000)
	waitFor(t, "the log", c.IsLoaded)
	if refused, _ := reserveTogether(t, c, 20, 45_000); refused != 20 {
		t.Fatalf("%d of 20 requests refused that can't be served", refused)
	}
	refused, held := reserveTogether(t, c, 20, 45_000)
	if refused != 20 || held > prepaid.MaxClaimWait+time.Second {
		t.Errorf("%d of 20 requests refused, held for %s in all, want all refused, and at most one of them waiting", refused, held)
	}
	if got := c.Balance(team).ShortForMS; got < prepaid.MaxClaimWait.Milliseconds() {
		t.Errorf("short for %d ms, want at least %s", got, prepaid.MaxClaimWait)
	}
	c.Accounts.SetPrepaid(map[record.Team]int64{team: 2_000_000})
	if refused, _ := reserveTogether(t, c, 20, 45_000); refused > 0 {
		t.Errorf("%d of 20 requests refused after the total was raised", refused)
	}
}

// While the log is away, an instance with many requests obtains tokens for all of them from
// another one, not for one at a time.
func TestTokensForAllWaitingRequestsMoveWhileTheLogIsAway(t *testing.T) {
	log := standin.NewKeyed()
	a, _ := runController(t, log, "a", 100_000)
	b, _ := runController(t, log, "b", 100_000)
	waitFor(t, "each knows that the other holds tokens", func() bool {
		return holdsMinimum(a) && holdsMinimum(b) && len(a.Accounts.TransferSources(team)) == 1
	})
	log.SetDown(true)
	waitFor(t, "log unreachable and all held tokens spendable", func() bool {
		return logUnreachable(a) && logUnreachable(b) && allSpendable(a) && allSpendable(b)
	})
	const tokens = 100
	requests := (a.Accounts.Spendable(team, sinceOrigin()) + b.Accounts.Spendable(team, sinceOrigin())/3) / tokens
	if refused, _ := reserveTogether(t, a, int(requests), tokens); refused > 0 {
		t.Errorf("%d of %d requests refused while another instance holds their tokens", refused, requests)
	}
}
