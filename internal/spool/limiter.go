package spool

import "sync"

// minDivisor keeps the first answers of slow callers from taking all the room: none holds more
// than this part of the bound.
const minDivisor = 8

// Limiter bounds the bytes that all spools of an instance hold together; each may hold one chunk
// beyond that. It is safe for
// concurrent use, does no I/O and has no clock.
type Limiter struct {
	limit int64 // Bytes.

	mu      sync.Mutex
	held    int64 // By all spools, and by answers that are counted with Count.
	holders int   // Spools that hold something.
	changed chan struct{}
}

// NewLimiter returns a Limiter that lets spools hold up to limit bytes together.
func NewLimiter(limit int64) *Limiter {
	return &Limiter{limit: limit, changed: make(chan struct{})}
}

// Held returns the number of bytes that are held.
func (l *Limiter) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Count adds bytes that are held without a spool, which are never refused; a negative number
// removes them.
func (l *Limiter) Count(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held += n
	if n < 0 {
		l.notify()
	}
}

// take adds n bytes to the own bytes of a spool. It returns false, and the channel that is closed
// when there may be more room, if the spool may not hold them now.
func (l *Limiter) take(own, n int64) (ok bool, retry <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasRoom(own, n) {
		return false, l.changed
	}
	if own == 0 {
		l.holders++
	}
	l.held += n
	return true, nil
}

// hasRoom reports whether a spool that holds own bytes may hold n more: as long as it stays within
// an even share, in which the next spool is counted as well. One that holds nothing always may,
// as its caller may be waiting for the bytes.
func (l *Limiter) hasRoom(own, n int64) bool {
	if own == 0 {
		return true
	}
	evenShare := l.limit / int64(max(minDivisor, l.holders+1))
	return l.held+n <= l.limit && own+n <= evenShare
}

// give removes n of the own bytes of a spool.
func (l *Limiter) give(own, n int64) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held -= n
	if own == n {
		l.holders--
	}
	l.notify()
}

// notify wakes the spools that wait for room.
func (l *Limiter) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
