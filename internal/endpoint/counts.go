package endpoint

import "sync/atomic"

// Counts counts what the clients dropped and gave up since the start.
type Counts struct {
	// Crossed answers were for another run, Late ones for an earlier attempt.
	Crossed atomic.Int64
	Late    atomic.Int64
	// Duplicate events repeated a token; Gaps left one out.
	Duplicate atomic.Int64
	Gaps      atomic.Int64
	// Silent and Lost count connections that were given up, Refused orders
	// that surely did not run.
	Silent  atomic.Int64
	Lost    atomic.Int64
	Refused atomic.Int64
}

// CountsView is Counts at one time, for the state dump.
type CountsView struct {
	Crossed   int64 `json:"crossed"`
	Late      int64 `json:"late"`
	Duplicate int64 `json:"duplicate"`
	Gaps      int64 `json:"gaps"`
	Silent    int64 `json:"silent"`
	Lost      int64 `json:"lost"`
	Refused   int64 `json:"refused"`
}

// View returns the counts.
func (c *Counts) View() CountsView {
	return CountsView{
		Crossed: c.Crossed.Load(), Late: c.Late.Load(), Duplicate: c.Duplicate.Load(), Gaps: c.Gaps.Load(),
		Silent: c.Silent.Load(), Lost: c.Lost.Load(), Refused: c.Refused.Load(),
	}
}
