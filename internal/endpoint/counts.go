package endpoint

import "sync/atomic"

// Counters counts what the clients dropped and gave up since the start.
type Counters struct {
	// WrongRun answers were for another run, Late ones for an earlier attempt.
	WrongRun     atomic.Int64
	StaleAttempt atomic.Int64
	// DuplicateEvents events repeated a token; Gaps left one out.
	DuplicateEvents atomic.Int64
	Gaps            atomic.Int64
	// NoProgress and Lost count connections that were given up, Refused orders
	// that surely did not run.
	NoProgress atomic.Int64
	Lost       atomic.Int64
	Refused    atomic.Int64
}

// CounterValues is Counts at one time, for the state dump.
type CounterValues struct {
	WrongRun        int64 `json:"crossed"`
	StaleAttempt    int64 `json:"late"`
	DuplicateEvents int64 `json:"duplicate"`
	Gaps            int64 `json:"gaps"`
	NoProgress      int64 `json:"silent"`
	Lost            int64 `json:"lost"`
	Refused         int64 `json:"refused"`
}

// Snapshot returns the counts.
func (c *Counters) Snapshot() CounterValues {
	return CounterValues{
		WrongRun: c.WrongRun.Load(), StaleAttempt: c.StaleAttempt.Load(), DuplicateEvents: c.DuplicateEvents.Load(), Gaps: c.Gaps.Load(),
		NoProgress: c.NoProgress.Load(), Lost: c.Lost.Load(), Refused: c.Refused.Load(),
	}
}
