package prepaid

import (
	"slices"
	"time"

	"guavapier/internal/allocator"
)

// Clocks read one host's clocks.
type Clocks struct {
	BootID string
	// SinceBoot returns the time since the host's boot, time suspended included.
	SinceBoot func() time.Duration
	// Wall returns the time of day in Unix milliseconds.
	Wall func() int64
}

// Now returns the present moment, uncorrected.
func (c Clocks) Now() ClockReading {
	return ClockReading{BootID: c.BootID, SinceBoot: c.SinceBoot(), Wall: c.Wall()}
}

const (
	// skewMargin covers what correcting a clock by the fleet's median leaves: a
	// statement is read up to 0.35 s after it was drafted (a write and the pause
	// between two reads), and the least of several readings counts.
	skewMargin = 450 * time.Millisecond
	// bootClockMargin covers reading two clocks one after the other.
	bootClockMargin = 50 * time.Millisecond
	// maxBootClockDrift is how far the two clocks may drift apart over one boot.
	maxBootClockDrift = time.Minute
	// minSkews is how many other hosts' clocks make a median.
	minSkews = 2
	// maxMedianSpread is how far the two middle ones of an even number may lie apart.
	maxMedianSpread = 250 * time.Millisecond
	// minClockStep is a change of the time of day against the time since boot
	// that no slewing of a clock makes between two looks.
	minClockStep = 100 * time.Millisecond
	// skewTTL is how long another host's clock counts after it was heard.
	skewTTL = 5 * time.Second
)

// clockSkew is how far the own time of day stands before another host's.
type clockSkew struct {
	ms         int64
	observedAt time.Duration
}

// offset is how far the time of day stands before the time since boot. It
// changes only when someone sets the clock.
func (c Clocks) offset() int64 { return c.Wall() - c.SinceBoot().Milliseconds() }

// detectClockStep forgets all skews when the own clock was set: they were heard by
// the old one.
func (a *Accounts) detectClockStep() {
	offset := a.clocks.offset()
	if moved := offset - a.wallOffset; moved > minClockStep.Milliseconds() || moved < -minClockStep.Milliseconds() {
		clear(a.skews)
		a.memberView.skew = clockSkew{}
	}
	a.wallOffset = offset
}

// observeClock notes the clock of a statement that has just been drafted. Those read
// while the log is caught up with are older and don't count.
func (a *Accounts) observeClock(rec *ClaimRecord, now time.Duration) {
	a.detectClockStep()
	if rec.Closed || a.caughtUpAt == 0 || now-a.caughtUpAt > skewTTL {
		return
	}
	ms := a.clocks.Wall() - rec.Wall
	if known, ok := a.skews[rec.Node]; ok && known.ms < ms && now-known.observedAt < skewTTL {
		return // A statement that was read sooner tells more.
	}
	a.skews[rec.Node] = clockSkew{ms: ms, observedAt: now}
}

// medianSkewMS returns how far the own time of day stands before the fleet's median;
// ok is false if too few others were heard of late, or they are at odds.
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

// clockReading returns the present moment, corrected if the fleet's clocks are known.
func (a *Accounts) clockReading(now time.Duration) ClockReading {
	ms, ok := a.medianSkewMS(now)
	s := a.clocks.Now()
	if ok {
		s.Wall, s.Corrected = s.Wall-ms, true
	}
	return s
}

// ageAtStart returns the time from a dead process's last touch to this process's
// start, on the same host, at its most. known is false if that can't be told.
func (a *Accounts) ageAtStart(rec *ClaimRecord, now time.Duration) (age time.Duration, known bool) {
	if rec.Renewed.Wall == 0 {
		return 0, false // It never was in touch.
	}
	ms, ok := a.medianSkewMS(now)
	boot := a.started.SinceBoot - rec.Renewed.SinceBoot
	// The start by the clock as it is set now.
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
