package fold_test

import (
	"testing"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

func applyRecords(t *testing.T, l *fold.Ledger, records ...record.Record) {
	t.Helper()
	for _, r := range records {
		env, err := record.Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		offset := l.NextOffset()
		if err := l.Apply(offset, record.Batch{Writer: "w", Seq: offset + 1, Records: []record.Envelope{env}}); err != nil {
			t.Fatal(err)
		}
	}
}

func shardEpoch(n uint64, right record.RightID, holder, witness record.InstanceID) record.Shard {
	return record.Shard{Right: right, Zone: "z", Epoch: n, Holder: holder, Witness: witness}
}

func newClaim(key string, right record.RightID, run record.RunID, at int64) record.Claim {
	return record.Claim{Key: record.RequestKey{Team: "t", Key: key}, Right: right, Run: run, UnixMilli: at}
}

// An epoch with a witness ends by a close of its holder, its witness or an
// operator; one without a witness ends by the record of the next epoch.
func TestClaimShardEpochs(t *testing.T) {
	for name, c := range map[string]struct {
		records []record.Record
		want    record.RightID
	}{
		"first epoch is 1":              {[]record.Record{shardEpoch(2, "r2", "a", "")}, ""},
		"open with witness stays":       {[]record.Record{shardEpoch(1, "r1", "a", "b"), shardEpoch(2, "r2", "c", "")}, "r1"},
		"open without witness is ended": {[]record.Record{shardEpoch(1, "r1", "a", ""), shardEpoch(2, "r2", "c", "")}, "r2"},
		"epoch must be the next":        {[]record.Record{shardEpoch(1, "r1", "a", ""), shardEpoch(3, "r3", "c", "")}, "r1"},
		"closed by holder":              {[]record.Record{shardEpoch(1, "r1", "a", "b"), record.Close{Right: "r1", By: "a"}, shardEpoch(2, "r2", "c", "")}, "r2"},
		"closed by witness":             {[]record.Record{shardEpoch(1, "r1", "a", "b"), record.Close{Right: "r1", By: "b"}, shardEpoch(2, "r2", "c", "")}, "r2"},
		"not closed by another":         {[]record.Record{shardEpoch(1, "r1", "a", "b"), record.Close{Right: "r1", By: "c"}, shardEpoch(2, "r2", "c", "")}, "r1"},
		"not closed by nobody":          {[]record.Record{shardEpoch(1, "r1", "a", "b"), record.Close{Right: "r1"}, shardEpoch(2, "r2", "c", "")}, "r1"},
		"closed by an operator":         {[]record.Record{shardEpoch(1, "r1", "a", "b"), record.Close{Right: "r1", Forced: true}, shardEpoch(2, "r2", "c", "")}, "r2"},
		"no witness of itself":          {[]record.Record{shardEpoch(1, "r1", "a", "a")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			l := fold.NewLedger()
			applyRecords(t, l, c.records...)
			got, _ := l.ClaimShard("z", 0)
			if got.Right != c.want {
				t.Fatalf("the last epoch has right %q, want %q", got.Right, c.want)
			}
		})
	}
}

func withSeq(c record.Claim, n uint64) record.Claim {
	c.Seq = n
	return c
}

// A key has one run at a time. Only OutcomeNotRun, a later claim of the same
// epoch, or the end of ClaimWindow releases the key.
func TestClaimOfAKey(t *testing.T) {
	open := shardEpoch(1, "r1", "a", "b")
	key := record.RequestKey{Team: "t", Key: "k"}
	end := func(run record.RunID, o record.Outcome) record.Record {
		return record.ClaimEnd{Key: key, Run: run, Outcome: o}
	}
	one := newClaim("k", "r1", "one", 1)
	two := newClaim("k", "r1", "two", 2)
	windowMillis := fold.ClaimWindow.Milliseconds()
	for name, c := range map[string]struct {
		records []record.Record
		run     record.RunID
		outcome record.Outcome
	}{
		"first run stays":               {[]record.Record{open, one, two}, "one", 0},
		"void without epoch":            {[]record.Record{one}, "", 0},
		"void after the close":          {[]record.Record{open, record.Close{Right: "r1", By: "a"}, one}, "", 0},
		"void after being superseded":   {[]record.Record{shardEpoch(1, "r1", "a", ""), shardEpoch(2, "r2", "c", ""), one}, "", 0},
		"close brings claims":           {[]record.Record{open, record.Close{Right: "r1", By: "b", Claims: []record.Claim{one}}}, "one", 0},
		"close brings only its own":     {[]record.Record{open, record.Close{Right: "r1", By: "b", Claims: []record.Claim{newClaim("k", "r0", "x", 1)}}}, "", 0},
		"not run frees the key":         {[]record.Record{open, one, end("one", record.OutcomeNotRun), two}, "two", 0},
		"later claim of the epoch":      {[]record.Record{open, withSeq(one, 1), withSeq(two, 2), end("one", record.OutcomeNotRun)}, "two", 0},
		"late copy of a freed claim":    {[]record.Record{open, withSeq(two, 2), withSeq(one, 1)}, "two", 0},
		"another run frees nothing":     {[]record.Record{open, one, end("two", record.OutcomeNotRun), two}, "one", 0},
		"first outcome stays":           {[]record.Record{open, one, end("one", record.OutcomeUnknown), end("one", record.OutcomeNotRun)}, "one", record.OutcomeUnknown},
		"outcome after the epoch's end": {[]record.Record{open, one, record.Close{Right: "r1", By: "a"}, end("one", record.OutcomeAnswered)}, "one", record.OutcomeAnswered},
		"kept within the window":        {[]record.Record{open, one, newClaim("other", "r1", "o", 1+windowMillis)}, "one", 0},
		"forgotten after the window":    {[]record.Record{open, one, newClaim("other", "r1", "o", 2+windowMillis)}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := fold.NewLedger()
			applyRecords(t, l, c.records...)
			got, _ := l.Claim(key)
			if got.Run != c.run || got.Outcome != c.outcome {
				t.Fatalf("the claim has run %q and outcome %d, want %q and %d", got.Run, got.Outcome, c.run, c.outcome)
			}
		})
	}
}
