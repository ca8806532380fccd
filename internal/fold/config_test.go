package fold_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

var configPaths = []string{"/teams/a/x", "/teams/a/y", "/teams/b/x"}

// drawChange draws a change whose base versions are mostly current.
func drawChange(t *rapid.T, c *fold.Config, maxID int) record.Change {
	change := record.Change{ID: fmt.Sprint(rapid.IntRange(0, maxID).Draw(t, "id")), By: "by"}
	if rapid.Bool().Draw(t, "scoped") {
		change.Scope = "/teams/a"
	}
	for _, path := range configPaths {
		if !rapid.Bool().Draw(t, "touch") {
			continue
		}
		v, _ := c.Get(path)
		base := v.Version
		if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
			base = rapid.Uint64Range(0, c.NextOffset()+1).Draw(t, "base")
		}
		op := record.ChangeOp{Path: path, Base: base, Value: change.ID, Delete: rapid.IntRange(0, 5).Draw(t, "delete") == 0}
		change.Ops = append(change.Ops, op)
	}
	return change
}

// drawLog draws a log of concurrent operators, of retries with the same change
// ID, and of copies of batches, as a writer sends them when the answer to an
// append is lost.
func drawLog(t *rapid.T, steps int) []record.Batch {
	var log []record.Batch
	current := fold.NewConfig()
	seqs := map[record.InstanceID]uint64{}
	for range steps {
		var b record.Batch
		if len(log) > 0 && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
			b = rapid.SampledFrom(log).Draw(t, "of")
		} else {
			writer := rapid.SampledFrom([]record.InstanceID{"i1", "i2"}).Draw(t, "writer")
			seqs[writer]++
			var changes []record.Record
			for range rapid.IntRange(1, 3).Draw(t, "records") {
				changes = append(changes, drawChange(t, current, steps))
			}
			b = newBatch(t, writer, seqs[writer], changes...)
		}
		if err := current.Apply(uint64(len(log)), b); err != nil {
			t.Fatal(err)
		}
		log = append(log, b)
	}
	return log
}

func changesOf(t *rapid.T, b record.Batch) []record.Change {
	var out []record.Change
	for _, env := range b.Records {
		r, err := record.Decode(env)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, r.(record.Change))
	}
	return out
}

// configModel is the reference model: the values, and the results by change ID,
// that the table must have after each batch.
type configModel struct {
	values  map[string]fold.Value
	decided map[string]fold.ChangeResult
}

// checkResult checks the fold's decision on one change and applies the change
// to the model.
func (m configModel) checkResult(t *rapid.T, c *fold.Config, change record.Change, offset uint64) {
	got, known := c.Result(change.ID)
	if !known {
		t.Fatalf("change %s has no result", change.ID)
	}
	if before, seen := m.decided[change.ID]; seen {
		if !reflect.DeepEqual(before, got) {
			t.Fatalf("a retry of the change modified its result from %+v to %+v", before, got)
		}
		return
	}
	m.decided[change.ID] = got
	if allowed := expectAccepted(m.values, change); got.Accepted != allowed {
		t.Fatalf("change %+v of values %+v: accepted is %v, want the opposite", change, m.values, got.Accepted)
	}
	if got.Accepted {
		applyOps(m.values, change, offset+1)
	}
}

// Every change applies entirely or not at all, once, on the versions that it
// names and within its scope. No value goes back to that of an earlier change.
func TestConfigNeverRevertsAndAppliesAllOrNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := fold.NewConfig()
		model := configModel{values: map[string]fold.Value{}, decided: map[string]fold.ChangeResult{}}
		for offset, batch := range drawLog(t, 30) {
			if err := c.Apply(uint64(offset), batch); err != nil {
				t.Fatal(err)
			}
			for _, change := range changesOf(t, batch) {
				model.checkResult(t, c, change, uint64(offset))
			}
			for _, path := range configPaths {
				if v, _ := c.Get(path); v != model.values[path] {
					t.Fatalf("offset %d: %s is %+v, want %+v", offset, path, v, model.values[path])
				}
			}
		}
	})
}

// expectAccepted reports whether the fold must accept a change of the given
// values.
func expectAccepted(now map[string]fold.Value, change record.Change) bool {
	for _, op := range change.Ops {
		if now[op.Path].Version != op.Base || change.Scope != "" && !fold.IsAtOrBelow(op.Path, change.Scope) {
			return false
		}
	}
	return true
}

// applyOps applies an accepted change to the model's values.
func applyOps(now map[string]fold.Value, change record.Change, version uint64) {
	for _, op := range change.Ops {
		delete(now, op.Path)
		if !op.Delete {
			now[op.Path] = fold.Value{Path: op.Path, Value: op.Value, Version: version, By: change.By, Change: change.ID}
		}
	}
}

// A change with a revoked credential modifies nothing, also if the credential
// was revoked after the change was sent. Results are remembered for
// ResultWindow and no longer.
func TestConfigRevokedCredentialAndWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := fold.NewConfig()
		const key = "/teams/a/operator_keys/k"
		put := record.Change{ID: "put", Ops: []record.ChangeOp{{Path: key, Value: "ana"}}}
		drop := record.Change{ID: "drop", Ops: []record.ChangeOp{{Path: key, Base: 1, Delete: true}}}
		late := record.Change{ID: "late", Credential: key, Scope: "/teams/a", Ops: []record.ChangeOp{{Path: "/teams/a/x", Value: "1"}}}
		for offset, change := range []record.Change{put, drop, late} {
			if err := c.Apply(uint64(offset), newBatch(t, "i", uint64(offset)+1, change)); err != nil {
				t.Fatal(err)
			}
		}
		if r, _ := c.Result("late"); r.Verdict != fold.VerdictRevoked {
			t.Fatalf("the result of a change with a revoked credential is %+v", r)
		}
		gap := rapid.SampledFrom([]uint64{1, fold.ResultWindow - 1, fold.ResultWindow, fold.ResultWindow + 1, 2 * fold.ResultWindow}).Draw(t, "gap")
		if err := c.Apply(2+gap, newBatch(t, "other", 1)); err != nil {
			t.Fatal(err)
		}
		if _, known := c.Result("late"); known != (gap <= fold.ResultWindow) {
			t.Fatalf("%d offsets after the change: its result is remembered: %v, want the opposite", gap, known)
		}
	})
}
