package fold

import (
	"crypto/sha256"
	"encoding/binary"

	"guavapier/internal/record"
)

// identityHash stands for a request key in the tables: 128 bits of a cryptographic
// hash, so that no caller can find two keys that share one bill.
type identityHash [16]byte

func hashRequestKey(k record.RequestKey) identityHash {
	return hashStrings(string(k.Team), string(k.Session), k.Key)
}

func hashStrings(parts ...string) identityHash {
	var buf [128]byte
	data := buf[:0]
	for _, part := range parts {
		data = binary.AppendUvarint(data, uint64(len(part)))
		data = append(data, part...)
	}
	sum := sha256.Sum256(data)
	return identityHash(sum[:16])
}

type billEntry struct {
	key   identityHash
	right record.RightID
}

// billTable remembers the keys that have a bill: those of the last bills in
// log order, and those of grants that are still open. The latter matter
// because a witness may close a grant long after its holder billed a request.
type billTable struct {
	seen  map[identityHash]struct{}
	order queue[billEntry]
}

func (t *billTable) add(key identityHash, right record.RightID, l *Ledger) {
	t.seen[key] = struct{}{}
	t.order.push(billEntry{key: key, right: right})
	t.trim(l)
}

// trim moves the oldest entries out of the window: to their grant while it is
// open, else out of the table.
func (t *billTable) trim(l *Ledger) {
	for t.order.len() > l.windows.Bills {
		old := t.order.pop()
		g, ok := l.grants[old.right]
		if ok && !g.Closed {
			g.bills = append(g.bills, old.key)
			continue
		}
		delete(t.seen, old.key)
	}
}

// requeueBills puts the bills of a grant that has just been closed into the window.
func (t *billTable) requeueBills(g *Grant, l *Ledger) {
	for _, key := range g.bills {
		t.order.push(billEntry{key: key, right: g.Right})
	}
	g.bills = nil
	t.trim(l)
}

func (l *Ledger) applyBill(r record.Bill) {
	g, ok := l.grants[r.Right]
	if !ok || g.Closed {
		return
	}
	l.charge(g, r.Key, r.Tokens)
}

// charge counts one bill: the first of its key, and at most what is left of
// the grant.
func (l *Ledger) charge(g *Grant, key record.RequestKey, tokens int64) {
	hash := hashRequestKey(key)
	if _, billed := l.bills.seen[hash]; billed || tokens < 0 {
		return
	}
	tokens = min(tokens, g.Tokens-g.Billed)
	g.Billed += tokens
	l.budgets[g.Budget].Billed += tokens
	l.bills.add(hash, g.Right, l)
}
