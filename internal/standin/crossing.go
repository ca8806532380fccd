package standin

import (
	"context"
	"sync"
	"time"
)

// crossWait is how long an answer waits for another one to be swapped with.
const crossWait = 2 * time.Second

// crossing swaps the answers of pairs of requests, so that each connection
// gets the other's answer. It is safe for concurrent use.
type crossing[T any] struct {
	mu    sync.Mutex
	pairs int // Still to be swapped.
	open  *crossed[T]
}

// crossed is the first half of a pair.
type crossed[T any] struct {
	answer T
	other  chan T
}

func (c *crossing[T]) set(pairs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pairs = pairs
}

// pass returns the answer that goes out in place of mine: another's while
// pairs are left and a second answer comes in time, else mine.
func (c *crossing[T]) pass(ctx context.Context, mine T) T {
	half, other, swapped := c.enter(mine)
	if swapped {
		return other
	}
	if half == nil {
		return mine
	}
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case other := <-half.other:
		return other
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.leave(half)
}

// enter swaps with an open half, opens one, or does nothing.
func (c *crossing[T]) enter(mine T) (half *crossed[T], other T, swapped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != nil {
		other = c.open.answer
		c.open.other <- mine
		c.open = nil
		return nil, other, true
	}
	if c.pairs == 0 {
		return nil, other, false
	}
	c.pairs--
	c.open = &crossed[T]{answer: mine, other: make(chan T, 1)}
	return c.open, other, false
}

// leave closes a half that found no other one in time.
func (c *crossing[T]) leave(half *crossed[T]) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == half {
		c.open = nil
		return half.answer
	}
	return <-half.other
}
