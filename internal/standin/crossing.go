package standin

import (
	"context"
	"sync"
	"time"
)

// answerSwapTimeout is how long an answer waits for another one to be swapped with.
const answerSwapTimeout = 2 * time.Second

// answerSwapper swaps the answers of pairs of requests, so that each connection
// gets the other's answer. It is safe for concurrent use.
type answerSwapper[T any] struct {
	mu             sync.Mutex
	remainingPairs int // Still to be swapped.
	pending        *pendingSwap[T]
}

// pendingSwap is the first half of a pair.
type pendingSwap[T any] struct {
	answer  T
	partner chan T
}

func (c *answerSwapper[T]) setPairs(pairs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remainingPairs = pairs
}

// swap returns the answer that goes out in place of mine: another's while
// pairs are left and a second answer comes in time, else mine.
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

// offer swaps with an open half, opens one, or does nothing.
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

// withdraw closes a half that found no other one in time.
func (c *answerSwapper[T]) withdraw(pending *pendingSwap[T]) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == pending {
		c.pending = nil
		return pending.answer
	}
	return <-pending.partner
}
