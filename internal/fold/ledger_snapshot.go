package fold

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// ErrUnusableSnapshot is returned for bytes that are not a snapshot, and for a
// snapshot in an encoding that this version does not support.
var ErrUnusableSnapshot = eris.New("fold: not a usable snapshot")

// Versions of the snapshots' encoding. A new field requires a new version;
// TestSnapshotHoldsEveryField fails until the encoded state holds the field.
const (
	ledgerSnapshotVersion = 1
	configSnapshotVersion = 1
	// extendedSnapshotVersion is that of a ledger's state with bills at closes.
	// It is used only if there are any, so that instances of builds without it
	// can use most snapshots.
	extendedSnapshotVersion = 2
)

// extendedState is the encoded state of a Ledger that remembers bills at closes.
type extendedState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Ledger  []byte // The encoded ledgerState.
	AtClose []closeBillState
}

type closeBillState struct {
	_      struct{} `cbor:",toarray"`
	Key    identityHash
	Right  record.RightID
	Tokens int64
}

// ledgerState is the encoded state of a Ledger. It omits what Restore can
// derive: the indexes of open grants, the index of shards by right, and the set
// of billed keys. Every list is sorted or in the order of its queue, so that
// equal states encode to equal bytes.
type ledgerState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Next    uint64
	Swept   uint64
	Writers []writerState
	Budgets []budgetState
	Grants  []grantState
	Closed  []closedState
	Bills   []billState
	Claims  claimsState
}

type writerState struct {
	_           struct{} `cbor:",toarray"`
	ID          record.InstanceID
	Seq, Offset uint64
}

type budgetState struct {
	_      struct{} `cbor:",toarray"`
	Row    Budget
	TopUps []identityHash
}

type grantState struct {
	_       struct{} `cbor:",toarray"`
	Grant   record.Grant
	Offset  uint64
	Billed  int64
	Closed  bool
	Returns uint64
	Bills   []identityHash
}

type closedState struct {
	_      struct{} `cbor:",toarray"`
	Right  record.RightID
	Offset uint64
}

type billState struct {
	_     struct{} `cbor:",toarray"`
	Key   identityHash
	Right record.RightID
}

type claimsState struct {
	_      struct{} `cbor:",toarray"`
	Shards []shardState
	Claims []claimState
	Order  []claimAgeState
	Latest int64
	Ended  []identityHash
	Opened []record.SessionOpened // In the order in which they were opened.
}

type shardState struct {
	_      struct{} `cbor:",toarray"`
	Shard  record.Shard
	Offset uint64
	Closed bool
}

type claimState struct {
	_       struct{} `cbor:",toarray"`
	Key     identityHash
	Claim   record.Claim
	Outcome record.Outcome
}

type claimAgeState struct {
	_         struct{} `cbor:",toarray"`
	Key       identityHash
	Run       record.RunID
	UnixMilli int64
}

// Snapshot returns the encoded state. Equal states encode to equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := ledgerState{
		Version: ledgerSnapshotVersion, Next: l.next, Swept: l.writers.lastSweep,
		Writers: l.writers.state(), Claims: l.claims.state(),
	}
	for _, id := range slices.SortedFunc(maps.Keys(l.budgets), compareBudgets) {
		b := l.budgets[id]
		s.Budgets = append(s.Budgets, budgetState{Row: b.Budget, TopUps: b.topUps.items[b.topUps.head:]})
	}
	for _, right := range slices.Sorted(maps.Keys(l.grants)) {
		g := l.grants[right]
		s.Grants = append(s.Grants, grantState{Grant: g.Grant, Offset: g.Offset, Billed: g.Billed, Closed: g.Closed, Returns: g.Returns, Bills: g.bills})
	}
	for _, c := range l.closedGrants.items[l.closedGrants.head:] {
		s.Closed = append(s.Closed, closedState{Right: c.right, Offset: c.offset})
	}
	for _, b := range l.bills.order.items[l.bills.order.head:] {
		s.Bills = append(s.Bills, billState{Key: b.key, Right: b.right})
	}
	data, err := encodeState(s)
	if err != nil || len(l.bills.atClose) == 0 {
		return data, err
	}
	extended := extendedState{Version: extendedSnapshotVersion, Ledger: data}
	for _, key := range slices.SortedFunc(maps.Keys(l.bills.atClose), compareKeys) {
		b := l.bills.atClose[key]
		extended.AtClose = append(extended.AtClose, closeBillState{Key: key, Right: b.right, Tokens: b.tokens})
	}
	return encodeState(extended)
}

func encodeState(s any) ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "fold: encode snapshot")
	}
	return data, nil
}

func compareBudgets(a, b record.BudgetID) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
}

// Restore replaces the state with that of a snapshot. The ledger must have the
// same windows as the one that the snapshot was taken of. It returns
// ErrUnusableSnapshot, and then leaves the state unchanged.
func (l *Ledger) Restore(data []byte) error {
	var extended extendedState
	if err := cbor.Unmarshal(data, &extended); err == nil && extended.Version == extendedSnapshotVersion {
		data = extended.Ledger
	}
	var s ledgerState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return eris.Wrap(ErrUnusableSnapshot, err.Error())
	}
	if s.Version != ledgerSnapshotVersion {
		return eris.Wrapf(ErrUnusableSnapshot, "fold: ledger snapshot has unsupported version %d", s.Version)
	}
	fresh := NewLedgerWithWindows(l.windows)
	fresh.next, fresh.writers.lastSweep = s.Next, s.Swept
	for _, w := range s.Writers {
		fresh.writers.lastBatches[w.ID] = lastBatch{seq: w.Seq, offset: w.Offset}
	}
	fresh.restoreBudgets(s)
	for _, c := range s.Closed {
		fresh.closedGrants.push(closedGrant{right: c.Right, offset: c.Offset})
	}
	for _, b := range s.Bills {
		fresh.bills.seen[b.Key] = struct{}{}
		fresh.bills.order.push(billEntry{key: b.Key, right: b.Right})
	}
	for _, b := range extended.AtClose {
		fresh.bills.atClose[b.Key] = closeBill{right: b.Right, tokens: b.Tokens}
	}
	fresh.claims.restore(s.Claims)
	*l = *fresh
	return nil
}

// restoreBudgets rebuilds the budgets, the grants and the indexes of open
// grants.
func (l *Ledger) restoreBudgets(s ledgerState) {
	for _, b := range s.Budgets {
		l.budgets[b.Row.ID] = &budget{Budget: b.Row, topUps: queue[identityHash]{items: b.TopUps}, openGrants: map[record.RightID]*Grant{}}
	}
	for _, row := range s.Grants {
		g := &Grant{Grant: row.Grant, Offset: row.Offset, Billed: row.Billed, Closed: row.Closed, Returns: row.Returns, bills: row.Bills}
		l.grants[g.Right] = g
		for _, key := range g.bills {
			l.bills.seen[key] = struct{}{}
		}
		if g.Closed {
			continue
		}
		l.openByHolder.add(g.Holder, g)
		l.openByWitness.add(g.Witness, g)
		if b, ok := l.budgets[g.Budget]; ok {
			b.openGrants[g.Right] = g
		}
	}
}

func (t *writerTable) state() []writerState {
	out := make([]writerState, 0, len(t.lastBatches))
	for _, id := range slices.Sorted(maps.Keys(t.lastBatches)) {
		out = append(out, writerState{ID: id, Seq: t.lastBatches[id].seq, Offset: t.lastBatches[id].offset})
	}
	return out
}

func compareKeys(a, b identityHash) int { return bytes.Compare(a[:], b[:]) }

func compareShards(a, b shardKey) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.shard, b.shard))
}

func (t *claimTables) state() claimsState {
	s := claimsState{Latest: t.latestUnixMilli, Ended: slices.SortedFunc(maps.Keys(t.endedSessions), compareKeys)}
	for _, key := range slices.SortedFunc(maps.Keys(t.shards), compareShards) {
		row := t.shards[key]
		s.Shards = append(s.Shards, shardState{Shard: row.Shard, Offset: row.Offset, Closed: row.Closed})
	}
	for _, key := range slices.SortedFunc(maps.Keys(t.claims), compareKeys) {
		s.Claims = append(s.Claims, claimState{Key: key, Claim: t.claims[key].Claim, Outcome: t.claims[key].Outcome})
	}
	for _, a := range t.order.items[t.order.head:] {
		s.Order = append(s.Order, claimAgeState{Key: a.key, Run: a.run, UnixMilli: a.unixMilli})
	}
	for _, key := range t.openSessions.keysInOrder() {
		s.Opened = append(s.Opened, t.openSessions.rows[key])
	}
	return s
}

func (t *claimTables) restore(s claimsState) {
	t.latestUnixMilli = s.Latest
	for _, row := range s.Shards {
		shard := &Shard{Shard: row.Shard, Offset: row.Offset, Closed: row.Closed}
		t.shards[shardKey{zone: row.Shard.Zone, shard: row.Shard.Shard}] = shard
		t.shardByRight[row.Shard.Right] = shard
	}
	for _, row := range s.Claims {
		t.claims[row.Key] = &Claim{Claim: row.Claim, Outcome: row.Outcome}
	}
	for _, a := range s.Order {
		t.order.push(claimAge{key: a.Key, run: a.Run, unixMilli: a.UnixMilli})
	}
	for _, key := range s.Ended {
		t.endedSessions[key] = struct{}{}
	}
	for _, r := range s.Opened {
		t.openSessions.add(r)
	}
}
