package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// Balance is the state of one budget as log lines and state dumps show it. Amounts are
// tokens.
type Balance struct {
	Team record.Team `json:"team"`
	// Role is the instance's role in its zone: "claimant", "member" or "allocator".
	// A member does not know the claims of other instances.
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
	// Lost is what dead processes hold unused and nobody has reclaimed.
	Lost      int64 `json:"lost"`
	Shortfall int64 `json:"short"`
	// Waiting is the number of requests that wait for tokens; ShortForMS is how long no waiting
	// request has got any, or 0. Only Controller sets them.
	Waiting    int   `json:"waiting"`
	ShortForMS int64 `json:"short_for_ms"`
	// ReadAgeMS is the time since the log was last read up to its end, RenewalAgeMS
	// the time since the log last acknowledged a record of this process.
	ReadAgeMS    int64 `json:"read_age_ms"`
	RenewalAgeMS int64 `json:"touch_age_ms"`
}

// Balance returns the state of one budget.
func (a *Accounts) Balance(team record.Team, now time.Duration) Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balance(team, now)
}

func (a *Accounts) balance(team record.Team, now time.Duration) Balance {
	acct := a.accounts[team]
	if acct == nil {
		acct = &account{} // Reading a balance must not create an account.
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

// Balances returns the state of all budgets.
func (a *Accounts) Balances(now time.Duration) []Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Balance
	for _, team := range a.sortedTeams() {
		list = append(list, a.balance(team, now))
	}
	return list
}
