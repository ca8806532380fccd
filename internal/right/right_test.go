package right_test

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/right"
)

var terms = right.Terms{Right: "r", Holder: "h", Witness: "w", Offset: 7}

// adversary delays, duplicates and loses batches and replies before and after
// a seal.
type adversary struct {
	witness   *right.Witness[int]
	holder    *right.Holder[int]
	sent      []right.Batch[int]   // Every batch ever sent, for late duplicates.
	confirmed map[right.UseID]bool // Uses that the holder considers confirmed.
	sealed    map[right.UseID]bool // Uses that Seal returned; nil before the seal.
	lastID    int                  // ID of the newest use.
}

func (a *adversary) putUse(*rapid.T) {
	a.lastID++
	_ = a.holder.Put(right.Use[int]{ID: right.UseID(fmt.Sprint(a.lastID)), Body: a.lastID})
}

func (a *adversary) dropUse(t *rapid.T) {
	id := right.UseID(fmt.Sprint(rapid.IntRange(1, a.lastID+1).Draw(t, "use")))
	if a.confirmed[id] {
		a.holder.Drop(id)
		delete(a.confirmed, id)
	}
}

func (a *adversary) sendBatch(t *rapid.T) {
	b, ok := a.holder.NextBatch()
	if !ok {
		return
	}
	a.sent = append(a.sent, b)
	if rapid.Bool().Draw(t, "request lost") {
		a.holder.End(right.ErrLost)
		return
	}
	err := a.witness.Acknowledge(b)
	if err != nil || rapid.Bool().Draw(t, "answer lost") {
		a.holder.End(right.ErrLost)
		return
	}
	if a.holder.OnAcknowledged() != nil {
		return
	}
	for _, use := range b.Puts {
		a.confirmed[use.ID] = true
	}
}

func (a *adversary) deliverLateDuplicate(t *rapid.T) {
	if len(a.sent) > 0 {
		_ = a.witness.Acknowledge(rapid.SampledFrom(a.sent).Draw(t, "copy"))
	}
}

func (a *adversary) seal(t *rapid.T) {
	uses, err := a.witness.Seal("r")
	if err != nil {
		t.Fatal(err)
	}
	a.sealed = map[right.UseID]bool{}
	for _, use := range uses {
		a.sealed[use.ID] = true
	}
}

// check fails if a use that the holder considers confirmed is missing from the
// seal.
func (a *adversary) check(t *rapid.T) {
	for id := range a.confirmed {
		if a.sealed != nil && !a.sealed[id] {
			t.Fatalf("use %s is confirmed but missing from the sealed uses %v", id, a.sealed)
		}
	}
}

// TestSealedWitnessKnowsEveryCountedUse checks, for random orders of batches,
// losses, late duplicates and seals, that every use confirmed to the holder is
// among the sealed uses, and that none is confirmed after the seal. A missing
// one would never be billed.
func TestSealedWitnessKnowsEveryCountedUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &adversary{witness: right.NewWitness[int]("w"), holder: right.NewHolder[int](terms), confirmed: map[right.UseID]bool{}}
		if err := a.witness.Adopt(terms); err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": a.putUse, "drop": a.dropUse, "send": a.sendBatch, "late copy": a.deliverLateDuplicate, "seal": a.seal, "": a.check,
		})
	})
}

// TestWitnessRefusals checks the error for each batch or call that a witness
// must refuse, and that duplicates of applied batches are accepted even after
// a seal.
func TestWitnessRefusals(t *testing.T) {
	w := right.NewWitness[int]("w")
	batch := right.Batch[int]{Terms: terms, Seq: 1, Puts: []right.Use[int]{{ID: "a"}}}
	want := func(step string, got, want error) {
		t.Helper()
		if !errors.Is(got, want) {
			t.Fatalf("%s: %v, want %v", step, got, want)
		}
	}
	want("before adoption", w.Acknowledge(batch), right.ErrNotAdopted)
	_, err := w.Seal("r")
	want("seal before adoption", err, right.ErrNotAdopted)
	want("right of another witness", w.Adopt(right.Terms{Right: "r", Holder: "h", Witness: "x"}), right.ErrUnknownRight)
	want("adopt", w.Adopt(terms), nil)
	gap := batch
	gap.Seq = 3
	want("skipped batch", w.Acknowledge(gap), right.ErrOutOfOrder)
	other := batch
	other.Holder = "someone"
	want("another holder", w.Acknowledge(other), right.ErrUnknownRight)
	want("first", w.Acknowledge(batch), nil)
	uses, err := w.Seal("r")
	want("seal", err, nil)
	want("duplicate after the seal", w.Acknowledge(batch), nil)
	batch.Seq = 2
	want("new after the seal", w.Acknowledge(batch), right.ErrSealed)
	want("adopt again", w.Adopt(terms), nil)
	want("still sealed", w.Acknowledge(batch), right.ErrSealed)
	if len(uses) != 1 || uses[0].ID != "a" {
		t.Fatalf("sealed uses %v, want only use a", uses)
	}
	h := right.NewHolder[int](terms)
	h.Close()
	want("put after close", h.Put(right.Use[int]{ID: "b"}), right.ErrClosed)
}
