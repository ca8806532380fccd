package endpoint

import "sync/atomic"

// Counters counts mismatched responses and failed requests since the process
// started. It is safe for concurrent use.
type Counters struct {
	// WrongRun counts responses and events with another run's ID, StaleAttempt
	// responses with the right run ID but another attempt's number.
	WrongRun     atomic.Int64
	StaleAttempt atomic.Int64
	// DuplicateEvents counts events that repeat a token, Gaps streams in which a
	// token is missing, in the middle or at the end.
	DuplicateEvents atomic.Int64
	Gaps            atomic.Int64
	// NoProgress counts requests that timed out, Lost other failed requests that
	// may have run, and Refused requests that did not run.
	NoProgress atomic.Int64
	Lost       atomic.Int64
	Refused    atomic.Int64
}

// CounterValues holds the values of Counters at one time, for the state dump.
type CounterValues struct {
	WrongRun        int64 `json:"crossed"`
	StaleAttempt    int64 `json:"late"`
	DuplicateEvents int64 `json:"duplicate"`
	Gaps            int64 `json:"gaps"`
	NoProgress      int64 `json:"silent"`
	Lost            int64 `json:"lost"`
	Refused         int64 `json:"refused"`
}

// Snapshot returns the current values. They are read one by one, not atomically
// as a whole.
func (c *Counters) Snapshot() CounterValues {
	return CounterValues{
		WrongRun: c.WrongRun.Load(), StaleAttempt: c.StaleAttempt.Load(), DuplicateEvents: c.DuplicateEvents.Load(), Gaps: c.Gaps.Load(),
		NoProgress: c.NoProgress.Load(), Lost: c.Lost.Load(), Refused: c.Refused.Load(),
	}
}
