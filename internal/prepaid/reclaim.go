package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// Reclaim is a dead process's last word, written by its successor.
type Reclaim struct {
	Key       record.InstanceID
	Statement ClaimRecord
	// Tokens is how much of all budgets goes back.
	Tokens int64
	// Age is the time from the dead process's last touch to this one's start.
	Age time.Duration
}

// Reclaims returns the final statements of earlier processes of this host: they
// used no more than their allowances at the time that they had at most, the rest
// goes back. Those of which that time can't be told keep their claims for good.
//
// A write of the dead process that arrives after this one only claims more,
// which wastes tokens and overspends none: it never took effect for the dead.
func (a *Accounts) Reclaims(now time.Duration) []Reclaim {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Reclaim
	for key, p := range a.others {
		if p.Node != a.self.Node || p.Started >= a.self.Started || p.Closed {
			continue
		}
		age, known := a.ageAtStart(&p.ClaimRecord, now)
		if !known {
			continue
		}
		final := p.finalRecord(age)
		if tokens := reclaimedTokens(p.ClaimRecord, final); tokens > 0 {
			list = append(list, Reclaim{Key: key, Statement: final, Tokens: tokens, Age: age})
		}
	}
	return list
}

// finalRecord returns the statement that leaves the process what it may have used or
// given, if it lived so long after Touched at most.
func (p *otherProcess) finalRecord(age time.Duration) ClaimRecord {
	rec := p.ClaimRecord
	rec.Closed = true
	rec.Claims = nil
	for _, claim := range p.Claims {
		claim.Claimed = min(claim.Claimed, claim.maxConsumed(age))
		claim.Shortfall = 0
		rec.Claims = append(rec.Claims, claim)
	}
	return rec
}

func reclaimedTokens(was, final ClaimRecord) int64 {
	sum := int64(0)
	for i, claim := range was.Claims {
		sum += claim.Claimed - final.Claims[i].Claimed
	}
	return sum
}
