package membudget_test

import (
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/membudget"
)

// Guards against several limits that add up to more memory than there is, and against one use that
// takes what is reserved for another.
func TestPartsNeverHoldMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := membudget.New(1000)
		shares := []float64{0.25, 0.125, 0}
		var parts []*membudget.Part
		for _, share := range shares {
			parts = append(parts, b.NewPart(share))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			i, n := rapid.IntRange(0, 2).Draw(rt, "part"), int64(rapid.IntRange(1, 400).Draw(rt, "bytes"))
			p := parts[i]
			if rapid.Bool().Draw(rt, "give") {
				p.Give(min(n, p.Used()))
				continue
			}
			before := p.Used()
			took := p.TryTake(n)
			if fits := float64(before+n) <= 1000*shares[i]; fits && !took {
				rt.Fatalf("part %d holds %d and can't take %d of its own reserve", i, before, n)
			}
			sum := int64(0)
			for _, part := range parts {
				sum += part.Used()
			}
			if sum > b.Limit() || p.Used() > p.Max() {
				rt.Fatalf("parts hold %d of %d bytes, part %d %d of %d", sum, b.Limit(), i, p.Used(), p.Max())
			}
		}
	})
}

func TestChangedTellsOfRoom(t *testing.T) {
	b := membudget.New(10)
	p := b.NewPart(0)
	if !p.TryTake(10) || p.TryTake(1) {
		t.Fatal("want room for 10 bytes and no more")
	}
	changed := b.Changed()
	p.Give(1)
	<-changed
	if !p.TryTake(1) {
		t.Error("no room for the byte that was given back")
	}
}
