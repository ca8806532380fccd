package right

import (
	"context"
	"errors"
	"sync"
)

// HeldRight is a right that this instance holds: a Holder that sends its batches
// through a Batcher. Concurrent uses share batches. It is safe for concurrent
// use.
type HeldRight[U any] struct {
	batcher *Batcher[U]

	mu      sync.Mutex // Guards all below.
	holder  *Holder[U]
	waiters map[UseID]chan error
}

// NewHeldRight returns the holder's side of a right that the fold called valid.
func NewHeldRight[U any](t Terms, batcher *Batcher[U]) *HeldRight[U] {
	return &HeldRight[U]{batcher: batcher, holder: NewHolder[U](t), waiters: map[UseID]chan error{}}
}

// Terms returns the right's terms.
func (h *HeldRight[U]) Terms() Terms { return h.holder.Terms() }

// Err returns nil while the right may be used, else why it may not.
func (h *HeldRight[U]) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Err()
}

// Use returns nil once the use counts. After any error it does not count for
// this holder: if ctx ended it is dropped again with the next batch, and after
// ErrLost or ErrSealed the right is used no more.
func (h *HeldRight[U]) Use(ctx context.Context, use Use[U]) error {
	done, err := h.enqueue(use)
	if err != nil || done == nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, waiting := h.waiters[use.ID]; !waiting {
		// The answer came at the same moment.
		return <-done
	}
	delete(h.waiters, use.ID)
	h.holder.Drop(use.ID)
	h.flush()
	return ctx.Err()
}

func (h *HeldRight[U]) enqueue(use Use[U]) (chan error, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.holder.Put(use); err != nil {
		return nil, err
	}
	if !h.holder.HasWitness() {
		return nil, nil
	}
	done := make(chan error, 1)
	h.waiters[use.ID] = done
	h.flush()
	return done, nil
}

// Update queues a use's new body. It goes out with the next batch or Flush,
// before any later use.
func (h *HeldRight[U]) Update(use Use[U]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.holder.Put(use)
}

// Drop queues the end of a use. It goes out with the next batch or Flush,
// before any later use.
func (h *HeldRight[U]) Drop(id UseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Drop(id)
}

// Flush sends what is queued.
func (h *HeldRight[U]) Flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flush()
}

// Close ends the use of the right. Uses that wait for their acknowledgement
// fail with ErrClosed. After it the right may be closed on the log.
func (h *HeldRight[U]) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Close()
	h.failWaiters(ErrClosed)
}

// flush is called with the lock held.
func (h *HeldRight[U]) flush() {
	batch, ok := h.holder.NextBatch()
	if !ok {
		return
	}
	h.batcher.Send(batch, func(err error) { h.onReply(batch, err) })
}

func (h *HeldRight[U]) onReply(batch Batch[U], err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.holder.End(err)
		h.failWaiters(err)
		return
	}
	if h.holder.OnAcknowledged() != nil {
		return
	}
	for _, use := range batch.Puts {
		if done, ok := h.waiters[use.ID]; ok {
			delete(h.waiters, use.ID)
			done <- nil
		}
	}
	h.flush()
}

// failWaiters is called with the lock held.
func (h *HeldRight[U]) failWaiters(err error) {
	if errors.Is(err, ErrOutOfOrder) {
		err = ErrLost
	}
	for id, done := range h.waiters {
		delete(h.waiters, id)
		done <- err
	}
}
