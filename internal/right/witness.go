package right

import (
	"slices"

	"guavapier/internal/record"
)

// Witness is the state machine for the rights that this instance witnesses. It
// is not safe for concurrent use.
//
// Invariants: a right is added only by Adopt, after the fold has accepted its
// record as valid; a sealed right never becomes unsealed; Seal returns every
// use that was acknowledged and not dropped.
type Witness[U any] struct {
	self   record.InstanceID
	rights map[record.RightID]*adoptedRight[U]
}

// adoptedRight is what the witness stores for one right that it has adopted:
// the terms and the uses that it has acknowledged.
type adoptedRight[U any] struct {
	terms   Terms
	lastSeq uint64 // Seq of the last applied batch.
	sealed  bool
	uses    map[UseID]U
}

// NewWitness returns a witness without rights. An instance has a new ID after
// each restart, so it never resumes rights that an earlier process witnessed.
func NewWitness[U any](self record.InstanceID) *Witness[U] {
	return &Witness[U]{self: self, rights: map[record.RightID]*adoptedRight[U]{}}
}

// Adopt adds a right. The caller must have read the right's record at its
// offset, and the fold must consider it valid and open. Adopting a right again
// has no effect. A right with another witness is refused with ErrUnknownRight.
func (w *Witness[U]) Adopt(t Terms) error {
	if t.Witness != w.self {
		return ErrUnknownRight
	}
	if _, ok := w.rights[t.Right]; !ok {
		w.rights[t.Right] = &adoptedRight[U]{terms: t, uses: map[UseID]U{}}
	}
	return nil
}

// Acknowledge applies a batch. A batch that was applied before is acknowledged
// again, even after a seal: its uses are among those that Seal returned.
func (w *Witness[U]) Acknowledge(b Batch[U]) error {
	a, ok := w.rights[b.Right]
	switch {
	case !ok:
		return ErrNotAdopted
	case a.terms != b.Terms:
		return ErrUnknownRight
	case b.Seq <= a.lastSeq:
		return nil
	case a.sealed:
		return ErrSealed
	case b.Seq != a.lastSeq+1:
		return ErrOutOfOrder
	}
	a.lastSeq = b.Seq
	for _, id := range b.Drops {
		delete(a.uses, id)
	}
	for _, use := range b.Puts {
		a.uses[use.ID] = use.Body
	}
	return nil
}

// Seal refuses all further batches of a right and returns the uses that its
// close must account for, ordered by ID. Sealing again returns the same uses.
func (w *Witness[U]) Seal(id record.RightID) ([]Use[U], error) {
	a, ok := w.rights[id]
	if !ok {
		return nil, ErrNotAdopted
	}
	a.sealed = true
	uses := make([]Use[U], 0, len(a.uses))
	for use, body := range a.uses {
		uses = append(uses, Use[U]{ID: use, Body: body})
	}
	slices.SortFunc(uses, func(x, y Use[U]) int { return compareUseIDs(x.ID, y.ID) })
	return uses, nil
}

// Forget removes a right that the fold has closed.
func (w *Witness[U]) Forget(id record.RightID) { delete(w.rights, id) }

// Rights returns the terms of all adopted rights in no particular order.
func (w *Witness[U]) Rights() []Terms {
	out := make([]Terms, 0, len(w.rights))
	for _, a := range w.rights {
		out = append(out, a.terms)
	}
	return out
}

// IsSealed reports whether a right is adopted and sealed.
func (w *Witness[U]) IsSealed(id record.RightID) bool {
	a, ok := w.rights[id]
	return ok && a.sealed
}

// UseCount returns the number of uses recorded for a right, 0 if it isn't
// adopted.
func (w *Witness[U]) UseCount(id record.RightID) int {
	if a, ok := w.rights[id]; ok {
		return len(a.uses)
	}
	return 0
}

func compareUseIDs(x, y UseID) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
