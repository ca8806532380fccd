package replica

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/snapshot"
)

// ErrSnapshotNotNewer is returned for a snapshot that covers no more than what
// has been applied.
var ErrSnapshotNotNewer = eris.New("replica: snapshot is not newer than the tables")

var _ snapshot.Source = (*Replica[Fold])(nil)

// NewestSnapshot returns the newest complete snapshot that was read from the
// stream, or the zero value if there was none.
func (r *Replica[F]) NewestSnapshot() snapshot.Summary {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.snapshots.Newest()
}

// IsComplete reports whether the tables hold every record of the stream and
// this version knew the kind of each. Only then may a snapshot be written:
// during an upgrade an older version ignores records that a newer version
// applies.
func (r *Replica[F]) IsComplete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.hasGap && !r.hasUnknownKind
}

// SetGap records that entries of the log aged out before they were applied. The
// tables must not be trusted from then on until Restore succeeds.
func (r *Replica[F]) SetGap() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasGap = true
}

// HasGap reports whether records are missing from the tables; see SetGap.
func (r *Replica[F]) HasGap() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasGap
}

// State returns the encoded state and the offset after the last record in it.
func (r *Replica[F]) State() (covers uint64, state []byte, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	state, err = r.fold.Snapshot()
	return r.fold.NextOffset(), state, err
}

// Restore replaces the tables with those of a newer snapshot. It returns
// ErrSnapshotNotNewer or the error of the fold, and then leaves the tables
// unchanged.
func (r *Replica[F]) Restore(assembled snapshot.Assembled) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if assembled.Covers <= r.fold.NextOffset() {
		return ErrSnapshotNotNewer
	}
	if err := r.fold.Restore(assembled.State); err != nil {
		return err
	}
	r.hasGap = false
	r.notifyWaiters()
	return nil
}
