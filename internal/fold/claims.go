package fold

import (
	"time"

	"guavapier/internal/record"
)

// ClaimWindow is how long the tables remember a claim after it was made, and
// thus how long a caller may retry a request under its key. It decides what
// effect a record has, so all instances must use the same value.
const ClaimWindow = 24 * time.Hour

// Shard is the last epoch of a claim shard. Offset is the offset of the batch
// that began the epoch.
type Shard struct {
	record.Shard
	Offset uint64 `json:"offset"`
	Closed bool   `json:"closed"`
}

// Supersedable reports whether the next epoch may begin. An epoch with a
// witness must be closed first: its holder and its witness may still count
// claims on the far side of a network partition. An epoch without a witness
// counts a claim only once it is on the log, so that the record of the next
// epoch ends it.
func (s Shard) Supersedable() bool { return s.Closed || s.Witness == "" }

// Claim is one row of the claim table.
type Claim struct {
	record.Claim
	// Outcome is 0 until the run has ended.
	Outcome record.Outcome `json:"outcome"`
}

// shardKey identifies a claim shard within a partition.
type shardKey struct {
	zone  record.Zone
	shard int
}

// claimAge is an entry of the queue by which claims expire.
type claimAge struct {
	key       identityHash
	run       record.RunID
	unixMilli int64
}

// claimTables holds the claim shards, claims and sessions of a partition.
type claimTables struct {
	shards map[shardKey]*Shard
	// shardByRight holds the last epochs of the shards by their right.
	shardByRight map[record.RightID]*Shard
	claims       map[identityHash]*Claim
	// order holds the claims in log order; expired claims are removed from its
	// front.
	order queue[claimAge]
	// latestUnixMilli is the largest claim time seen. Claims expire by it and
	// not by a clock, so that the fold stays deterministic.
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

// apply applies one record. It ignores the kinds that belong to other tables.
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

// applyShard ignores an epoch that is not the next one, whose predecessor may
// still count claims, or whose holder is its own witness.
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

// applyClaim ignores a claim of an epoch that has ended, and a claim of a key
// that has another run.
func (t *claimTables) applyClaim(r record.Claim) {
	if s := t.shardByRight[r.Right]; s == nil || s.Closed {
		return
	}
	t.addClaim(r)
}

// addClaim adds a claim, or sets the endpoint of the claim that its run has
// already. It ignores a claim of a key that has another run, unless the holder
// has released the key in between.
func (t *claimTables) addClaim(r record.Claim) {
	if r.Run == "" {
		return
	}
	key := hashRequestKey(r.Key)
	row, ok := t.claims[key]
	if ok && row.Run == r.Run && r.Endpoint != "" {
		row.Endpoint = r.Endpoint
	}
	// The holder counts a second run of a key only after the first one ended as
	// OutcomeNotRun. The first run's ClaimEnd may follow later, or never.
	released := ok && row.Right == r.Right && row.Seq < r.Seq && row.Outcome == 0
	if ok && !released {
		return
	}
	t.claims[key] = &Claim{Claim: r}
	t.order.push(claimAge{key: key, run: r.Run, unixMilli: r.UnixMilli})
	t.latestUnixMilli = max(t.latestUnixMilli, r.UnixMilli)
	t.pruneExpired()
}

// pruneExpired removes the claims that are older than ClaimWindow from the
// front of the queue. A later claim of the same key stays.
func (t *claimTables) pruneExpired() {
	oldest := t.latestUnixMilli - ClaimWindow.Milliseconds()
	for t.order.len() > 0 && t.order.front().unixMilli < oldest {
		old := t.order.pop()
		if row, ok := t.claims[old.key]; ok && row.Run == old.run {
			delete(t.claims, old.key)
		}
	}
}

// applyClaimEnd records the first outcome of a run. OutcomeNotRun removes the
// claim and so releases its key.
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

// applyClose ends an epoch on behalf of its holder, its witness or an operator.
// It adds the counted claims that were not on the log yet.
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
