package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// RateLimiter thins lines that come too fast. It implements zerolog.Sampler.
//
// It is made for a flood of requests at one instance: each refused request
// writes two lines, and an instance of a fifth of a core that wrote them all no
// longer followed the log in time. Lines of each level have a number a second of
// their own, so that ordinary ones never push out warnings; errors always pass.
type RateLimiter struct {
	linesPerSecond int
	now            func() time.Time

	mu            sync.Mutex
	currentSecond int64
	linesByLevel  map[zerolog.Level]int
	suppressed    int64
}

// NewRateLimiter returns a Limit of so many lines a second and level.
func NewRateLimiter(linesPerSecond int) *RateLimiter { return newRateLimiter(linesPerSecond, time.Now) }

func newRateLimiter(linesPerSecond int, now func() time.Time) *RateLimiter {
	return &RateLimiter{linesPerSecond: linesPerSecond, now: now, linesByLevel: map[zerolog.Level]int{}}
}

// Sample implements zerolog.Sampler.
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

// Suppressed returns how many lines did not pass.
func (l *RateLimiter) Suppressed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}
