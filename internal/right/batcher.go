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
	// Service is the name under which the witnesses register their Service.
	Service string
	// Deadline bounds one call.
	Deadline time.Duration
	// Attempts is how often the same batches are sent before they are lost. A
	// second copy is harmless.
	Attempts int
}

// Batcher sends batches to witnesses: those of many rights that wait for the
// same witness share one call. It is safe for concurrent use.
type Batcher[U any] struct {
	caller peer.Caller
	opts   BatcherOptions

	mu    sync.Mutex // Guards lines and their queues.
	lines map[record.InstanceID]*line[U]
}

// line is the queue to one witness, with one call under way at a time.
type line[U any] struct {
	busy  bool
	queue []waiting[U]
}

type waiting[U any] struct {
	batch Batch[U]
	done  func(error)
}

// NewBatcher returns a Batcher over caller.
func NewBatcher[U any](caller peer.Caller, opts BatcherOptions) *Batcher[U] {
	return &Batcher[U]{caller: caller, opts: opts, lines: map[record.InstanceID]*line[U]{}}
}

// Send sends a batch to its witness and calls done once, from another
// goroutine: with nil for an acknowledged batch, with the witness's error, or
// with ErrLost if no answer came.
func (b *Batcher[U]) Send(batch Batch[U], done func(error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.lines[batch.Witness]
	if !ok {
		l = &line[U]{}
		b.lines[batch.Witness] = l
	}
	l.queue = append(l.queue, waiting[U]{batch: batch, done: done})
	if !l.busy {
		l.busy = true
		go b.run(batch.Witness, l)
	}
}

// run empties a line's queue and ends.
func (b *Batcher[U]) run(to record.InstanceID, l *line[U]) {
	for {
		b.mu.Lock()
		group := l.queue
		l.queue = nil
		if len(group) == 0 {
			l.busy = false
			delete(b.lines, to)
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.deliver(to, group)
	}
}

func (b *Batcher[U]) deliver(to record.InstanceID, group []waiting[U]) {
	args := AcknowledgeArgs[U]{}
	for _, w := range group {
		args.Batches = append(args.Batches, w.batch)
	}
	reply, err := b.call(to, args)
	for i, w := range group {
		if err != nil {
			w.done(eris.Wrap(ErrLost, err.Error()))
			continue
		}
		w.done(reply.Results[i].Err())
	}
}

func (b *Batcher[U]) call(to record.InstanceID, args AcknowledgeArgs[U]) (AcknowledgeReply, error) {
	var last error
	for range b.opts.Attempts {
		ctx, cancel := context.WithTimeout(context.Background(), b.opts.Deadline)
		var reply AcknowledgeReply
		last = b.caller.Call(ctx, to, b.opts.Service+".Acknowledge", args, &reply)
		cancel()
		if last == nil && len(reply.Results) == len(args.Batches) {
			return reply, nil
		}
	}
	if last == nil {
		last = eris.New("right: results missing in the answer")
	}
	return AcknowledgeReply{}, last
}
