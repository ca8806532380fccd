// Package prepaid keeps the organisations' prepaid tokens from being overspent
// by a fleet whose instances can be cut off from each other and from the log.
//
// Each instance publishes one statement under a key of its own: how many tokens
// it claims of each budget, in all, and how many of them are used. A claim is
// valid if, at its place on the log, all claims together stay within the
// prepaid total. An instance spends valid claims only, so no clock, no list of
// members and no answer from another instance is needed to spend, and a cut or
// a freeze of any length changes nothing. A claim that turns out too large is
// taken back by its own statement; until then the others count it.
//
// Invariant: at every place of the log, valid claims ≤ stated claims, and the
// last valid raise saw stated claims ≤ prepaid. So tokens used ≤ prepaid.
//
// Book is the state machine, without input or output; Keeper runs it against
// the log.
package prepaid

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of Reserve. Callers compare them with errors.Is.
var (
	// ErrExhausted says that the budget cannot cover the request: what has
	// been used for good leaves too little.
	ErrExhausted = eris.New("prepaid: budget exhausted")
	// ErrShort says that this instance holds too little at the moment.
	ErrShort = eris.New("prepaid: too little held here")
)

// Row is what a statement says of one budget, in tokens.
type Row struct {
	Team record.Team `cbor:"1,keyasint"`
	// Claimed is what the instance may use in all, from its start on.
	Claimed int64 `cbor:"2,keyasint"`
	// Used is what it has used, requests in flight at their most included.
	Used int64 `cbor:"3,keyasint"`
	// Settled is what ended requests have used.
	Settled int64 `cbor:"4,keyasint"`
	// Rate is its recent use a second.
	Rate int64 `cbor:"5,keyasint,omitempty"`
	// Short is what requests want beyond its claim.
	Short int64 `cbor:"6,keyasint,omitempty"`
}

// Statement is an instance's record.
type Statement struct {
	// Node is the instance's name; a later process of that name has replaced
	// this one.
	Node string `cbor:"1,keyasint"`
	// Started is when the process started, in Unix milliseconds.
	Started int64 `cbor:"2,keyasint"`
	// Sequence counts the process's statements.
	Sequence uint64 `cbor:"3,keyasint"`
	// Closed says that the process has ended and uses nothing more.
	Closed bool  `cbor:"4,keyasint,omitempty"`
	Rows   []Row `cbor:"5,keyasint"`
}

// Identity names the process.
type Identity struct {
	Key     string
	Node    string
	Started int64
}

// holder is another instance as its newest statement shows it.
type holder struct {
	Statement
	rows   map[record.Team]Row
	seenAt time.Duration
}

// account is the own part of one budget.
type account struct {
	valid    int64 // What may be used in all.
	settled  int64
	reserved int64
	stated   int64 // Claimed in the last statement written.
	short    int64 // Wanted by requests that wait.
	rate     rate
	largest  float64 // Decaying maximum of a request's size.
	toldUsed int64
}

func (a *account) used() int64    { return a.settled + a.reserved }
func (a *account) unspent() int64 { return a.valid - a.used() }

// Book is safe for concurrent use. Times are since any one origin.
type Book struct {
	mu       sync.Mutex
	self     Identity
	policy   Policy
	prepaid  map[record.Team]int64
	others   map[string]*holder
	accounts map[record.Team]*account
	pending  *Statement // Written or being written, not yet seen on the log.
	sequence uint64
	toldAt   time.Duration
	told     bool
	freshAt  time.Duration // When the log was last read up to its end.
	closed   bool
	changed  chan struct{} // Closed and replaced when a claim becomes valid.
}

// NewBook returns a Book without budgets.
func NewBook(self Identity, policy Policy) *Book {
	return &Book{
		self: self, policy: policy, prepaid: map[record.Team]int64{}, others: map[string]*holder{},
		accounts: map[record.Team]*account{}, changed: make(chan struct{}),
	}
}

// SetPrepaid takes the prepaid totals of all budgets.
func (b *Book) SetPrepaid(totals map[record.Team]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prepaid = totals
	b.wake()
}

func (b *Book) account(team record.Team) *account {
	a := b.accounts[team]
	if a == nil {
		a = &account{}
		b.accounts[team] = a
	}
	return a
}

// Reserve sets tokens aside for a request at its most.
func (b *Book) Reserve(team record.Team, tokens int64, now time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	if a.unspent() >= tokens {
		a.reserved += tokens
		a.rate.add(float64(tokens), now)
		a.largest = max(a.largest*largestDecay, float64(tokens))
		return nil
	}
	if b.spentForGood(team)+tokens > b.prepaid[team] {
		return ErrExhausted
	}
	return ErrShort
}

// spentForGood is what ended requests have used, as far as it is known.
func (b *Book) spentForGood(team record.Team) int64 {
	sum := b.account(team).settled
	for _, h := range b.others {
		sum += h.rows[team].Settled
	}
	return sum
}

// Settle ends a reservation: used of its tokens stay spent.
func (b *Book) Settle(team record.Team, reserved, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	a.reserved -= reserved
	a.settled += min(max(used, 0), reserved)
}

// Want adds to what waiting requests lack; a negative number takes it back.
func (b *Book) Want(team record.Team, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(team).short += tokens
}

// Changed returns a channel that is closed when a claim has become valid or a
// total has changed.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Book) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Apply takes the next record of the log, in order. A nil statement ends the key.
func (b *Book) Apply(key string, s *Statement, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if key == b.self.Key {
		if s != nil && b.pending != nil && s.Sequence == b.pending.Sequence {
			b.confirm()
		}
		return
	}
	if s == nil {
		delete(b.others, key)
		return
	}
	h := &holder{Statement: *s, rows: map[record.Team]Row{}, seenAt: now}
	for _, r := range s.Rows {
		h.rows[r.Team] = r
	}
	b.others[key] = h
}

// confirm makes the raises of the own pending statement valid, if at its place
// on the log all claims stay within the prepaid totals.
func (b *Book) confirm() {
	for _, r := range b.pending.Rows {
		a := b.account(r.Team)
		if r.Claimed > a.valid && b.claimedByOthers(r.Team)+r.Claimed <= b.prepaid[r.Team] {
			a.valid = r.Claimed
		}
	}
	b.pending = nil
	b.wake()
}

func (b *Book) claimedByOthers(team record.Team) int64 {
	sum := int64(0)
	for _, h := range b.others {
		sum += h.rows[team].Claimed
	}
	return sum
}

// Reload forgets the others before the newest records are applied anew: part of
// the history was lost. A pending raise can't be judged then and is dropped;
// the next statement takes it back.
func (b *Book) Reload() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = map[string]*holder{}
	b.pending = nil
}

// Fresh tells that the log has been read up to its end.
func (b *Book) Fresh(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freshAt = now
}

// Instances returns how many processes are alive as far as their statements
// show, this one included.
func (b *Book) Instances() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.instances()
}

func (b *Book) instances() int {
	n := 1
	for _, h := range b.others {
		if b.alive(h) {
			n++
		}
	}
	return n
}

// alive says whether the other process counts as running. It guides sizes
// only: the claims of a dead one count like all others.
func (b *Book) alive(h *holder) bool {
	if h.Closed || h.seenAt < b.freshAt-b.policy.AliveFor || h.Node == b.self.Node {
		return false
	}
	for _, other := range b.others {
		if other.Node == h.Node && other.Started > h.Started {
			return false
		}
	}
	return true
}

// Balance is one budget as a state dump shows it, in tokens.
type Balance struct {
	Team                                 record.Team
	Prepaid, Valid, Settled, Reserved    int64
	ClaimedByOthers, UsedByOthers, Short int64
}

// View copies the budgets.
func (b *Book) View() []Balance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Balance
	for team, total := range b.prepaid {
		a := b.account(team)
		row := Balance{
			Team: team, Prepaid: total, Valid: a.valid, Settled: a.settled, Reserved: a.reserved,
			ClaimedByOthers: b.claimedByOthers(team), Short: a.short,
		}
		for _, h := range b.others {
			row.UsedByOthers += h.rows[team].Used
		}
		list = append(list, row)
	}
	return list
}
