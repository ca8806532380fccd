// Package membudget divides an amount of memory between uses that compete for it. Each use has a
// reserved part that no other use can take, and all share the rest, so that together they never
// hold more than there is.
//
// It counts bytes only; whoever takes them allocates. It does no I/O and has no clock.
package membudget

import "sync"

// Budget is the memory that its parts share. It is safe for concurrent use.
type Budget struct {
	limit int64 // Bytes.

	mu      sync.Mutex
	parts   []*Part
	changed chan struct{} // Closed at the next Give; nil if nobody waits.
}

// Part is what one use of the memory holds. It is safe for concurrent use.
type Part struct {
	budget   *Budget
	reserved int64 // Bytes that no other part can take.
	used     int64 // Bytes; guarded by budget.mu.
}

// New returns a budget of limit bytes without parts.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// NewPart adds a part with a reserved share of the budget, from 0 to 1. The shares of all parts
// must not exceed 1. All parts have to be added before the first is used.
func (b *Budget) NewPart(reservedShare float64) *Part {
	p := &Part{budget: b, reserved: int64(float64(b.limit) * reservedShare)}
	b.parts = append(b.parts, p)
	return p
}

// Limit returns the bytes that all parts may hold together.
func (b *Budget) Limit() int64 { return b.limit }

// Changed returns a channel that is closed when bytes have been given back after the call.
func (b *Budget) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// claimed returns the bytes that the parts hold, and those reserved that they don't hold. The
// caller must hold b.mu.
func (b *Budget) claimed() (sum int64) {
	for _, p := range b.parts {
		sum += max(p.used, p.reserved)
	}
	return sum
}

// Budget returns the budget that the part belongs to.
func (p *Part) Budget() *Budget { return p.budget }

// Max returns the most that the part can hold: all but what is reserved for the others.
func (p *Part) Max() int64 {
	left := p.budget.limit
	for _, other := range p.budget.parts {
		if other != p {
			left -= other.reserved
		}
	}
	return left
}

// TryTake takes n bytes and reports whether there was room for them.
func (p *Part) TryTake(n int64) bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	more := max(p.used+n, p.reserved) - max(p.used, p.reserved)
	if more > 0 && p.budget.claimed()+more > p.budget.limit {
		return false
	}
	p.used += n
	return true
}

// Take takes n bytes that are held whether there is room or not.
func (p *Part) Take(n int64) {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.used += n
}

// Give gives n bytes back.
func (p *Part) Give(n int64) {
	if n == 0 {
		return
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.used -= n
	if p.budget.changed != nil {
		close(p.budget.changed)
		p.budget.changed = nil
	}
}

// Used returns the bytes that the part holds.
func (p *Part) Used() int64 {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.used
}
