package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"guavapier/internal/logstore"
)

const (
	// writeInterval is how long records are gathered for one write.
	writeInterval = 100 * time.Millisecond
	// writeRetryDelay is the pause after a write that failed.
	writeRetryDelay = 150 * time.Millisecond
	// maxWriteBatch bounds the number of records in one write.
	maxWriteBatch = 256
	// maxUrgentDelay bounds the random delay of a record that many instances may write, of which
	// one is enough. maxClearDelay does so where requests with the subject are sent anyway.
	maxUrgentDelay, maxClearDelay = 300 * time.Millisecond, 3 * time.Second
)

// pendingWrite is a record that is to be written to the log.
type pendingWrite struct {
	record *entryRecord // nil clears the subject.
	dueAt  time.Time    // The zero time for at once.
}

func (w pendingWrite) isDelayed() bool { return !w.dueAt.IsZero() }

// enqueue adds a record to the next write, in place of a pending one of the same subject;
// nil clears the subject on the log.
func (s *Syncer) enqueue(f Fingerprint, r *entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingWrites[f] = pendingWrite{record: r}
}

// enqueueDelayed is enqueue for a record that other instances may write as well: it is written
// after a random delay, unless another one has arrived before. It replaces no other record.
func (s *Syncer) enqueueDelayed(f Fingerprint, r *entryRecord, maxDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, pending := s.pendingWrites[f]; pending && !w.isDelayed() && r != nil {
		return
	}
	s.pendingWrites[f] = pendingWrite{record: r, dueAt: time.Now().Add(rand.N(maxDelay))}
}

// dropDelayed drops a pending delayed record, since another instance has written one like it:
// one that clears the subject, or one that holds all that this instance knows of it.
func (s *Syncer) dropDelayed(f Fingerprint, cleared bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, pending := s.pendingWrites[f]; pending && w.isDelayed() && (cleared || w.record != nil) {
		delete(s.pendingWrites, f)
	}
}

// replacePending replaces a pending record of a subject, if there is one, by what is left of it;
// nil for nothing.
func (s *Syncer) replacePending(f Fingerprint, left *entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.pendingWrites[f]
	switch {
	case w.record == nil:
	case left == nil:
		delete(s.pendingWrites, f)
	default:
		w.record = left
		s.pendingWrites[f] = w
	}
}

// dropPendingClear drops a pending record that clears the subject.
func (s *Syncer) dropPendingClear(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, pending := s.pendingWrites[f]; pending && w.record == nil {
		delete(s.pendingWrites, f)
	}
}

// runWriter writes pending records to the log until ctx ends.
func (s *Syncer) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, writeInterval, s.writeNow)
		batch := s.nextBatch()
		if len(batch) == 0 {
			continue
		}
		if err := s.writeBatch(ctx, batch); err != nil {
			s.requeue(batch)
			logstore.Pause(ctx, writeRetryDelay, nil)
			continue
		}
		logstore.Notify(s.readNow)
	}
}

// nextBatch removes and returns pending records, at most maxWriteBatch; none if none is due.
func (s *Syncer) nextBatch() map[Fingerprint]*entryRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := map[Fingerprint]*entryRecord{}
	if !s.isWriteDue(time.Now()) {
		return batch
	}
	for f, w := range s.pendingWrites {
		if len(batch) == maxWriteBatch {
			break
		}
		batch[f] = w.record
		delete(s.pendingWrites, f)
	}
	return batch
}

// isWriteDue reports whether a pending record is to be written at now. The others are then
// written with it, which costs no further call.
func (s *Syncer) isWriteDue(now time.Time) bool {
	for _, w := range s.pendingWrites {
		if !now.Before(w.dueAt) {
			return true
		}
	}
	return false
}

// requeue makes records that were not written pending again, except where a newer one of
// the same subject is pending.
func (s *Syncer) requeue(batch map[Fingerprint]*entryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, r := range batch {
		if _, newer := s.pendingWrites[f]; !newer {
			s.pendingWrites[f] = pendingWrite{record: r}
		}
	}
}

// writeBatch writes records to the log. Each write has a higher epoch than the one before,
// so that the log rejects a delayed write that arrives after a later one.
func (s *Syncer) writeBatch(ctx context.Context, batch map[Fingerprint]*entryRecord) error {
	records := make([]logstore.KeyedRecord, 0, len(batch))
	for f, r := range batch {
		keyed := logstore.KeyedRecord{Key: f.String()}
		if r != nil {
			value, err := r.encode()
			if err != nil {
				s.Logger.Error().Err(err).Stringer("content", f).Msg("quarantine: record not encoded, not written")
				continue
			}
			keyed.Value = value
		}
		records = append(records, keyed)
	}
	s.lastEpoch++
	write := logstore.WriteID{Writer: string(s.Table.self), Epoch: s.lastEpoch}
	return s.Log.Put(ctx, logstore.TopicQuarantine, write, records)
}
