package right

// Holder is the holder's state machine for one right. It is not safe for
// concurrent use.
//
// Invariants: at most one batch is in flight, so the witness receives the
// batches in order; a use is confirmed only once its batch is acknowledged; no
// batch is sent after Close or End.
type Holder[U any] struct {
	terms       Terms
	seq         uint64
	inFlight    bool  // True from NextBatch until its result.
	endReason   error // ErrClosed, ErrSealed, ErrLost or another refusal; nil while usable.
	queuedPuts  []Use[U]
	queuedDrops []UseID
	inDoubt     bool // The right ended with changes that the witness had not acknowledged.
}

// NewHolder returns the state of a usable right. The caller must have read its
// own record back from the log, and the fold must have accepted it as valid.
func NewHolder[U any](t Terms) *Holder[U] { return &Holder[U]{terms: t} }

// Terms returns the log's terms of the right.
func (h *Holder[U]) Terms() Terms { return h.terms }

// HasWitness reports whether a use needs a witness's acknowledgement.
func (h *Holder[U]) HasWitness() bool { return h.terms.Witness != "" }

// Err returns nil while the right may be used, otherwise the reason why not.
func (h *Holder[U]) Err() error { return h.endReason }

// Put queues a new use, or a use whose body changed, for the next batch. It
// returns the reason if the right may no longer be used.
func (h *Holder[U]) Put(use Use[U]) error {
	if h.endReason != nil {
		return h.endReason
	}
	if h.HasWitness() {
		h.queuedPuts = append(h.queuedPuts, use)
	}
	return nil
}

// Drop queues the removal of a use. A use that is still queued is never sent.
func (h *Holder[U]) Drop(id UseID) {
	if h.endReason != nil || !h.HasWitness() {
		return
	}
	kept := h.queuedPuts[:0]
	for _, use := range h.queuedPuts {
		if use.ID != id {
			kept = append(kept, use)
		}
	}
	h.queuedPuts = kept
	h.queuedDrops = append(h.queuedDrops, id)
}

// NextBatch returns the queued changes as the next batch and marks it as in
// flight. It returns false if a batch is in flight, if nothing is queued, and
// after the right's end.
func (h *Holder[U]) NextBatch() (Batch[U], bool) {
	if h.inFlight || h.endReason != nil || len(h.queuedPuts)+len(h.queuedDrops) == 0 {
		return Batch[U]{}, false
	}
	h.seq++
	h.inFlight = true
	b := Batch[U]{Terms: h.terms, Seq: h.seq, Drops: h.queuedDrops, Puts: h.queuedPuts}
	h.queuedDrops, h.queuedPuts = nil, nil
	return b, true
}

// IsAcknowledged reports whether the witness has acknowledged all changes, so that it counts the
// same uses as the holder. It stays false if the right ended before it had.
func (h *Holder[U]) IsAcknowledged() bool {
	return !h.inDoubt && !h.inFlight && len(h.queuedPuts)+len(h.queuedDrops) == 0
}

// OnAcknowledged records that the witness acknowledged the batch in flight. It
// returns the reason if the right has ended meanwhile. The uses of the batch
// are confirmed all the same: the witness includes them in its close.
func (h *Holder[U]) OnAcknowledged() error {
	h.inFlight = false
	return h.endReason
}

// End stops using the right and discards queued changes. The reason is
// ErrSealed if the witness has sealed it, ErrLost if it isn't known whether
// the batch in flight was acknowledged. The first reason is kept.
func (h *Holder[U]) End(reason error) {
	h.inDoubt = !h.IsAcknowledged()
	h.inFlight = false
	if h.endReason == nil {
		h.endReason = reason
	}
	h.queuedPuts, h.queuedDrops = nil, nil
}

// Close stops using the right without a failure, for instance because the log
// has closed it. If it is still open there, the holder may append its close.
func (h *Holder[U]) Close() { h.End(ErrClosed) }
