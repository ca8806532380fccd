package standin

import (
	"context"
	"sync"
	"time"
)

// answerSwapTimeout bounds how long the first answer of a pair is held back for
// the second one.
const answerSwapTimeout = 2 * time.Second

// answerSwapper simulates an endpoint that confuses its connections: it swaps
// the answers of two concurrent requests. It is safe for concurrent use.
type answerSwapper[T any] struct {
	mu             sync.Mutex
	remainingPairs int // Pairs left to start.
	pending        *pendingSwap[T]
}

// pendingSwap is the first answer of a pair, which waits for its partner.
type pendingSwap[T any] struct {
	answer  T
	partner chan T // Buffered; receives the second answer.
}

// setPairs sets how many pairs are to be swapped; 0 ends the fault.
func (c *answerSwapper[T]) setPairs(pairs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remainingPairs = pairs
}

// swap returns the answer to send in place of mine: the answer of another
// request if pairs are left and one arrives within answerSwapTimeout and before
// ctx ends, otherwise mine. It blocks until then.
func (c *answerSwapper[T]) swap(ctx context.Context, mine T) T {
	pending, other, swapped := c.offer(mine)
	if swapped {
		return other
	}
	if pending == nil {
		return mine
	}
	timer := time.NewTimer(answerSwapTimeout)
	defer timer.Stop()
	select {
	case other := <-pending.partner:
		return other
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.withdraw(pending)
}

// offer completes the pending swap and returns its answer, or starts a swap and
// returns it as pending, or returns neither if no pairs are left.
func (c *answerSwapper[T]) offer(mine T) (pending *pendingSwap[T], partner T, swapped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		partner = c.pending.answer
		c.pending.partner <- mine
		c.pending = nil
		return nil, partner, true
	}
	if c.remainingPairs == 0 {
		return nil, partner, false
	}
	c.remainingPairs--
	c.pending = &pendingSwap[T]{answer: mine, partner: make(chan T, 1)}
	return c.pending, partner, false
}

// withdraw cancels a swap whose partner didn't arrive in time and returns its own
// answer, or the partner's if it arrived after all.
func (c *answerSwapper[T]) withdraw(pending *pendingSwap[T]) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == pending {
		c.pending = nil
		return pending.answer
	}
	return <-pending.partner
}
