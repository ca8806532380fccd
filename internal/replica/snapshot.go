package replica

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/snapshot"
)

// ErrOlder is returned for a snapshot that covers no more than what has been
// applied.
var ErrOlder = eris.New("replica: snapshot is not newer")

var _ snapshot.Source = (*Replica[Fold])(nil)

// Newest returns the newest whole snapshot that went by on the stream.
func (r *Replica[F]) Newest() snapshot.Seen {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.snapshots.Newest()
}

// Complete says whether the tables hold every record of the stream, and this
// version understood each of them. Only then may a snapshot be written: during
// an upgrade an older version passes over records that a newer one applies.
func (r *Replica[F]) Complete() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.gap && !r.foreign
}

// SetGap notes that records have aged out before they were applied. From then
// on the tables are not to be trusted, until Restore.
func (r *Replica[F]) SetGap() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap = true
}

// Gap says whether records are missing.
func (r *Replica[F]) Gap() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.gap
}

// State returns the state and the offset after the last record in it.
func (r *Replica[F]) State() (covers uint64, state []byte, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	state, err = r.fold.Snapshot()
	return r.fold.Next(), state, err
}

// Restore replaces the tables by a newer snapshot. Errors: ErrOlder, and those
// of the fold, after which the tables are as they were.
func (r *Replica[F]) Restore(whole snapshot.Whole) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if whole.Covers <= r.fold.Next() {
		return ErrOlder
	}
	if err := r.fold.Restore(whole.State); err != nil {
		return err
	}
	r.gap = false
	r.wake()
	return nil
}
