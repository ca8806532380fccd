package spool

import (
	"sync"

	"guavapier/internal/membudget"
)

// minDivisor keeps the first answers of slow callers from taking all the room: none holds more
// than this part of the bound.
const minDivisor = 8

// Limiter bounds the bytes that all spools and buffers of an instance hold together; each may hold
// one chunk beyond that. It is safe for concurrent use, does no I/O and has no clock.
type Limiter struct {
	memory *membudget.Part

	mu      sync.Mutex
	holders int // Spools and buffers that hold something.
}

// NewLimiter returns a Limiter that lets spools and buffers hold up to limit bytes together.
func NewLimiter(limit int64) *Limiter {
	return NewSharedLimiter(membudget.New(limit).NewPart(0))
}

// NewSharedLimiter returns a Limiter of memory that other uses share.
func NewSharedLimiter(memory *membudget.Part) *Limiter { return &Limiter{memory: memory} }

// Held returns the number of bytes that are held.
func (l *Limiter) Held() int64 { return l.memory.Used() }

// take adds n bytes to the own bytes of a spool. It returns false, and the channel that is closed
// when there may be more room, if the spool may not hold them now.
func (l *Limiter) take(own, n int64) (ok bool, retry <-chan struct{}) {
	retry = l.memory.Budget().Changed()
	return l.tryTake(own, n), retry
}

// tryTake adds n bytes to the own bytes of a spool or buffer if it stays within an even share, in
// which the next one is counted as well. One that holds nothing always may take some, as its
// caller may be waiting for the bytes.
func (l *Limiter) tryTake(own, n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own == 0 {
		l.holders++
		l.memory.Take(n)
		return true
	}
	evenShare := l.memory.Max() / int64(max(minDivisor, l.holders+1))
	return own+n <= evenShare && l.memory.TryTake(n)
}

// give removes n of the own bytes of a spool or buffer.
func (l *Limiter) give(own, n int64) {
	if n == 0 {
		return
	}
	l.mu.Lock()
	if own == n {
		l.holders--
	}
	l.mu.Unlock()
	l.memory.Give(n)
}
