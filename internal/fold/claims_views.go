package fold

import "guavapier/internal/record"

// ClaimShard returns the last epoch of a claim shard.
func (l *Ledger) ClaimShard(zone record.Zone, shard int) (Shard, bool) {
	s, ok := l.claims.shards[shardKey{zone: zone, shard: shard}]
	if !ok {
		return Shard{}, false
	}
	return *s, true
}

// ClaimShards returns the last epoch of every claim shard in no fixed order.
func (l *Ledger) ClaimShards() []Shard {
	out := make([]Shard, 0, len(l.claims.shards))
	for _, s := range l.claims.shards {
		out = append(out, *s)
	}
	return out
}

// ShardByRight returns the epoch that a right stands for, if it is its shard's
// last one.
func (l *Ledger) ShardByRight(id record.RightID) (Shard, bool) {
	s, ok := l.claims.shardByRight[id]
	if !ok {
		return Shard{}, false
	}
	return *s, true
}

// Claim returns the claim of a request key. A key that was freed, or is older
// than ClaimWindow, has none.
func (l *Ledger) Claim(key record.RequestKey) (Claim, bool) {
	c, ok := l.claims.claims[hashRequestKey(key)]
	if !ok {
		return Claim{}, false
	}
	return *c, true
}

// ClaimCount returns the number of claims remembered.
func (l *Ledger) ClaimCount() int { return len(l.claims.claims) }

// LatestClaimUnixMilli returns the largest claim time seen, in Unix milliseconds.
func (l *Ledger) LatestClaimUnixMilli() int64 { return l.claims.latestUnixMilli }

// SessionEnded says whether a session was ended by its owner.
func (l *Ledger) SessionEnded(team record.Team, session record.SessionID) bool {
	_, ok := l.claims.endedSessions[hashSession(team, session)]
	return ok
}
