package fold_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

var (
	testBudget   = record.BudgetID{Team: "dala", Name: "main"}
	smallWindows = fold.Windows{Bills: 4, TopUps: 3, Writers: 8, Grants: 2}
)

// fataler is the part that testing.TB and rapid.T share.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

func newBatch(t fataler, writer record.InstanceID, seq uint64, records ...record.Record) record.Batch {
	t.Helper()
	b := record.Batch{Writer: writer, Seq: seq}
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		t.Fatal(err)
	}
	b.Records = envelopes
	return b
}

// checkBudget checks the invariants of a budget and its open grants.
func checkBudget(t interface{ Fatalf(string, ...any) }, l *fold.Ledger, id record.BudgetID) {
	b, ok := l.Budget(id)
	if !ok {
		return
	}
	var open int64
	for _, g := range l.OpenGrants(id) {
		if g.Billed < 0 || g.Billed > g.Tokens {
			t.Fatalf("%d tokens of a grant of %d are billed", g.Billed, g.Tokens)
		}
		open += g.Tokens
	}
	if b.Billed < 0 || b.Billed > b.Committed || b.Committed > b.Prepaid || b.Prepaid > fold.MaxTokens || open > b.Committed {
		t.Fatalf("the sums of budget %+v are out of bounds; its open grants have %d tokens", b, open)
	}
}

func requestKey(n int) record.RequestKey {
	return record.RequestKey{Team: "dala", Key: fmt.Sprint(n)}
}

// drawRecord draws a record that moves tokens; its amount may be negative or
// close to overflow.
func drawRecord(t *rapid.T) record.Record {
	tokens := rapid.OneOf(rapid.Int64Range(1, 60), rapid.Int64Range(1, 60), rapid.Int64Range(-5, 400), rapid.SampledFrom([]int64{math.MaxInt64, math.MinInt64, fold.MaxTokens, fold.MaxTokens - 1})).Draw(t, "tokens")
	right := record.RightID(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "right")))
	by := record.InstanceID(rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "by"))
	k := requestKey(rapid.IntRange(0, 9).Draw(t, "key"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return record.TopUp{Budget: testBudget, ID: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), Tokens: tokens}
	case 1:
		return record.Grant{Right: right, Budget: testBudget, Tokens: tokens, Holder: by, Witness: "b"}
	case 2:
		return record.Return{Right: right, By: by, Seq: rapid.Uint64Range(0, 3).Draw(t, "seq"), Tokens: tokens}
	case 3:
		return record.Bill{Key: k, Right: right, Tokens: tokens}
	default:
		return record.Close{Right: right, By: by, Spent: tokens, Forced: rapid.Bool().Draw(t, "forced"),
			Outstanding: []record.Outstanding{{Key: k, Tokens: tokens}, {Key: requestKey(3), Tokens: 7}}}
	}
}

// TestLedgerInvariantsHoldForAnyRecords checks that sums stay in bounds
// whatever the log holds. A copy of a batch has no effect; nor has a copy of a
// record in a batch of another writer, as after the fold has forgotten the
// writer, while the fold remembers the grant.
func TestLedgerInvariantsHoldForAnyRecords(t *testing.T) {
	rapid.Check(t, checkLedgerInvariants)
}

func checkLedgerInvariants(t *rapid.T) {
	windows := smallWindows
	windows.Grants = 1000
	l := fold.NewLedgerWithWindows(windows)
	records := append([]record.Record{
		record.TopUp{Budget: testBudget, ID: "first", Tokens: 1000},
		record.Grant{Right: "r0", Budget: testBudget, Tokens: 300, Holder: "a", Witness: "b"},
	}, rapid.SliceOfN(rapid.Custom(drawRecord), 1, 60).Draw(t, "records")...)
	for n, r := range records {
		env, err := record.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		b := record.Batch{Writer: "w", Seq: uint64(n + 1), Records: []record.Envelope{env}}
		if err := l.Apply(uint64(2*n), b); err != nil {
			t.Fatal(err)
		}
		checkBudget(t, l, testBudget)
		before, _ := l.Budget(testBudget)
		b.Writer = rapid.SampledFrom([]record.InstanceID{"w", record.InstanceID(fmt.Sprint("forgotten", n))}).Draw(t, "writer")
		_ = l.Apply(uint64(2*n+1), b)
		if after, _ := l.Budget(testBudget); after != before {
			t.Fatalf("a copy of record %+v changed the budget from %+v to %+v", r, before, after)
		}
	}
}

// FuzzLedgerApply checks that no bytes on the log make the fold panic or bring
// its sums out of bounds.
func FuzzLedgerApply(f *testing.F) {
	budget, right := testBudget, record.RightID("r0")
	seed := func(seq uint64, records ...record.Record) {
		data, err := record.EncodeBatch(newBatch(f, "x", seq, records...))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(1, record.TopUp{Budget: budget, ID: "t2", Tokens: math.MaxInt64})
	seed(1, record.Bill{Key: requestKey(1), Right: right, Tokens: 5}, record.Return{Right: right, By: "a", Seq: 1, Tokens: 10})
	seed(2, record.Close{Right: right, By: "b", Spent: math.MinInt64, Outstanding: []record.Outstanding{{Key: requestKey(2), Tokens: math.MaxInt64}}})
	seed(3, record.Unknown{Of: 60_000, Body: []byte{0xa0}}, record.Unknown{Of: record.KindGrant, Body: []byte{0x01}})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := fold.NewLedgerWithWindows(smallWindows)
		_ = l.Apply(0, newBatch(t, "w", 1, record.TopUp{Budget: budget, ID: "t1", Tokens: 100},
			record.Grant{Right: right, Budget: budget, Tokens: 60, Holder: "a", Witness: "b"}))
		batch, err := record.DecodeBatch(data)
		if err != nil {
			return
		}
		_ = l.Apply(1, batch)
		_ = l.Apply(2, batch)
		for _, b := range l.Budgets() {
			checkBudget(t, l, b.ID)
		}
	})
}

// TestMalformedRecordIsPassedOver checks that a record that cannot be decoded
// is skipped and reported, and that the others of its batch take effect.
func TestMalformedRecordIsPassedOver(t *testing.T) {
	l := fold.NewLedger()
	b := newBatch(t, "w", 1, record.TopUp{Budget: testBudget, ID: "1", Tokens: 5}, record.Unknown{Of: record.KindGrant, Body: []byte{0x01}},
		record.Unknown{Of: 60_000, Body: []byte{0xa0}}, record.TopUp{Budget: testBudget, ID: "2", Tokens: 6})
	if err := l.Apply(0, b); err == nil {
		t.Fatal("the malformed record is not reported as an error")
	}
	if row, _ := l.Budget(testBudget); row.Prepaid != 11 {
		t.Fatalf("%d tokens are prepaid, want 11", row.Prepaid)
	}
}

// TestCloseOfOldGrantKnowsItsBills checks that a key is not billed a second
// time when a witness closes the grant long after the bill has left the window
// of recent bills.
func TestCloseOfOldGrantKnowsItsBills(t *testing.T) {
	l := fold.NewLedgerWithWindows(smallWindows)
	records := []record.Record{
		record.TopUp{Budget: testBudget, ID: "1", Tokens: 1000},
		record.Grant{Right: "old", Budget: testBudget, Tokens: 100, Holder: "a", Witness: "b"},
		record.Grant{Right: "new", Budget: testBudget, Tokens: 100, Holder: "c"},
		record.Bill{Key: requestKey(1), Right: "old", Tokens: 10},
	}
	for n := range 3 * smallWindows.Bills {
		records = append(records, record.Bill{Key: requestKey(100 + n), Right: "new", Tokens: 1})
	}
	records = append(records, record.Close{Right: "old", By: "b", Outstanding: []record.Outstanding{{Key: requestKey(1), Tokens: 90}}})
	if err := l.Apply(0, newBatch(t, "w", 1, records...)); err != nil {
		t.Fatal(err)
	}
	row, _ := l.Budget(testBudget)
	if want := int64(10 + 3*smallWindows.Bills); row.Billed != want || row.Committed != 10+100 {
		t.Fatalf("%d tokens are billed and %d committed; the outstanding use may have been billed twice", row.Billed, row.Committed)
	}
}
