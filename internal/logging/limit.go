package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limit thins lines that come too fast. It implements zerolog.Sampler.
//
// It is made for a flood of requests at one instance: each refused request
// writes two lines, and an instance of a fifth of a core that wrote them all no
// longer followed the log in time. Lines of each level have a number a second of
// their own, so that ordinary ones never push out warnings; errors always pass.
type Limit struct {
	perSecond int
	now       func() time.Time

	mu      sync.Mutex
	second  int64
	written map[zerolog.Level]int
	thinned int64
}

// NewLimit returns a Limit of so many lines a second and level.
func NewLimit(perSecond int) *Limit { return newLimit(perSecond, time.Now) }

func newLimit(perSecond int, now func() time.Time) *Limit {
	return &Limit{perSecond: perSecond, now: now, written: map[zerolog.Level]int{}}
}

// Sample implements zerolog.Sampler.
func (l *Limit) Sample(level zerolog.Level) bool {
	if level >= zerolog.ErrorLevel {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second = second
		clear(l.written)
	}
	l.written[level]++
	if l.written[level] > l.perSecond {
		l.thinned++
		return false
	}
	return true
}

// Thinned returns how many lines did not pass.
func (l *Limit) Thinned() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.thinned
}
