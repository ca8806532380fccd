package replica

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/snapshot"
)

// ErrSnapshotNotNewer is returned for a snapshot that covers no more than what has been
// applied.
var ErrSnapshotNotNewer = eris.New("replica: snapshot is not newer")

var _ snapshot.Source = (*Replica[Fold])(nil)

// NewestSnapshot returns the newest whole snapshot that went by on the stream.
func (r *Replica[F]) NewestSnapshot() snapshot.Summary {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.snapshots.Newest()
}

// IsComplete says whether the tables hold every record of the stream, and this
// version understood each of them. Only then may a snapshot be written: during
// an upgrade an older version passes over records that a newer one applies.
func (r *Replica[F]) IsComplete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.hasGap && !r.hasUnknownKind
}

// SetGap notes that records have aged out before they were applied. From then
// on the tables are not to be trusted, until Restore.
func (r *Replica[F]) SetGap() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasGap = true
}

// HasGap says whether records are missing.
func (r *Replica[F]) HasGap() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.hasGap
}

// State returns the state and the offset after the last record in it.
func (r *Replica[F]) State() (covers uint64, state []byte, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	state, err = r.fold.Snapshot()
	return r.fold.Next(), state, err
}

// Restore replaces the tables by a newer snapshot. Errors: ErrSnapshotNotNewer, and those
// of the fold, after which the tables are as they were.
func (r *Replica[F]) Restore(assembled snapshot.Assembled) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if assembled.Covers <= r.fold.Next() {
		return ErrSnapshotNotNewer
	}
	if err := r.fold.Restore(assembled.State); err != nil {
		return err
	}
	r.hasGap = false
	r.notifyWaiters()
	return nil
}
