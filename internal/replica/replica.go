// Package replica keeps this instance's copies of the folds: it follows the
// streams of the log as a watermill handler and applies each batch in offset
// order. Readers look at the tables through View and wait for an offset with
// Wait.
package replica

import (
	"context"
	"strconv"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rotisserie/eris"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/snapshot"
)

// Fold is what a replica applies batches to.
type Fold interface {
	// Apply applies the batch at an offset; it ignores offsets that it has
	// applied before.
	Apply(offset uint64, batch record.Batch) error
	// Next returns the offset after the last applied one.
	Next() uint64
	// Snapshot returns the state as bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state; after an error it is as it was.
	Restore(state []byte) error
}

// Replica is one stream's fold, kept current. F is the fold's type. It is safe
// for concurrent use.
type Replica[F Fold] struct {
	stream record.Stream

	mu        sync.RWMutex // Guards all below.
	fold      F
	changed   chan struct{}
	snapshots snapshot.Tracker
	// hasGap says that records aged out before they were read, and hasUnknownKind that
	// this version did not know one of them.
	hasGap, hasUnknownKind bool
}

// New returns the replica of a stream that starts from fold's state.
func New[F Fold](stream record.Stream, fold F) *Replica[F] {
	return &Replica[F]{stream: stream, fold: fold, changed: make(chan struct{})}
}

// Stream returns the stream's name.
func (r *Replica[F]) Stream() record.Stream { return r.stream }

// Next returns the offset after the last applied one.
func (r *Replica[F]) Next() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.fold.Next()
}

// View calls look with the tables. look must not keep or change them.
func (r *Replica[F]) View(read func(F)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	read(r.fold)
}

// Changed returns a channel that closes with the next applied batch.
func (r *Replica[F]) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// AwaitOffset returns when the batch at offset has been applied.
func (r *Replica[F]) AwaitOffset(ctx context.Context, offset uint64) error {
	for {
		changed := r.Changed()
		if r.Next() > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "replica: %s not at offset %d", r.stream, offset)
		}
	}
}

// Apply applies one entry of the log.
func (r *Replica[F]) Apply(entry logstore.Entry) error {
	batch, err := record.DecodeBatch(entry.Data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackBatch(entry.Offset, batch)
	err = r.fold.Apply(entry.Offset, batch)
	r.notifyWaiters()
	return err
}

// notifyWaiters tells the waiters of a change. r.mu is held.
func (r *Replica[F]) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// trackBatch looks for snapshots and for kinds that are not known. r.mu is held.
func (r *Replica[F]) trackBatch(offset uint64, batch record.Batch) {
	for _, env := range batch.Records {
		if !record.IsKnownKind(env.Kind) {
			r.hasUnknownKind = true
		}
		if env.Kind != record.KindSnapshot {
			continue
		}
		if rec, err := record.Decode(env); err == nil {
			r.snapshots.Add(offset, rec.(record.Snapshot))
		}
	}
}

// Handler returns the watermill handler of the stream. A batch that cannot be
// decoded is the same for every instance; it is passed over, not retried.
func (r *Replica[F]) Handler(onError func(error)) message.NoPublishHandlerFunc {
	return func(msg *message.Message) error {
		offset, err := strconv.ParseUint(msg.Metadata.Get(logstore.MetaOffset), 10, 64)
		if err != nil {
			return eris.Wrap(err, "replica: message without offset")
		}
		if err := r.Apply(logstore.Entry{Offset: offset, Data: msg.Payload}); err != nil {
			onError(eris.Wrapf(err, "replica: %s offset %d", r.stream, offset))
		}
		return nil
	}
}

// Source is a stream with the handler that applies it.
type Source struct {
	Stream  record.Stream
	Handler message.NoPublishHandlerFunc
}

// Follow runs the handlers on a watermill router until ctx ends.
func Follow(ctx context.Context, sub message.Subscriber, sources []Source) error {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return eris.Wrap(err, "replica: router")
	}
	for _, s := range sources {
		router.AddConsumerHandler("fold-"+string(s.Stream), string(s.Stream), sub, s.Handler)
	}
	return router.Run(ctx)
}
