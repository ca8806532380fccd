// Package replica keeps an instance's copies of the folds up to date: it
// follows the streams of the log as a Watermill handler and applies each batch
// in offset order. Readers access the tables through View and wait for an
// offset with AwaitOffset.
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

// Fold is the state that a replica applies batches to.
type Fold interface {
	// Apply applies the batch at an offset; it ignores offsets that were
	// applied before.
	Apply(offset uint64, batch record.Batch) error
	// NextOffset returns the offset after the last applied one.
	NextOffset() uint64
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one; after an error the state
	// is unchanged.
	Restore(state []byte) error
}

// Replica keeps the fold of one stream up to date. F is the fold's type. It is
// safe for concurrent use.
type Replica[F Fold] struct {
	stream record.Stream

	mu        sync.RWMutex // Guards the fields below.
	fold      F
	changed   chan struct{}
	snapshots snapshot.Tracker
	// hasGap is set when records aged out of the log before they were applied,
	// and hasUnknownKind when this version did not know the kind of a record.
	hasGap, hasUnknownKind bool
}

// New returns a replica of a stream that continues from fold's state.
func New[F Fold](stream record.Stream, fold F) *Replica[F] {
	return &Replica[F]{stream: stream, fold: fold, changed: make(chan struct{})}
}

// Stream returns the stream's name.
func (r *Replica[F]) Stream() record.Stream { return r.stream }

// NextOffset returns the offset after the last applied one.
func (r *Replica[F]) NextOffset() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.fold.NextOffset()
}

// View calls read with the tables and holds a read lock meanwhile. read must
// neither keep nor modify the tables.
func (r *Replica[F]) View(read func(F)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	read(r.fold)
}

// Changed returns a channel that is closed when the next batch has been applied
// or a snapshot restored.
func (r *Replica[F]) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// AwaitOffset blocks until the batch at offset has been applied. It returns the
// error of ctx if ctx ends first.
func (r *Replica[F]) AwaitOffset(ctx context.Context, offset uint64) error {
	for {
		changed := r.Changed()
		if r.NextOffset() > offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "replica: %s has not applied offset %d", r.stream, offset)
		}
	}
}

// Apply applies one entry of the log. It returns record.ErrMalformed for an
// entry that is not a batch, and the errors of the fold.
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

// notifyWaiters closes the channel that Changed returned. r.mu must be held.
func (r *Replica[F]) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// trackBatch notes the snapshot chunks and the records of unknown kinds in a
// batch. r.mu must be held.
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

// Handler returns the Watermill handler of the stream. A batch that cannot be
// decoded fails in the same way on every instance, so it is passed to onError
// and skipped, not retried.
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

// Follow runs the handlers on a Watermill router until ctx ends.
func Follow(ctx context.Context, sub message.Subscriber, sources []Source) error {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return eris.Wrap(err, "replica: create router")
	}
	for _, s := range sources {
		router.AddConsumerHandler("fold-"+string(s.Stream), string(s.Stream), sub, s.Handler)
	}
	return router.Run(ctx)
}
