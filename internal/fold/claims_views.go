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

// ClaimShards returns the last epoch of every claim shard, in no particular
// order.
func (l *Ledger) ClaimShards() []Shard {
	out := make([]Shard, 0, len(l.claims.shards))
	for _, s := range l.claims.shards {
		out = append(out, *s)
	}
	return out
}

// ShardByRight returns the claim shard epoch that a right stands for, if it is
// the last epoch of its shard.
func (l *Ledger) ShardByRight(id record.RightID) (Shard, bool) {
	s, ok := l.claims.shardByRight[id]
	if !ok {
		return Shard{}, false
	}
	return *s, true
}

// Claim returns the claim of a request key. There is none for a key that was
// released, nor for a claim older than ClaimWindow.
func (l *Ledger) Claim(key record.RequestKey) (Claim, bool) {
	c, ok := l.claims.claims[hashRequestKey(key)]
	if !ok {
		return Claim{}, false
	}
	return *c, true
}

// ClaimCount returns the number of claims in the table.
func (l *Ledger) ClaimCount() int { return len(l.claims.claims) }

// LatestClaimUnixMilli returns the largest claim time seen, in Unix
// milliseconds.
func (l *Ledger) LatestClaimUnixMilli() int64 { return l.claims.latestUnixMilli }

// SessionEnded reports whether a session was ended by its owner.
func (l *Ledger) SessionEnded(team record.Team, session record.SessionID) bool {
	_, ok := l.claims.endedSessions[hashSession(team, session)]
	return ok
}
