package prepaid

import (
	"slices"
	"time"

	"guavapier/internal/allocator"
)

// Clocks gives access to the clocks of one host.
type Clocks struct {
	BootID string
	// SinceBoot returns the time since the host's boot, including time suspended.
	SinceBoot func() time.Duration
	// Wall returns the time of day in Unix milliseconds.
	Wall func() int64
}

// Now returns the current time, uncorrected.
func (c Clocks) Now() ClockReading {
	return ClockReading{BootID: c.BootID, SinceBoot: c.SinceBoot(), Wall: c.Wall()}
}

const (
	// skewMargin covers the error that remains after correction by the fleet's median
	// clock. A record is read up to 0.35 s after it was prepared (a write and the pause
	// between two reads); the smallest of several observations counts.
	skewMargin = 450 * time.Millisecond
	// bootClockMargin covers the time between reading two clocks in succession.
	bootClockMargin = 50 * time.Millisecond
	// maxBootClockDrift is the maximum drift between wall clock and boot clock over one
	// boot.
	maxBootClockDrift = time.Minute
	// minSkews is the minimum number of other hosts' clocks needed for a median.
	minSkews = 2
	// maxMedianSpread is the maximum difference between the two middle values where the
	// number of clocks is even.
	maxMedianSpread = 250 * time.Millisecond
	// minClockStep is the smallest change of the wall clock against the boot clock that
	// counts as a step. Slewing changes less between two checks.
	minClockStep = 100 * time.Millisecond
	// skewTTL is how long an observation of another host's clock stays valid.
	skewTTL = 5 * time.Second
)

// clockSkew is how far the own wall clock is ahead of another host's, in milliseconds.
type clockSkew struct {
	ms         int64
	observedAt time.Duration
}

// wallOffset is the difference between wall clock and boot clock in milliseconds. It changes
// only when the wall clock is set.
func (c Clocks) wallOffset() int64 { return c.Wall() - c.SinceBoot().Milliseconds() }

// detectClockStep discards all observed skews if the own wall clock was set since the last
// check, because they were measured with the old setting.
func (a *Accounts) detectClockStep() {
	offset := a.clocks.wallOffset()
	if moved := offset - a.wallOffset; moved > minClockStep.Milliseconds() || moved < -minClockStep.Milliseconds() {
		clear(a.skews)
		a.memberView.skew = clockSkew{}
	}
	a.wallOffset = offset
}

// observeClock measures the clock skew by a record that has just been prepared. Records read
// while catching up with the log are too old for that.
func (a *Accounts) observeClock(rec *ClaimRecord, now time.Duration) {
	a.detectClockStep()
	if rec.Closed || a.caughtUpAt == 0 || now-a.caughtUpAt > skewTTL {
		return
	}
	ms := a.clocks.Wall() - rec.Wall
	if known, ok := a.skews[rec.Node]; ok && known.ms < ms && now-known.observedAt < skewTTL {
		return // The smaller skew was measured with less delay.
	}
	a.skews[rec.Node] = clockSkew{ms: ms, observedAt: now}
}

// medianSkewMS returns how far the own wall clock is ahead of the fleet's median, in
// milliseconds; ok is false if too few clocks were observed recently or they disagree.
func (a *Accounts) medianSkewMS(now time.Duration) (ms int64, ok bool) {
	a.detectClockStep()
	if known := a.memberView.skew; a.role == allocator.Member && known.observedAt > 0 {
		return known.ms, now-known.observedAt <= skewTTL
	}
	var known []int64
	for node, s := range a.skews {
		if now-s.observedAt > skewTTL {
			delete(a.skews, node)
			continue
		}
		known = append(known, s.ms)
	}
	n := len(known)
	if n < minSkews {
		return 0, false
	}
	slices.Sort(known)
	lower, upper := known[(n-1)/2], known[n/2]
	return lower, upper-lower <= maxMedianSpread.Milliseconds()
}

// clockReading returns the current time, corrected if the fleet's median clock is known.
func (a *Accounts) clockReading(now time.Duration) ClockReading {
	ms, ok := a.medianSkewMS(now)
	s := a.clocks.Now()
	if ok {
		s.Wall, s.Corrected = s.Wall-ms, true
	}
	return s
}

// ageAtStart returns the maximum time from a dead process's last renewal to the start of this
// process on the same host; known is false if it cannot be determined.
func (a *Accounts) ageAtStart(rec *ClaimRecord, now time.Duration) (age time.Duration, known bool) {
	if rec.Renewed.Wall == 0 {
		return 0, false // The log never acknowledged a record of it.
	}
	ms, ok := a.medianSkewMS(now)
	boot := a.started.SinceBoot - rec.Renewed.SinceBoot
	// Start time by the current setting of the wall clock.
	started := a.clocks.Wall() - (a.clocks.SinceBoot() - a.started.SinceBoot).Milliseconds()
	wall := time.Duration(started-rec.Renewed.Wall) * time.Millisecond
	if a.started.BootID == rec.Renewed.BootID && (boot-wall).Abs() < maxBootClockDrift {
		return boot + bootClockMargin, boot >= 0
	}
	if !ok || !rec.Renewed.Corrected {
		return 0, false
	}
	age = wall - time.Duration(ms)*time.Millisecond + skewMargin
	return age, age >= 0
}
