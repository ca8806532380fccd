package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// RateLimiter suppresses log lines above a rate. It implements zerolog.Sampler
// and is safe for concurrent use.
//
// It protects an instance that is flooded with requests. Each refused request
// writes two lines, and an instance with a fifth of a core that wrote all of them
// fell behind in reading the fleet's log streams. Each level has a limit of its
// own, so that info lines never displace warnings. Errors are never suppressed.
type RateLimiter struct {
	linesPerSecond int
	now            func() time.Time

	mu            sync.Mutex
	currentSecond int64
	linesByLevel  map[zerolog.Level]int
	suppressed    int64
}

// NewRateLimiter returns a RateLimiter that passes up to linesPerSecond lines of
// each level below error in each second of the clock.
func NewRateLimiter(linesPerSecond int) *RateLimiter { return newRateLimiter(linesPerSecond, time.Now) }

func newRateLimiter(linesPerSecond int, now func() time.Time) *RateLimiter {
	return &RateLimiter{linesPerSecond: linesPerSecond, now: now, linesByLevel: map[zerolog.Level]int{}}
}

// Sample reports whether a line of this level is to be written. It implements
// zerolog.Sampler.
func (l *RateLimiter) Sample(level zerolog.Level) bool {
	if level >= zerolog.ErrorLevel {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.currentSecond {
		l.currentSecond = second
		clear(l.linesByLevel)
	}
	l.linesByLevel[level]++
	if l.linesByLevel[level] > l.linesPerSecond {
		l.suppressed++
		return false
	}
	return true
}

// Suppressed returns the number of lines suppressed so far.
func (l *RateLimiter) Suppressed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}
