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
//
// A bill in a close that is not the holder's may be too small for its request:
// the holder may have given that use up, and the request may have run with a
// larger reservation in another grant. Such bills are remembered with their
// tokens, and a larger one of the key in another grant is charged for the rest.
type billTable struct {
	seen    map[identityHash]struct{}
	order   queue[billEntry]
	atClose map[identityHash]closeBill // Keys of seen that were billed by such a close.
}

// closeBill is a bill in a close that is not the holder's, with what was charged
// for its key since.
type closeBill struct {
	right  record.RightID // Of the latest charge.
	tokens int64
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
		delete(t.atClose, old.key)
	}
}

// rest returns what a further bill of a remembered key is to be charged.
func (t *billTable) rest(key identityHash, right record.RightID, tokens int64) int64 {
	first, ok := t.atClose[key]
	if !ok || first.right == right {
		return 0
	}
	return max(0, tokens-first.tokens)
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

// charge counts a bill, at most what is left of the grant. It ignores a negative
// number of tokens, and charges a key that has been billed before only for the
// rest; see billTable.
func (l *Ledger) charge(g *Grant, key record.RequestKey, tokens int64) {
	hash := hashRequestKey(key)
	if tokens < 0 {
		return
	}
	if _, billed := l.bills.seen[hash]; billed {
		l.chargeRest(g, hash, tokens)
		return
	}
	l.count(g, min(tokens, g.Tokens-g.Billed))
	l.bills.add(hash, g.Right, l)
}

// chargeAtClose is charge for a bill in a close that is not the holder's.
func (l *Ledger) chargeAtClose(g *Grant, key record.RequestKey, tokens int64) {
	hash := hashRequestKey(key)
	if _, billed := l.bills.seen[hash]; !billed && tokens >= 0 {
		l.bills.atClose[hash] = closeBill{right: g.Right, tokens: min(tokens, g.Tokens-g.Billed)}
	}
	l.charge(g, key, tokens)
}

// chargeRest charges a further bill of a remembered key.
func (l *Ledger) chargeRest(g *Grant, hash identityHash, tokens int64) {
	rest := min(l.bills.rest(hash, g.Right, tokens), g.Tokens-g.Billed)
	if rest == 0 {
		return
	}
	l.count(g, rest)
	l.bills.atClose[hash] = closeBill{right: g.Right, tokens: l.bills.atClose[hash].tokens + rest}
}

// count adds tokens to what is billed of a grant and of its budget.
func (l *Ledger) count(g *Grant, tokens int64) {
	g.Billed += tokens
	l.budgets[g.Budget].Billed += tokens
}
