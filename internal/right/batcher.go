package right

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/peer"
	"guavapier/internal/record"
)

// BatcherOptions configure a Batcher.
type BatcherOptions struct {
	// WitnessService is the net/rpc name under which the witnesses register
	// their Service.
	WitnessService string
	// CallTimeout bounds one call to a witness.
	CallTimeout time.Duration
	// MaxAttempts is how many times the same batches are sent before Send
	// reports ErrLost. A witness ignores duplicates.
	MaxAttempts int
}

// Batcher sends batches to witnesses. Batches of different rights that wait
// for the same witness share one call. It is safe for concurrent use.
type Batcher[U any] struct {
	caller peer.Caller
	opts   BatcherOptions

	mu     sync.Mutex // Guards queues and their pending batches.
	queues map[record.InstanceID]*witnessQueue[U]
}

// witnessQueue holds the batches that wait for one witness. At most one call
// to the witness is in flight.
type witnessQueue[U any] struct {
	sending bool
	pending []pendingBatch[U]
}

// pendingBatch is a batch that waits to be sent, and the callback for its
// result.
type pendingBatch[U any] struct {
	batch Batch[U]
	done  func(error)
}

// NewBatcher returns a Batcher that sends its calls through caller.
func NewBatcher[U any](caller peer.Caller, opts BatcherOptions) *Batcher[U] {
	return &Batcher[U]{caller: caller, opts: opts, queues: map[record.InstanceID]*witnessQueue[U]{}}
}

// Send queues a batch for its witness and calls done exactly once, from
// another goroutine: with nil if the witness acknowledged the batch, with the
// witness's error if it refused, or with ErrLost if no attempt was answered.
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

// sendPending sends the pending batches of one witness until there are none
// left, then removes the queue.
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

// deliver sends batches in one call and reports the result of each to its
// sender.
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

// callWithRetries returns the witness's reply, or the last error after
// MaxAttempts calls.
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
		lastErr = eris.New("right: Acknowledge reply does not have one result per batch")
	}
	return AcknowledgeReply{}, lastErr
}
