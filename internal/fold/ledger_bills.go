package fold

import (
	"crypto/sha256"
	"encoding/binary"

	"guavapier/internal/record"
)

// identityHash stands for an identity in the tables: a request key, a session
// or a top-up ID. It holds 128 bits of a cryptographic hash, so that no caller
// can construct two request keys that share one bill.
type identityHash [16]byte

func hashRequestKey(k record.RequestKey) identityHash {
	return hashStrings(string(k.Team), string(k.Session), k.Key)
}

// hashStrings hashes parts, each preceded by its length, so that lists of
// strings that differ have different encodings.
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

// billEntry is one entry of the queue of remembered bills.
type billEntry struct {
	key   identityHash
	right record.RightID
}

// billTable remembers the keys that have been billed: those of the most recent
// bills in log order, and those of all open grants. The latter are needed
// because a witness may close a grant long after its holder billed a request,
// and the request must not be billed again.
type billTable struct {
	seen  map[identityHash]struct{}
	order queue[billEntry]
}

func (t *billTable) add(key identityHash, right record.RightID, l *Ledger) {
	t.seen[key] = struct{}{}
	t.order.push(billEntry{key: key, right: right})
	t.trim(l)
}

// trim removes the oldest entries beyond Windows.Bills from the queue. While
// its grant is open, the key of such an entry is kept with the grant; otherwise
// it is forgotten.
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

// requeueBills moves the keys kept with a grant that has just been closed back
// into the queue.
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

// charge counts a bill, at most what is left of the grant. It ignores a key
// that has been billed before and a negative number of tokens.
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
