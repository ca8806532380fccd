package logging

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// LineKind classes log lines by their use to an operator. Each kind has a limit of its own,
// so that lines of one kind never displace those of another.
type LineKind uint8

// Kinds of log lines.
const (
	// LineRoutine is a line about a request that was served well.
	LineRoutine LineKind = iota
	// LineInfo is any other line below warning.
	LineInfo
	// LineWarning is a line of warning level.
	LineWarning
	lineKinds
)

// routineShare is the part of the rate that routine lines may take beside full limits of the
// other kinds. What these leave unused they may take too, up to the whole rate.
const routineShare = 0.25

// SuppressedLines are numbers of suppressed log lines by kind.
type SuppressedLines struct {
	Routine, Info, Warning int64
}

// Sum returns the number of lines of all kinds.
func (s SuppressedLines) Sum() int64 { return s.Routine + s.Info + s.Warning }

// RateLimiter suppresses log lines above a rate. It implements zerolog.Sampler
// and is safe for concurrent use.
//
// It protects an instance that is flooded with requests. Each refused request
// writes two lines, and an instance with a fifth of a core that wrote all of them
// fell behind in reading the fleet's log streams. At such an instance the lines of
// refused, late and failed requests are kept before those of requests that were served
// well. Errors are never suppressed.
type RateLimiter struct {
	linesPerSecond int
	now            func() time.Time

	mu            sync.Mutex
	currentSecond int64
	lines         [lineKinds]int // Lines of the current second, suppressed ones included.
	routineLimit  int            // Routine lines that may be written in the current second.
	suppressed    [lineKinds]int64
}

// NewRateLimiter returns a RateLimiter that passes up to linesPerSecond lines of
// each kind in each second of the clock, fewer routine ones while there are many others.
func NewRateLimiter(linesPerSecond int) *RateLimiter { return newRateLimiter(linesPerSecond, time.Now) }

func newRateLimiter(linesPerSecond int, now func() time.Time) *RateLimiter {
	return &RateLimiter{linesPerSecond: linesPerSecond, now: now, routineLimit: linesPerSecond}
}

// Sample reports whether a line of this level that is not routine is to be written. It
// implements zerolog.Sampler.
func (l *RateLimiter) Sample(level zerolog.Level) bool {
	switch {
	case level >= zerolog.ErrorLevel:
		return true
	case level == zerolog.WarnLevel:
		return l.allow(LineWarning)
	}
	return l.allow(LineInfo)
}

// Routine returns the sampler of routine lines.
func (l *RateLimiter) Routine() zerolog.Sampler { return routineSampler{l} }

// routineSampler implements zerolog.Sampler for routine lines.
type routineSampler struct{ limiter *RateLimiter }

// Sample implements zerolog.Sampler.
func (s routineSampler) Sample(zerolog.Level) bool { return s.limiter.allow(LineRoutine) }

// allow counts a line and reports whether it is to be written.
func (l *RateLimiter) allow(kind LineKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.currentSecond {
		l.startSecond(second)
	}
	limit := l.linesPerSecond
	if kind == LineRoutine {
		limit = l.routineLimit
	}
	l.lines[kind]++
	if l.lines[kind] > limit {
		l.suppressed[kind]++
		return false
	}
	return true
}

// startSecond begins a new second. Routine lines get what the other kinds left of their own
// limits in the second before, if it was the last one.
func (l *RateLimiter) startSecond(second int64) {
	unused := 2 * l.linesPerSecond
	if second == l.currentSecond+1 {
		unused -= min(l.lines[LineInfo], l.linesPerSecond) + min(l.lines[LineWarning], l.linesPerSecond)
	}
	least := int(routineShare * float64(l.linesPerSecond))
	l.routineLimit = min(max(unused, least), l.linesPerSecond)
	l.currentSecond, l.lines = second, [lineKinds]int{}
}

// Suppressed returns the numbers of lines suppressed so far.
func (l *RateLimiter) Suppressed() SuppressedLines {
	l.mu.Lock()
	defer l.mu.Unlock()
	return SuppressedLines{Routine: l.suppressed[LineRoutine], Info: l.suppressed[LineInfo], Warning: l.suppressed[LineWarning]}
}
