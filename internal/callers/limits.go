package callers

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"guavapier/internal/membudget"
)

const (
	// maxPipelinedRate and maxPipelinedBurst bound the pipelined requests a second of one connection;
	// more are delayed. Callers wait for their answers.
	maxPipelinedRate, maxPipelinedBurst = 20, 10
	// evictedShare is the part of all connections that is evicted at a time, so that the table
	// is searched seldom.
	evictedShare = 32
	// evictableAge is how long a connection may take for its first request, or for a header,
	// before it is evicted while others are idle.
	evictableAge = 500 * time.Millisecond
	// evictableStall is how long a caller may take nothing of its answer before its connection
	// is evicted while there is no other to evict.
	evictableStall = 2 * time.Second
)

// Limits bound what the callers of a listener can take of the instance.
type Limits struct {
	// MaxConnections is the most connections that are open; 0 for no limit. A new one ends the
	// one that has gone longest without a request.
	MaxConnections int
	// Heads is the memory for headers that are larger than usual; nil for no limit.
	Heads *membudget.Part
}

// limits are the Limits of a connection's listener and those of the desired state.
type limits struct {
	maxConnections int
	heads          *membudget.Part
	maxHeaderBytes atomic.Int64 // 0 for no limit.
	counts         limitCounts
}

// limitCounts are numbers of connections that met a limit.
type limitCounts struct{ evicted, rejected, refusedHeads atomic.Int64 }

// LimitCounts are numbers of connections that met a limit, since the start.
type LimitCounts struct {
	Evicted      int64 // Ended to make room for a new one.
	Rejected     int64 // New ones for which there was no room.
	RefusedHeads int64 // Ended because of a request's header: too large, or without memory for it.
}

// Counts returns how many connections have met a limit.
func (cs *Connections) Counts() LimitCounts {
	c := &cs.limits.counts
	return LimitCounts{Evicted: c.evicted.Load(), Rejected: c.rejected.Load(), RefusedHeads: c.refusedHeads.Load()}
}

// SetLimits sets the limits; it has to be called before the first Accept.
func (cs *Connections) SetLimits(l Limits) {
	cs.limits.maxConnections, cs.limits.heads = l.MaxConnections, l.Heads
}

// SetHeaderLimits changes how many bytes a request's header may have, and how long it may take to
// arrive; 0 for no limit of the size and the default time.
func (cs *Connections) SetHeaderLimits(maxBytes int, timeout time.Duration) {
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	cs.limits.maxHeaderBytes.Store(int64(maxBytes))
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.headerTimeout = timeout
}

// makeRoom ends connections that wait for a request, or don't take their answer, if there are too
// many. It reports whether another
// one can be added.
func (cs *Connections) makeRoom() bool {
	limit := cs.limits.maxConnections
	if limit <= 0 || cs.Len() < limit {
		return true
	}
	conns, _, _ := cs.snapshot()
	now := time.Now()
	candidates, ending := evictable(conns, now)
	if len(conns)-ending < limit {
		return true // Those that are ending are closed by the goroutines that serve them.
	}
	batch := max(1, limit/evictedShare)
	for _, candidate := range candidates[:min(batch, len(candidates))] {
		candidate.evict()
		cs.limits.counts.evicted.Add(1)
	}
	return len(candidates) > 0
}

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn *conn
	rank evictionRank
	// fromSame is the number of connections of the same address.
	fromSame int
	since    time.Time // Start of its wait for a request.
}

// evictionRank orders connections by what their callers lose; the lowest go first.
type evictionRank int

const (
	rankClosing evictionRank = iota // It was answered and is about to be closed.
	rankStalled                     // No request has arrived, or only a part of its header.
	rankIdle                        // Its last request was answered.
	rankRecent                      // It was just made.
	rankUnread                      // Its caller takes nothing of its answer.
)

// evictable returns the connections that may be evicted, those first that are to be evicted first:
// of each rank those whose address has most, and of these the oldest. ending is the number of
// connections that were ended and are not closed yet.
func evictable(conns []*conn, now time.Time) (candidates []evictionCandidate, ending int) {
	fromAddress := map[string]int{}
	for _, c := range conns {
		if c.isEnding() {
			ending++
		}
		fromAddress[c.host]++
		if candidate, ok := c.evictionCandidate(now); ok {
			candidates = append(candidates, candidate)
		}
	}
	for i := range candidates {
		candidates[i].fromSame = fromAddress[candidates[i].conn.host]
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.fromSame, a.fromSame), a.since.Compare(b.since))
	})
	return candidates, ending
}

// isEnding reports whether the connection was ended and nothing was read since.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired || c.evicted
}

// evictionCandidate returns the connection as a candidate; false if it must not be evicted.
func (c *conn) evictionCandidate(now time.Time) (evictionCandidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.closingSince.IsZero():
		return evictionCandidate{conn: c, rank: rankClosing, since: c.closingSince}, true
	case c.expired || c.evicted:
		return evictionCandidate{}, false
	case c.phase == phaseActive:
		return evictionCandidate{conn: c, rank: rankUnread, since: c.writingSince}, !c.writingSince.IsZero() && now.Sub(c.writingSince) > evictableStall
	case c.phase == phaseIdle && c.unansweredSince.IsZero():
		return evictionCandidate{conn: c, rank: rankIdle, since: c.phaseStart}, true
	}
	since := c.phaseStart
	if !c.unansweredSince.IsZero() {
		since = c.unansweredSince
	}
	if now.Sub(since) < evictableAge {
		return evictionCandidate{conn: c, rank: rankRecent, since: since}, true
	}
	return evictionCandidate{conn: c, rank: rankStalled, since: since}, true
}

// evict ends the candidate's connection. One that waits for a request is read first if it has just
// arrived.
func (e evictionCandidate) evict() {
	switch e.rank {
	case rankClosing, rankUnread:
		_ = e.conn.Close() // Fails only if it is closed already.
	default:
		e.conn.endUnread(e.rank != rankIdle)
	}
}

// endUnread ends the connection unless its request has been read; with force, also if a part of
// one has arrived.
func (c *conn) endUnread(force bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseActive {
		return
	}
	c.evicted = force
	c.expire()
}
