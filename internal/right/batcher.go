package right

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/peer"
	"guavapier/internal/record"
)

// BatcherOptions bound a Batcher.
type BatcherOptions struct {
	// WitnessService is the name under which the witnesses register their WitnessService.
	WitnessService string
	// CallTimeout bounds one call.
	CallTimeout time.Duration
	// MaxAttempts is how often the same batches are sent before they are lost. A
	// second copy is harmless.
	MaxAttempts int
}

// Batcher sends batches to witnesses: those of many rights that wait for the
// same witness share one call. It is safe for concurrent use.
type Batcher[U any] struct {
	caller peer.Caller
	opts   BatcherOptions

	mu     sync.Mutex // Guards lines and their queues.
	queues map[record.InstanceID]*witnessQueue[U]
}

// witnessQueue is the queue to one witness, with one call under way at a time.
type witnessQueue[U any] struct {
	sending bool
	pending []pendingBatch[U]
}

type pendingBatch[U any] struct {
	batch Batch[U]
	done  func(error)
}

// NewBatcher returns a Batcher over caller.
func NewBatcher[U any](caller peer.Caller, opts BatcherOptions) *Batcher[U] {
	return &Batcher[U]{caller: caller, opts: opts, queues: map[record.InstanceID]*witnessQueue[U]{}}
}

// Send sends a batch to its witness and calls done once, from another
// goroutine: with nil for an acknowledged batch, with the witness's error, or
// with ErrLost if no answer came.
func (b *Batcher[U]) Send(batch Batch[U], done func(error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, ok := b.queues[batch.Witness]
	if !ok {
		q = &witnessQueue[U]{}
		b.queues[batch.Witness] = q
	}
	q.pending = append(q.pending, pendingBatch[U]{batch: batch, done: done})
	if !q.sending {
		q.sending = true
		go b.sendPending(batch.Witness, q)
	}
}

// sendPending empties a line's queue and ends.
func (b *Batcher[U]) sendPending(to record.InstanceID, q *witnessQueue[U]) {
	for {
		b.mu.Lock()
		group := q.pending
		q.pending = nil
		if len(group) == 0 {
			q.sending = false
			delete(b.queues, to)
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.deliver(to, group)
	}
}

func (b *Batcher[U]) deliver(to record.InstanceID, group []pendingBatch[U]) {
	args := AcknowledgeArgs[U]{}
	for _, p := range group {
		args.Batches = append(args.Batches, p.batch)
	}
	reply, err := b.callWithRetries(to, args)
	for i, p := range group {
		if err != nil {
			p.done(eris.Wrap(ErrLost, err.Error()))
			continue
		}
		p.done(reply.Results[i].Err())
	}
}

func (b *Batcher[U]) callWithRetries(to record.InstanceID, args AcknowledgeArgs[U]) (AcknowledgeReply, error) {
	var lastErr error
	for range b.opts.MaxAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), b.opts.CallTimeout)
		var reply AcknowledgeReply
		lastErr = b.caller.Call(ctx, to, b.opts.WitnessService+".Acknowledge", args, &reply)
		cancel()
		if lastErr == nil && len(reply.Results) == len(args.Batches) {
			return reply, nil
		}
	}
	if lastErr == nil {
		lastErr = eris.New("right: results missing in the answer")
	}
	return AcknowledgeReply{}, lastErr
}
