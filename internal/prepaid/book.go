// Package prepaid keeps the organisations' prepaid tokens from being overspent
// by a fleet whose instances can be cut off from each other and from the log,
// frozen, or killed all at once.
//
// Each process publishes one statement under a key of its own: how many tokens
// it claims of each budget. A raised claim is valid if, at its place on the
// log, all claims together stay within the prepaid total. A process uses valid
// claims only, so neither a clock nor a list of members is needed to use them,
// and a cut or a freeze of any length changes nothing. A claim that turns out
// too large is taken back by its own process; until then the others count it.
//
//	Invariant 1: valid claims <= stated claims, and the last valid raise saw
//	stated claims <= prepaid. So tokens used <= prepaid.
//
// Processes hand tokens to each other without the log: what one gives, it no
// longer has, and the other has what the first one says it gave (transfer.go).
//
//	Invariant 2: given >= taken, between any two processes.
//
// What a dead process held is lost, but for this: a process uses no more than an
// allowance that it has published, a little ahead of its use and growing with
// the time since the log last took a statement (allowance.go). A later process of
// the same host that can tell how much time the dead one had at most gives the
// rest back (reclaim.go). Only this step relies on clocks: on those of one host,
// checked against the fleet's.
//
//	Invariant 3: used + given - taken <= the allowance on the log at the time since
//	Touched.
//
// Book is the state machine, without input or output; Keeper runs it against
// the log, Peers against other processes.
package prepaid

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// Errors of Reserve. Callers compare them with errors.Is.
var (
	// ErrExhausted says that the budget cannot cover the request: what has
	// been used for good leaves too little.
	ErrExhausted = eris.New("prepaid: budget exhausted")
	// ErrInsufficient says that this instance holds too little at the moment.
	ErrInsufficient = eris.New("prepaid: too little held here")
)

// InsufficientError is an ErrShort that knows when the tokens held here are free again.
type InsufficientError struct{ After time.Duration }

// Error implements error.
func (e *InsufficientError) Error() string { return ErrInsufficient.Error() }

// Is makes it an ErrShort.
func (e *InsufficientError) Is(target error) bool { return target == ErrInsufficient }

// account is the own part of one budget.
type account struct {
	claimed       int64 // Valid.
	settled       int64
	reserved      int64
	transferredTo map[record.InstanceID]int64 // In all, by the other process.
	receivedFrom  map[record.InstanceID]int64
	transferred   int64
	received      int64

	publishedClaim    int64         // Claimed in the last statement.
	loggedBound       spendingBound // Of the last statement that the log took.
	preparedBound     spendingBound // Of the statement under way; else as onLog.
	shortfall         int64         // Wanted by requests that wait.
	recordedShortfall int64         // Short at the last draft, or what came late for it.
	// shortfallKeptUntil is how long wanted is kept although no request waits; 0 if it is not.
	shortfallKeptUntil time.Duration
	rate               decayingRate
	largestRequest     float64       // Decaying maximum of a request's size.
	publishedConsumed  int64         // Used and given in the last statement.
	headroom           time.Duration // How much of its use a member may hold.
}

func (a *account) used() int64 { return a.settled + a.reserved }

// consumed is what the process can't use again.
func (a *account) consumed() int64 { return a.used() + a.transferred }

// claimConsumed is what of its own claim the process can't use again.
func (a *account) claimConsumed() int64 { return a.consumed() - a.received }

// unspent is what it holds.
func (a *account) unspent() int64 { return a.claimed - a.claimConsumed() }

// Accounts is safe for concurrent use. Times are since any one origin and count
// time for which the host was suspended.
type Accounts struct {
	mu            sync.Mutex
	self          Identity
	policy        Policy
	clocks        Clocks
	prepaidTotals map[record.Team]int64
	others        map[record.InstanceID]*otherProcess
	accounts      map[record.Team]*account
	recordSums    map[record.Team]recordSums
	latestStart   map[string]int64 // By node, the start of its latest process.
	pending       *ClaimRecord     // Being written, or written and not yet seen on the log.
	sequence      uint64
	preparedAt    time.Duration
	caughtUpAt    time.Duration // When the log was last read up to its end.
	caughtUp      bool          // It has been read since the others were forgotten.
	renewed       ClockReading  // When the log last took a statement.
	renewedAt     time.Duration // The same by the caller's time.
	hasRenewed    bool          // touched is set.
	started       ClockReading
	leaving       bool // Nothing is held beyond what requests want.
	role          allocator.Role
	publishedRole allocator.Role // In the last statement.
	memberView    memberView
	closed        bool
	changed       chan struct{} // Closed and replaced when more may be at hand.
	skews         map[string]clockSkew
	wallOffset    int64 // Of the own time of day against the time since boot.
}

// NewAccounts returns a Book without budgets.
func NewAccounts(self Identity, policy Policy, clocks Clocks) *Accounts {
	return &Accounts{
		self: self, policy: policy, clocks: clocks, prepaidTotals: map[record.Team]int64{}, others: map[record.InstanceID]*otherProcess{},
		accounts: map[record.Team]*account{}, recordSums: map[record.Team]recordSums{}, latestStart: map[string]int64{}, changed: make(chan struct{}), skews: map[string]clockSkew{}, started: clocks.Now(), wallOffset: clocks.offset(),
	}
}

// SetPrepaid takes the prepaid totals of all budgets.
func (a *Accounts) SetPrepaid(totals map[record.Team]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prepaidTotals = totals
	a.notifyWaiters()
}

func (a *Accounts) account(team record.Team) *account {
	acct := a.accounts[team]
	if acct == nil {
		acct = &account{transferredTo: map[record.InstanceID]int64{}, receivedFrom: map[record.InstanceID]int64{}}
		a.accounts[team] = acct
	}
	return acct
}

// spendable is what may be used or given now: what is held, as far as the
// allowances go. Either of the two may be the one that a later process finds.
func (a *account) spendable(now time.Duration) int64 {
	return min(a.claimed, a.loggedBound.at(now), a.preparedBound.at(now)) - a.claimConsumed()
}

// timeUntilSpendable is how long it takes until that many tokens are at hand by the
// allowances alone; ok is false if too few are held.
func (a *account) timeUntilSpendable(tokens int64, now time.Duration) (after time.Duration, ok bool) {
	neededBound := a.claimConsumed() + tokens
	return max(a.loggedBound.timeUntil(neededBound, now), a.preparedBound.timeUntil(neededBound, now)), a.unspent() >= tokens
}

// Reserve sets tokens aside for a request at its most.
func (a *Accounts) Reserve(team record.Team, tokens int64, now time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	if acct.spendable(now) >= tokens && !a.closed {
		acct.reserved += tokens
		acct.rate.add(float64(tokens), now)
		acct.largestRequest = max(acct.largestRequest*largestRequestDecay, float64(tokens))
		return nil
	}
	if a.permanentlySpent(team)+tokens > a.prepaidTotals[team] {
		return ErrExhausted
	}
	if after, ok := acct.timeUntilSpendable(tokens, now); ok {
		return &InsufficientError{After: after}
	}
	return ErrInsufficient
}

// Settle ends a reservation: used of its tokens stay spent.
func (a *Accounts) Settle(team record.Team, reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	acct.reserved -= reserved
	acct.settled += min(max(used, 0), reserved)
}

// AddShortfall adds to what waiting requests lack; a negative number takes it back.
func (a *Accounts) AddShortfall(team record.Team, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(team).shortfall += tokens
}

// Changed returns a channel that is closed when more may be at hand.
func (a *Accounts) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

func (a *Accounts) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Apply takes the next record of the log, in order. A nil statement ends the key.
func (a *Accounts) Apply(key record.InstanceID, rec *ClaimRecord, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if key == a.self.Key {
		if rec != nil && a.pending != nil && rec.Sequence == a.pending.Sequence {
			a.confirmPending(now)
		}
		return
	}
	clear(a.recordSums)
	if rec == nil {
		delete(a.others, key)
		return
	}
	a.others[key] = newOtherProcess(rec, now)
	a.latestStart[rec.Node] = max(a.latestStart[rec.Node], rec.Started)
	a.observeClock(rec, now)
}

// confirmPending makes the raises of the own pending statement valid, if at its place
// on the log all claims stay within the prepaid totals.
func (a *Accounts) confirmPending(now time.Duration) {
	for _, claim := range a.pending.Claims {
		acct := a.account(claim.Team)
		if claim.Claimed > acct.claimed && a.claimedByOthers(claim.Team)+claim.Claimed <= a.prepaidTotals[claim.Team] {
			acct.claimed = claim.Claimed
		}
		acct.keepLateTokens(claim, now)
	}
	a.pending = nil
	a.notifyWaiters()
}

// MarkAcknowledged tells that the log has taken the statement.
func (a *Accounts) MarkAcknowledged(rec *ClaimRecord, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, claim := range rec.Claims {
		acct := a.account(claim.Team)
		acct.loggedBound = acct.preparedBound
	}
	if rec.Member && a.pending == rec {
		a.pending = nil // It raises nothing, so that nothing need be read back.
	}
	a.renewed, a.renewedAt, a.hasRenewed = a.clockReading(now), now, true
	a.notifyWaiters()
}

// ResetOthers forgets the others before the newest records are applied anew: part of
// the history was lost. A pending raise can't be judged then and is dropped;
// the next statement takes it back.
func (a *Accounts) ResetOthers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.others = map[record.InstanceID]*otherProcess{}
	clear(a.recordSums)
	clear(a.latestStart)
	a.pending, a.caughtUpAt, a.caughtUp = nil, 0, false
}

// PeerAddr implements peer.Addresses: the address of a process by its statement.
func (a *Accounts) PeerAddr(id record.InstanceID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, known := a.others[id]; known && p.Peer != "" {
		return p.Peer, true
	}
	return a.memberView.address(id)
}

// MarkCaughtUp tells that the log has been read up to its end.
func (a *Accounts) MarkCaughtUp(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.caughtUpAt, a.caughtUp = now, true
}
