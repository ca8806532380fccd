// Package fold computes tables from the records of a stream, which it applies
// in offset order. It is deterministic and does no I/O: instances that have
// applied the same records have the same tables.
package fold

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// MaxTokens is the most that one budget can hold. No sum of tokens in the
// tables exceeds it, so that none can overflow.
const MaxTokens int64 = 1 << 53

// Windows bound what the tables remember. They decide what effect a record has,
// so all instances must use the same ones.
type Windows struct {
	// Bills is the number of most recent bills that a partition remembers in
	// order to ignore a second bill of the same key. Bills of open grants are
	// remembered in any case.
	Bills int
	// TopUps is the number of most recent top-up IDs that each budget
	// remembers.
	TopUps int
	// Writers is the number of offsets for which a writer's last sequence
	// number is remembered. A copy of a batch that arrives later is recognized
	// by the identities in its records: bills by key, grants by right, returns
	// by sequence number.
	Writers uint64
	// Grants is the number of offsets for which a closed grant is remembered.
	Grants uint64
}

// DefaultWindows are the windows that instances use; docs/adr/0010 gives the
// reason for each.
var DefaultWindows = Windows{Bills: 1 << 18, TopUps: 64, Writers: 1 << 20, Grants: 1 << 16}

// Ledger holds the tables of one ledger partition: budgets, grants, bills,
// claims and sessions. It is not safe for concurrent use.
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

// NewLedger returns empty tables with DefaultWindows.
func NewLedger() *Ledger { return NewLedgerWithWindows(DefaultWindows) }

// NewLedgerWithWindows returns empty tables with the given windows.
func NewLedgerWithWindows(w Windows) *Ledger {
	return &Ledger{
		windows:       w,
		budgets:       map[record.BudgetID]*budget{},
		grants:        map[record.RightID]*Grant{},
		openByHolder:  grantIndex{},
		openByWitness: grantIndex{},
		bills:         billTable{seen: map[identityHash]struct{}{}, atClose: map[identityHash]closeBill{}},
		writers:       writerTable{lastBatches: map[record.InstanceID]lastBatch{}},
		claims:        newClaimTables(),
	}
}

// NextOffset returns the offset after the last applied batch.
func (l *Ledger) NextOffset() uint64 { return l.next }

// Apply applies the batch at an offset. Offsets that were applied before, and
// copies of a batch by the same writer, have no effect. A record that cannot be
// decoded is skipped and the others of its batch take effect; every instance
// decodes the same bytes with the same result, so their tables stay equal. The
// error names the first record that was skipped.
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
			firstErr = eris.Wrapf(err, "fold: record %d of kind %d skipped", n, env.Kind)
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
