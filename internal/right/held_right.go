package right

import (
	"context"
	"errors"
	"sync"
)

// HeldRight is a right that this instance holds. It combines a Holder with a
// Batcher that sends the Holder's batches. Concurrent uses share batches. It
// is safe for concurrent use.
type HeldRight[U any] struct {
	batcher *Batcher[U]

	mu      sync.Mutex // Guards the fields below.
	holder  *Holder[U]
	waiters map[UseID]chan error
}

// NewHeldRight returns a HeldRight for a right that the fold accepted as
// valid.
func NewHeldRight[U any](t Terms, batcher *Batcher[U]) *HeldRight[U] {
	return &HeldRight[U]{batcher: batcher, holder: NewHolder[U](t), waiters: map[UseID]chan error{}}
}

// Terms returns the log's terms of the right.
func (h *HeldRight[U]) Terms() Terms { return h.holder.Terms() }

// Err returns nil while the right may be used, otherwise the reason why not:
// ErrClosed, ErrSealed, ErrLost or another refusal by the witness.
func (h *HeldRight[U]) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Err()
}

// IsAcknowledged reports whether the witness, if there is one, has acknowledged all changes of
// uses: it counts no use that was dropped here. It stays false if the right ended before.
func (h *HeldRight[U]) IsAcknowledged() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.IsAcknowledged()
}

// Use returns nil once the use is confirmed: acknowledged by the witness, or
// accepted at once if the right has none. After any error the use isn't
// confirmed for this holder. If ctx ended, the use is dropped with the next
// batch and the right stays usable; after an error of the witness or ErrLost
// the right can't be used again.
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
		// The result arrived while ctx ended.
		return <-done
	}
	delete(h.waiters, use.ID)
	h.holder.Drop(use.ID)
	h.flush()
	return ctx.Err()
}

// enqueue queues a use and returns the channel for its result, which is nil if
// the right has no witness.
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

// Update queues a use's changed body. It is sent with the next batch or Flush,
// before any later use. After the right's end it has no effect.
func (h *HeldRight[U]) Update(use Use[U]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.holder.Put(use)
}

// Drop queues the removal of a use. It is sent with the next batch or Flush,
// before any later use.
func (h *HeldRight[U]) Drop(id UseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Drop(id)
}

// Flush sends the queued changes if no batch is in flight.
func (h *HeldRight[U]) Flush() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flush()
}

// Close stops using the right. Uses that wait for an acknowledgement fail with
// ErrClosed. Afterwards the holder may append the right's close to the log.
func (h *HeldRight[U]) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Close()
	h.failWaiters(ErrClosed)
}

// flush sends the next batch, if there is one. The caller holds h.mu.
func (h *HeldRight[U]) flush() {
	batch, ok := h.holder.NextBatch()
	if !ok {
		return
	}
	h.batcher.Send(batch, func(err error) { h.onReply(batch, err) })
}

// onReply handles a batch's result: it completes the waiting uses and sends
// the next batch, or ends the right after an error.
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

// failWaiters fails all waiting uses with err. ErrOutOfOrder is reported as
// ErrLost, since it means that an earlier batch is missing. The caller holds
// h.mu.
func (h *HeldRight[U]) failWaiters(err error) {
	if errors.Is(err, ErrOutOfOrder) {
		err = ErrLost
	}
	for id, done := range h.waiters {
		delete(h.waiters, id)
		done <- err
	}
}
