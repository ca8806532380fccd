// Package fold turns the records of a stream, read in offset order, into
// tables. It is deterministic and does no input or output: every instance
// that has applied the same records has the same tables.
package fold

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// MaxTokens is the most that one budget can hold. Every sum in the tables
// stays at or below it, so that none can overflow.
const MaxTokens int64 = 1 << 53

// Windows bound what the tables remember. All instances must have the same
// ones: they are part of what a record means.
type Windows struct {
	// Bills is how many bills of closed grants a partition remembers to tell a
	// second bill of the same key. Bills of open grants are remembered as well.
	Bills int
	// TopUps is how many top-up identities each budget remembers.
	TopUps int
	// Writers is for how many offsets a writer's last sequence number is
	// remembered. After it a late copy of a batch is told by the identities in
	// its records: bills by key, grants by right, returns by sequence.
	Writers uint64
	// Grants is for how many offsets a closed grant is remembered.
	Grants uint64
}

// DefaultWindows are the windows of the product; docs/adr/0010 has the reason
// of each.
var DefaultWindows = Windows{Bills: 1 << 18, TopUps: 64, Writers: 1 << 20, Grants: 1 << 16}

// Ledger holds the tables of one ledger partition. It is not safe for
// concurrent use.
type Ledger struct {
	windows       Windows
	budgets       map[record.BudgetID]*budget
	grants        map[record.RightID]*Grant
	openByHolder  grantIndex // Open grants by holder.
	openByWitness grantIndex // Open grants by witness.
	closedGrants  queue[closedGrant]
	bills         billTable
	writers       writerTable
	claims        claimTables
	next          uint64
}

// NewLedger returns the empty tables.
func NewLedger() *Ledger { return NewLedgerWithWindows(DefaultWindows) }

// NewLedgerWithWindows returns empty tables with other windows.
func NewLedgerWithWindows(w Windows) *Ledger {
	return &Ledger{
		windows:       w,
		budgets:       map[record.BudgetID]*budget{},
		grants:        map[record.RightID]*Grant{},
		openByHolder:  grantIndex{},
		openByWitness: grantIndex{},
		bills:         billTable{seen: map[identityHash]struct{}{}},
		writers:       writerTable{lastBatches: map[record.InstanceID]lastBatch{}},
		claims:        newClaimTables(),
	}
}

// Next returns the offset after the last applied batch.
func (l *Ledger) Next() uint64 { return l.next }

// Apply applies the batch at an offset. Batches that were applied before, and
// copies of a batch by the same writer, have no effect. A record that cannot
// be decoded is passed over and the others of its batch take effect: every
// instance decodes the same bytes alike, so all of them agree. The error names
// the first such record.
func (l *Ledger) Apply(offset uint64, batch record.Batch) error {
	if offset < l.next {
		return nil
	}
	l.next = offset + 1
	l.writers.removeExpired(offset, l.windows.Writers)
	l.removeExpiredGrants(offset)
	if !l.writers.advance(batch, offset) {
		return nil
	}
	var firstErr error
	for n, env := range batch.Records {
		rec, err := record.Decode(env)
		if err == nil {
			l.applyRecord(offset, rec)
			continue
		}
		if firstErr == nil {
			firstErr = eris.Wrapf(err, "fold: record %d of kind %d passed over", n, env.Kind)
		}
	}
	return firstErr
}

func (l *Ledger) applyRecord(offset uint64, rec record.Record) {
	l.claims.apply(offset, rec)
	switch r := rec.(type) {
	case record.TopUp:
		l.applyTopUp(r)
	case record.Grant:
		l.applyGrant(offset, r)
	case record.Return:
		l.applyReturn(r)
	case record.Bill:
		l.applyBill(r)
	case record.Close:
		l.applyClose(offset, r)
	}
}
