package right

// Holder is the holder's side of one right. It is not safe for concurrent use.
//
// Invariants: at most one batch is in flight, so the witness sees the batches
// in order; a use counts only once its batch is acknowledged; after Close or
// Lose nothing is sent any more.
type Holder[U any] struct {
	terms       Terms
	seq         uint64
	inFlight    bool
	endReason   error // ErrClosed, ErrSealed or ErrLost; nil while open.
	queuedPuts  []Use[U]
	queuedDrops []UseID
}

// NewHolder returns the open holder's side of a right. The caller has read its
// own record back and the fold called it valid.
func NewHolder[U any](t Terms) *Holder[U] { return &Holder[U]{terms: t} }

// Terms returns the right's terms.
func (h *Holder[U]) Terms() Terms { return h.terms }

// HasWitness says whether a use needs the witness's acknowledgement.
func (h *Holder[U]) HasWitness() bool { return h.terms.Witness != "" }

// Err returns nil while the right may be used, else why it may not.
func (h *Holder[U]) Err() error { return h.endReason }

// Put queues a use, or a changed body, for the next batch.
func (h *Holder[U]) Put(use Use[U]) error {
	if h.endReason != nil {
		return h.endReason
	}
	if h.HasWitness() {
		h.queuedPuts = append(h.queuedPuts, use)
	}
	return nil
}

// Drop queues the end of a use. A use that was not sent yet is never sent.
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

// NextBatch takes what is queued as the next batch. It returns false while a batch
// is in flight, when nothing is queued, and after the right's end.
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

// OnAcknowledged says that the witness acknowledged the batch in flight. It
// returns the reason if the right has ended meanwhile. The uses count even
// so: the witness has them in its close.
func (h *Holder[U]) OnAcknowledged() error {
	h.inFlight = false
	return h.endReason
}

// End ends the use of the right: the witness has sealed it (ErrSealed), or it
// is not known what became of the batch in flight (ErrLost).
func (h *Holder[U]) End(reason error) {
	h.inFlight = false
	if h.endReason == nil {
		h.endReason = reason
	}
	h.queuedPuts, h.queuedDrops = nil, nil
}

// Close ends the use of the right by its holder's own will. From then on the
// holder may close it on the log.
func (h *Holder[U]) Close() { h.End(ErrClosed) }
