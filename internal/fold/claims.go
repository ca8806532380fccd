package fold

import (
	"time"

	"guavapier/internal/record"
)

// ClaimWindow is how long the tables remember a claim after it was made. It is
// part of what a record means: all instances must have the same one. A caller
// may retry a request under its key for that long.
const ClaimWindow = 24 * time.Hour

// Shard is the last epoch of a claim shard.
type Shard struct {
	record.Shard
	Offset uint64 `json:"offset"`
	Closed bool   `json:"closed"`
}

// Supersedable says whether the next epoch may begin. An epoch with a witness
// must be closed first: its holder and witness may go on counting claims
// behind a partition. An epoch without one counts its claims by this log
// alone, so the next epoch's record itself ends it.
func (s Shard) Supersedable() bool { return s.Closed || s.Witness == "" }

// Claim is one row of the claim table.
type Claim struct {
	record.Claim
	// Outcome is 0 until the run has ended.
	Outcome record.Outcome `json:"outcome"`
}

// shardKey names a claim shard of this partition.
type shardKey struct {
	zone  record.Zone
	shard int
}

type claimAge struct {
	key       identityHash
	run       record.RunID
	unixMilli int64
}

// claimTables hold claim shards, claims and ended sessions of a partition.
type claimTables struct {
	shards map[shardKey]*Shard
	// shardByRight finds the shards' last epochs by their right.
	shardByRight map[record.RightID]*Shard
	claims       map[identityHash]*Claim
	// order has the claims as they came; old ones leave at the front.
	order queue[claimAge]
	// latestUnixMilli is the largest claim time seen. Only it decides what is old.
	latestUnixMilli int64
	endedSessions   map[identityHash]struct{}
	openSessions    sessionTable
}

func newClaimTables() claimTables {
	return claimTables{
		shards:        map[shardKey]*Shard{},
		shardByRight:  map[record.RightID]*Shard{},
		claims:        map[identityHash]*Claim{},
		endedSessions: map[identityHash]struct{}{},
		openSessions:  newSessionTable(),
	}
}

// apply applies one record; kinds of other tables have no effect.
func (t *claimTables) apply(offset uint64, rec record.Record) {
	switch r := rec.(type) {
	case record.Shard:
		t.applyShard(offset, r)
	case record.Claim:
		t.applyClaim(r)
	case record.ClaimEnd:
		t.applyClaimEnd(r)
	case record.Close:
		t.applyClose(r)
	case record.SessionOpened:
		if _, ended := t.endedSessions[hashSession(r.Team, r.Session)]; !ended {
			t.openSessions.add(r)
		}
	case record.SessionEnded:
		t.endedSessions[hashSession(r.Team, r.Session)] = struct{}{}
		t.openSessions.remove(hashSession(r.Team, r.Session))
	}
}

// applyShard voids an epoch that is not the next one, or whose predecessor
// may still count claims.
func (t *claimTables) applyShard(offset uint64, r record.Shard) {
	key := shardKey{zone: r.Zone, shard: r.Shard}
	last, known := t.shards[key]
	if r.Right == "" || r.Holder == "" || r.Holder == r.Witness || t.shardByRight[r.Right] != nil {
		return
	}
	if !known && r.Epoch != 1 {
		return
	}
	if known && (r.Epoch != last.Epoch+1 || !last.Supersedable()) {
		return
	}
	if known {
		delete(t.shardByRight, last.Right)
	}
	row := &Shard{Shard: r, Offset: offset}
	t.shards[key] = row
	t.shardByRight[r.Right] = row
}

// applyClaim voids a claim of an epoch that has ended, and of a key that has
// another run.
func (t *claimTables) applyClaim(r record.Claim) {
	if s := t.shardByRight[r.Right]; s == nil || s.Closed {
		return
	}
	t.addClaim(r)
}

func (t *claimTables) addClaim(r record.Claim) {
	if r.Run == "" {
		return
	}
	key := hashRequestKey(r.Key)
	row, ok := t.claims[key]
	if ok && row.Run == r.Run && r.Endpoint != "" {
		row.Endpoint = r.Endpoint
	}
	// The holder counts a second run of a key only after the first one did not
	// run; the record of that may come later, or never.
	released := ok && row.Right == r.Right && row.Seq < r.Seq && row.Outcome == 0
	if ok && !released {
		return
	}
	t.claims[key] = &Claim{Claim: r}
	t.order.push(claimAge{key: key, run: r.Run, unixMilli: r.UnixMilli})
	t.latestUnixMilli = max(t.latestUnixMilli, r.UnixMilli)
	t.pruneExpired()
}

// pruneExpired forgets the claims at the front that are older than the window.
func (t *claimTables) pruneExpired() {
	oldest := t.latestUnixMilli - ClaimWindow.Milliseconds()
	for t.order.len() > 0 && t.order.front().unixMilli < oldest {
		old := t.order.pop()
		if row, ok := t.claims[old.key]; ok && row.Run == old.run {
			delete(t.claims, old.key)
		}
	}
}

// applyClaimEnd counts the first outcome of a run. A run that did not run frees its
// key.
func (t *claimTables) applyClaimEnd(r record.ClaimEnd) {
	key := hashRequestKey(r.Key)
	row, ok := t.claims[key]
	if !ok || row.Run != r.Run || row.Outcome != 0 {
		return
	}
	if r.Outcome == record.OutcomeNotRun {
		delete(t.claims, key)
		return
	}
	row.Outcome = r.Outcome
}

// applyClose ends an epoch: by its holder, its witness or an operator. It
// brings the counted claims that are not on the log yet.
func (t *claimTables) applyClose(r record.Close) {
	s := t.shardByRight[r.Right]
	if s == nil || s.Closed {
		return
	}
	byWitness := s.Witness != "" && r.By == s.Witness
	if r.By != s.Holder && !byWitness && !r.Forced {
		return
	}
	for _, c := range r.Claims {
		if c.Right == r.Right {
			t.addClaim(c)
		}
	}
	s.Closed = true
}

func hashSession(team record.Team, session record.SessionID) identityHash {
	return hashStrings("session", string(team), string(session))
}
