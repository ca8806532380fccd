package fold

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/record"
)

// table is a fold that can be saved as a snapshot.
type table interface {
	Apply(offset uint64, batch record.Batch) error
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// drawRecord draws a record of any kind. There are few identities, so that
// records often concern the same one.
func drawRecord(t *rapid.T) record.Record {
	pick := func(label string, n int) string { return fmt.Sprint(rapid.IntRange(0, n).Draw(t, label)) }
	budget := record.BudgetID{Team: "a", Name: pick("budget", 1)}
	right, holder := record.RightID(pick("right", 5)), record.InstanceID(pick("instance", 2))
	key := record.RequestKey{Team: "a", Session: "s", Key: pick("key", 9)}
	run := record.RunID(pick("run", 2))
	tokens := rapid.Int64Range(1, 20).Draw(t, "tokens")
	claim := record.Claim{Key: key, Run: run, Right: right, UnixMilli: rapid.Int64Range(0, 3).Draw(t, "day") * ClaimWindow.Milliseconds()}
	return rapid.SampledFrom([]record.Record{
		record.TopUp{Budget: budget, ID: pick("topup", 9), Tokens: 10 * tokens},
		record.Grant{Right: right, Budget: budget, Tokens: tokens, Holder: holder, Witness: "w"},
		record.Return{Right: right, By: holder, Seq: 1, Tokens: tokens},
		record.Bill{Key: key, Right: right, Run: run, Tokens: tokens},
		record.Close{Right: right, By: holder, Spent: tokens, Outstanding: []record.Outstanding{{Key: key, Tokens: tokens}}, Claims: []record.Claim{claim}},
		record.Shard{Right: right, Zone: "z", Epoch: uint64(rapid.IntRange(1, 3).Draw(t, "epoch")), Holder: holder, Witness: "w"},
		claim,
		record.ClaimEnd{Key: key, Run: run, Outcome: record.OutcomeAnswered},
		record.ClaimEnd{Key: key, Run: run, Outcome: record.OutcomeNotRun},
		record.SessionEnded{Session: record.SessionID(pick("session", 3)), Team: "a"},
		record.SessionOpened{Session: record.SessionID(pick("session", 3)), Team: "a", UnixMilli: 7},
		record.Change{ID: pick("change", 20), Ops: []record.ChangeOp{{Path: "/" + pick("path", 2), Value: "v", Base: uint64(rapid.IntRange(0, 4).Draw(t, "base"))}}},
	}).Draw(t, "record")
}

func mustSnapshot(t *rapid.T, f table) []byte {
	data, err := f.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A table restored from a snapshot of any prefix of the log, to which the rest
// of the log is applied, equals the table that the whole log gives.
func TestAnyPrefixAsSnapshotGivesTheSameTables(t *testing.T) {
	smallWindows := Windows{Bills: 3, TopUps: 2, Writers: sweepInterval, Grants: 3}
	for name, fresh := range map[string]func() table{
		"ledger": func() table { return NewLedgerWithWindows(smallWindows) },
		"config": func() table { return NewConfig() },
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkSnapshotOfPrefix(t, fresh) })
		})
	}
}

// topUpBudgets tops up both budgets, so that grants can be valid.
func topUpBudgets(t *rapid.T, f table) {
	batch := record.Batch{Writer: "operator", Seq: 1}
	for _, name := range []string{"0", "1"} {
		env, err := record.Encode(record.TopUp{Budget: record.BudgetID{Team: "a", Name: name}, ID: "first", Tokens: 1000})
		if err != nil {
			t.Fatal(err)
		}
		batch.Records = append(batch.Records, env)
	}
	if err := f.Apply(0, batch); err != nil {
		t.Fatal(err)
	}
}

func checkSnapshotOfPrefix(t *rapid.T, fresh func() table) {
	const steps = 60
	// Offsets may advance fast enough to leave the windows of writers and results.
	stride := rapid.SampledFrom([]uint64{1, ResultWindow / 8}).Draw(t, "stride")
	cut := rapid.IntRange(0, steps).Draw(t, "cut")
	whole, restored := fresh(), fresh()
	topUpBudgets(t, whole)
	for step := range steps + 1 {
		if step == cut {
			if err := restored.Restore(mustSnapshot(t, whole)); err != nil {
				t.Fatal(err)
			}
		}
		var batch record.Batch
		batch.Writer = rapid.SampledFrom([]record.InstanceID{"i", "j"}).Draw(t, "writer")
		batch.Seq = uint64(rapid.IntRange(max(0, step-3), step+3).Draw(t, "seq"))
		env, err := record.Encode(drawRecord(t))
		if err != nil {
			t.Fatal(err)
		}
		batch.Records = append(batch.Records, env)
		offset := uint64(step+1) * stride
		if err := whole.Apply(offset, batch); err != nil {
			t.Fatal(err)
		}
		if step < cut {
			continue
		}
		if err := restored.Apply(offset, batch); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(mustSnapshot(t, whole), mustSnapshot(t, restored)) {
			t.Fatalf("tables differ at step %d after the cut at %d:\n%+v\n%+v", step, cut, whole, restored)
		}
		if a, b := derivedIndexes(whole), derivedIndexes(restored); !reflect.DeepEqual(a, b) {
			t.Fatalf("indexes differ at step %d after the cut at %d:\n%+v\n%+v", step, cut, a, b)
		}
	}
}

// derivedIndexes returns the indexes that a snapshot does not hold.
func derivedIndexes(f table) []any {
	l, ok := f.(*Ledger)
	if !ok {
		return nil
	}
	open := map[record.BudgetID]map[record.RightID]*Grant{}
	for id, b := range l.budgets {
		open[id] = b.openGrants
	}
	return []any{l.bills.seen, l.openByHolder, l.openByWitness, l.claims.shardByRight, open}
}

// Restore of a truncated snapshot fails and leaves the state unchanged.
func TestDamagedSnapshotChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		before := mustSnapshot(t, l)
		damaged := append([]byte(nil), before[:rapid.IntRange(0, len(before)-1).Draw(t, "length")]...)
		if err := l.Restore(damaged); err == nil {
			t.Fatal("a truncated snapshot was restored")
		}
		if !bytes.Equal(before, mustSnapshot(t, l)) {
			t.Fatal("a failed restore changed the state")
		}
	})
}

// Each field of a table must be part of its snapshot or be derived from one
// that is. A new field fails this test until it is listed here as such.
func TestSnapshotHoldsEveryField(t *testing.T) {
	for _, row := range []struct {
		of   reflect.Type
		want string
	}{
		{reflect.TypeFor[Ledger](), "windows budgets grants openByHolder openByWitness closedGrants bills writers claims next"},
		{reflect.TypeFor[budget](), "Budget topUps openGrants"},
		{reflect.TypeFor[Budget](), "ID Prepaid Committed Billed"},
		{reflect.TypeFor[Grant](), "Grant Offset Billed Closed Returns bills"},
		{reflect.TypeFor[billTable](), "seen order atClose"},
		{reflect.TypeFor[writerTable](), "lastBatches lastSweep"},
		{reflect.TypeFor[lastBatch](), "seq offset"},
		{reflect.TypeFor[claimTables](), "shards shardByRight claims order latestUnixMilli endedSessions openSessions"},
		{reflect.TypeFor[sessionTable](), "rows order"},
		{reflect.TypeFor[Shard](), "Shard Offset Closed"},
		{reflect.TypeFor[Claim](), "Claim Outcome"},
		{reflect.TypeFor[claimAge](), "key run unixMilli"},
		{reflect.TypeFor[Config](), "values results resultIDs next"},
	} {
		var fields []string
		for i := range row.of.NumField() {
			fields = append(fields, row.of.Field(i).Name)
		}
		if got := strings.Join(fields, " "); got != row.want {
			t.Errorf("%s has fields %s, its snapshot is known to hold %s", row.of, got, row.want)
		}
	}
}
