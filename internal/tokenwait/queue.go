// Package tokenwait decides which requests wait for prepaid tokens that the instance does not
// hold, and which are refused at once because waiting would not help them.
//
// A request that gets tokens waits for some tens of milliseconds, as long as a claim or a
// withdrawal takes. An organisation is short if none of its requests has got tokens during a whole
// maximum wait. From then on, only as many of its requests wait as tokens came lately; if none
// came, a single one waits from time to time as a probe. When tokens come again, the number grows
// with each request served, and all may wait once no request has been refused for a while.
//
// Queue performs no I/O and reads no clock; callers pass the time.
package tokenwait

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"guavapier/internal/record"
)

const (
	// recoveryTime is how long no request of a short organisation may have been refused, while
	// others were served, until the organisation is no longer short.
	recoveryTime = 400 * time.Millisecond
	// forgetAfter is how long after its last refusal an organisation is no longer considered
	// short, although no request has been served since.
	forgetAfter = 2 * time.Second
	// minProbeInterval and maxProbeInterval bound the pause between two probes. It is
	// probeIntervalShare of the duration of the shortage.
	minProbeInterval   = 100 * time.Millisecond
	maxProbeInterval   = time.Second
	probeIntervalShare = 0.25
	// supplyGrowth is for how many more tokens requests may wait for each token that a
	// request got.
	supplyGrowth = 0.25
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may try
	// again. It grows by retryAfterShare of the duration of the shortage.
	minRetryAfter   = time.Second
	maxRetryAfter   = 4 * time.Second
	retryAfterShare = 0.25
)

// Request is a request that found too few tokens at the instance.
type Request struct {
	Team   record.Team
	Tokens int64 // The maximum that it may use.
	// Total is the organisation's prepaid total. A raise lets all its requests wait again.
	Total int64
	// Urgency is from 0, served first.
	Urgency int
}

// Waiter is a request that waits for tokens.
type Waiter struct {
	Request
	since   time.Duration
	isProbe bool
	refused chan struct{}
}

// Refused returns a channel that is closed when the request should wait no longer.
func (w *Waiter) Refused() <-chan struct{} { return w.refused }

// Outcome is how a wait has ended.
type Outcome uint8

// Outcomes of a wait.
const (
	// Served: the request got its tokens.
	Served Outcome = iota
	// Refused: the request got no tokens for as long as it may wait.
	Refused
	// Unsupplied: all sources of tokens have been asked and have none.
	Unsupplied
	// Abandoned: the wait ended for another reason, which says nothing about the supply.
	Abandoned
)

// supply is what is known about the tokens that requests of one organisation get.
type supply struct {
	total       int64     // Highest total of a request.
	waiting     []*Waiter // Sorted by compareWaiters.
	isShort     bool
	shortSince  time.Duration
	lastRefusal time.Duration
	lastProbe   time.Duration // End of the last probe.
	served      recentSum     // Tokens that requests got.
	// allowance is the number of tokens for which requests may wait while the organisation is
	// short.
	allowance int64
	// isFailing reports whether waits have ended without tokens since a request was last
	// served; failingSince is the start of the first of them.
	isFailing    bool
	failingSince time.Duration
}

// Queue holds the waiting requests of all organisations. It is safe for concurrent use.
type Queue struct {
	maxWait  time.Duration
	mu       sync.Mutex
	supplies map[record.Team]*supply
}

// New returns an empty Queue. A request waits for up to maxWait.
func New(maxWait time.Duration) *Queue {
	return &Queue{maxWait: maxWait, supplies: map[record.Team]*supply{}}
}

// Join adds a request, or returns nil if it should be refused at once.
//
// The load that it answers: an organisation whose requests arrive by hundreds a second while no
// tokens come for seconds. If all of them waited, each caller would be held for nothing.
func (q *Queue) Join(r Request, now time.Duration) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.supplies[r.Team]
	if s == nil {
		s = &supply{served: recentSum{period: q.maxWait}}
		q.supplies[r.Team] = s
	}
	s.recover(now)
	if r.Total > s.total {
		s.total, s.isShort, s.isFailing = r.Total, false, false
	}
	w := &Waiter{Request: r, since: now, refused: make(chan struct{})}
	w.isProbe = s.isShort && s.isProbeDue(now)
	s.insert(w)
	s.trim(now)
	if !slices.Contains(s.waiting, w) {
		return nil
	}
	return w
}

// End removes a request that waits no longer. It reports whether the organisation has become
// short by that.
func (q *Queue) End(w *Waiter, outcome Outcome, now time.Duration) (becameShort bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.supplies[w.Team]
	wasShort := s.isShort
	s.waiting = slices.DeleteFunc(s.waiting, func(other *Waiter) bool { return other == w })
	if w.isProbe {
		s.lastProbe = now
	}
	switch outcome {
	case Served:
		s.recordServed(w.Tokens, now)
	case Refused, Unsupplied:
		s.recordRefused(w, outcome, q.maxWait, now)
	case Abandoned:
	}
	return s.isShort && !wasShort
}

// RecordServed records that a request got its tokens without waiting.
func (q *Queue) RecordServed(team record.Team, tokens int64, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.supplies[team]; s != nil {
		s.recordServed(tokens, now)
	}
}

// Reset lets all requests wait again. Call it when tokens may come from a new source: an
// allocator has become reachable, or a total was raised.
func (q *Queue) Reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.supplies {
		s.isShort, s.isFailing = false, false
	}
}

// Smallest returns the tokens of the smallest waiting request of an organisation, at most the given
// number.
func (q *Queue) Smallest(team record.Team, tokens int64) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.supplies[team]
	if s == nil {
		return tokens
	}
	for _, w := range s.waiting {
		tokens = min(tokens, w.Tokens)
	}
	return tokens
}

// Shortage describes the supply of an organisation.
type Shortage struct {
	// Age is the time since the start of the first wait that got no tokens; 0 if the
	// organisation is not short.
	Age time.Duration
	// RetryAfter is when a refused caller should try again.
	RetryAfter time.Duration
	// Waiting is the number of requests that wait; Allowance is the number of tokens for which
	// requests may wait besides a probe while the organisation is short.
	Waiting   int
	Allowance int64
}

// Shortage returns the state of an organisation.
func (q *Queue) Shortage(team record.Team, now time.Duration) Shortage {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := Shortage{RetryAfter: minRetryAfter}
	s := q.supplies[team]
	if s == nil {
		return state
	}
	s.recover(now)
	state.Waiting = len(s.waiting)
	if !s.isShort {
		return state
	}
	state.Age, state.Allowance = now-s.shortSince, s.allowance
	if s.served.perPeriod(now) == 0 {
		state.RetryAfter = min(minRetryAfter+time.Duration(retryAfterShare*float64(state.Age)), maxRetryAfter)
	}
	return state
}

// recover ends the shortage if requests were served and none was refused for recoveryTime, or if
// none was refused for forgetAfter.
func (s *supply) recover(now time.Duration) {
	calm := now - s.lastRefusal
	if calm >= forgetAfter || calm >= recoveryTime && s.served.perPeriod(now) > 0 {
		s.isShort, s.isFailing = false, false
	}
}

// isProbeDue reports whether a single request may wait although no tokens came lately.
func (s *supply) isProbeDue(now time.Duration) bool {
	interval := time.Duration(probeIntervalShare * float64(now-s.shortSince))
	return len(s.waiting) == 0 && now-s.lastProbe >= min(max(interval, minProbeInterval), maxProbeInterval)
}

// insert adds a waiter in its order.
func (s *supply) insert(w *Waiter) {
	at, _ := slices.BinarySearchFunc(s.waiting, w, compareWaiters)
	s.waiting = slices.Insert(s.waiting, at, w)
}

// compareWaiters orders waiters: a probe first, then by urgency, then the smaller ones, of which
// more can be served, then by arrival.
func compareWaiters(a, b *Waiter) int {
	if a.isProbe != b.isProbe {
		if a.isProbe {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.since, b.since))
}

// trim refuses the waiters that exceed the allowance of a short organisation, the last ones in
// their order. A probe stays.
func (s *supply) trim(now time.Duration) {
	if !s.isShort {
		return
	}
	sum := int64(0)
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if sum+w.Tokens > s.allowance && !w.isProbe {
			close(w.refused)
			s.lastRefusal = now
			continue
		}
		if !w.isProbe {
			sum += w.Tokens
		}
		kept = append(kept, w)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// recordServed lets more requests wait.
func (s *supply) recordServed(tokens int64, now time.Duration) {
	s.isFailing = false
	s.served.add(tokens, now)
	if s.isShort {
		s.allowance += int64(supplyGrowth * float64(tokens))
		s.recover(now)
	}
}

// recordRefused makes the organisation short if no source has tokens, or if requests have waited in
// vain for maxWait. It limits the waiting requests to the tokens that came lately.
func (s *supply) recordRefused(w *Waiter, outcome Outcome, maxWait, now time.Duration) {
	s.recover(now)
	s.lastRefusal = now
	if !s.isFailing {
		s.isFailing, s.failingSince = true, w.since
	}
	waitedInVain := now-w.since >= maxWait || now-s.failingSince >= maxWait
	if !s.isShort && outcome == Refused && !waitedInVain {
		return
	}
	if !s.isShort {
		s.isShort, s.shortSince, s.lastProbe = true, s.failingSince, now
	}
	s.allowance = s.served.perPeriod(now)
	s.trim(now)
}
