package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// Reclaim is the final record of a dead process, which its successor writes in its place.
type Reclaim struct {
	Key       record.InstanceID
	Statement ClaimRecord
	// Tokens is the number of tokens of all budgets that the record returns.
	Tokens int64
	// Age is the maximum time from the dead process's last renewal to the start of this one.
	Age time.Duration
}

// Reclaims returns the final records of earlier processes of this host. Each has used at most
// its spending bound at its maximum age and returns the rest. Processes whose age cannot be
// determined keep their claims permanently.
//
// A delayed write of the dead process may replace its final record. It raises the claim again,
// which wastes tokens but cannot cause overspending, since the dead process never used it.
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

// finalRecord returns the record that leaves the process what it may have used or transferred
// if its last renewal was at most age before its end.
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

// reclaimedTokens returns how many fewer tokens final, see finalRecord, claims than last, the
// last record that was read from the process.
func reclaimedTokens(last, final ClaimRecord) int64 {
	sum := int64(0)
	for i, claim := range last.Claims {
		sum += claim.Claimed - final.Claims[i].Claimed
	}
	return sum
}
