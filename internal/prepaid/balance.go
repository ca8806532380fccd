package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// Balance is one budget as a log line or a state dump shows it: tokens, and the
// ages of what is known.
type Balance struct {
	Team record.Team `json:"team"`
	// Role is the instance's part in its zone: "claimant", "member" or "allocator".
	// A member knows nothing of the others' claims.
	Role            string `json:"role"`
	Prepaid         int64  `json:"prepaid"`
	Claimed         int64  `json:"claimed"`
	Settled         int64  `json:"settled"`
	Reserved        int64  `json:"reserved"`
	Transferred     int64  `json:"given"`
	Received        int64  `json:"taken"`
	InitialBound    int64  `json:"mark"`
	Spendable       int64  `json:"at_hand"`
	ClaimedByOthers int64  `json:"claimed_by_others"`
	UsedByOthers    int64  `json:"used_by_others"`
	// Lost is what dead processes hold for good.
	Lost      int64 `json:"lost"`
	Shortfall int64 `json:"short"`
	// ReadAgeMS is the time since the log was last read up to its end;
	// TouchAgeMS since it last took a statement.
	ReadAgeMS    int64 `json:"read_age_ms"`
	RenewalAgeMS int64 `json:"touch_age_ms"`
}

// Balance returns one budget.
func (a *Accounts) Balance(team record.Team, now time.Duration) Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balance(team, now)
}

func (a *Accounts) balance(team record.Team, now time.Duration) Balance {
	acct := a.accounts[team]
	if acct == nil {
		acct = &account{} // Nothing is held of it; a look must not open it.
	}
	balance := Balance{
		Team: team, Role: a.role.String(), Prepaid: a.prepaidTotals[team], Claimed: acct.claimed, Settled: acct.settled, Reserved: acct.reserved,
		Transferred: acct.transferred, Received: acct.received, InitialBound: acct.loggedBound.initial, Spendable: acct.spendable(now),
		ClaimedByOthers: a.claimedByOthers(team), Shortfall: acct.shortfall,
		ReadAgeMS: (now - a.caughtUpAt).Milliseconds(), RenewalAgeMS: (now - a.renewedAt).Milliseconds(),
	}
	for _, p := range a.others {
		claim := p.claim(team)
		balance.UsedByOthers += claim.Used
		if !a.isAlive(p) {
			balance.Lost += claim.allotment() - claim.Used
		}
	}
	return balance
}

// Balances copies the budgets.
func (a *Accounts) Balances(now time.Duration) []Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Balance
	for _, team := range a.sortedTeams() {
		list = append(list, a.balance(team, now))
	}
	return list
}
