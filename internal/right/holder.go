package right

// Holder is the holder's side of one right. It is not safe for concurrent use.
//
// Invariants: at most one batch is in flight, so the witness sees the batches
// in order; a use counts only once its batch is acknowledged; after Close or
// Lose nothing is sent any more.
type Holder[U any] struct {
	terms    Terms
	seq      uint64
	inFlight bool
	ended    error // ErrClosed, ErrSealed or ErrLost; nil while open.
	puts     []Use[U]
	drops    []UseID
}

// NewHolder returns the open holder's side of a right. The caller has read its
// own record back and the fold called it valid.
func NewHolder[U any](t Terms) *Holder[U] { return &Holder[U]{terms: t} }

// Terms returns the right's terms.
func (h *Holder[U]) Terms() Terms { return h.terms }

// Witnessed says whether a use needs the witness's acknowledgement.
func (h *Holder[U]) Witnessed() bool { return h.terms.Witness != "" }

// Err returns nil while the right may be used, else why it may not.
func (h *Holder[U]) Err() error { return h.ended }

// Put queues a use, or a changed body, for the next batch.
func (h *Holder[U]) Put(use Use[U]) error {
	if h.ended != nil {
		return h.ended
	}
	if h.Witnessed() {
		h.puts = append(h.puts, use)
	}
	return nil
}

// Drop queues the end of a use. A use that was not sent yet is never sent.
func (h *Holder[U]) Drop(id UseID) {
	if h.ended != nil || !h.Witnessed() {
		return
	}
	kept := h.puts[:0]
	for _, use := range h.puts {
		if use.ID != id {
			kept = append(kept, use)
		}
	}
	h.puts = kept
	h.drops = append(h.drops, id)
}

// Next takes what is queued as the next batch. It returns false while a batch
// is in flight, when nothing is queued, and after the right's end.
func (h *Holder[U]) Next() (Batch[U], bool) {
	if h.inFlight || h.ended != nil || len(h.puts)+len(h.drops) == 0 {
		return Batch[U]{}, false
	}
	h.seq++
	h.inFlight = true
	b := Batch[U]{Terms: h.terms, Seq: h.seq, Drops: h.drops, Puts: h.puts}
	h.drops, h.puts = nil, nil
	return b, true
}

// Acknowledged says that the witness acknowledged the batch in flight. It
// returns the reason if the right has ended meanwhile. The uses count even
// so: the witness has them in its close.
func (h *Holder[U]) Acknowledged() error {
	h.inFlight = false
	return h.ended
}

// Lose ends the use of the right: the witness has sealed it (ErrSealed), or it
// is not known what became of the batch in flight (ErrLost).
func (h *Holder[U]) Lose(reason error) {
	h.inFlight = false
	if h.ended == nil {
		h.ended = reason
	}
	h.puts, h.drops = nil, nil
}

// Close ends the use of the right by its holder's own will. From then on the
// holder may close it on the log.
func (h *Holder[U]) Close() { h.Lose(ErrClosed) }
