// Package prepaid prevents a fleet from spending more of an organisation's prepaid
// tokens than were paid for, even if instances are partitioned from each other or from
// the log, frozen, or killed all at once.
//
// Each process publishes one claim record under its own key, which states how many
// tokens of each budget it claims. A raised claim is valid if, at its position on the
// log, all published claims together stay within the prepaid total. A process uses
// only valid claims. This needs neither a clock nor a membership list, and a partition
// or a freeze of any length has no effect on it. A process revokes its own claim if it
// turns out to be too large; until then all others count it.
//
//	Invariant 1: valid claims <= published claims, and at the last valid raise
//	published claims <= prepaid total. Hence tokens used <= prepaid total.
//
// Processes transfer tokens to each other without the log. The sender subtracts the
// amount, and the receiver adds what the sender reports as transferred; see
// Accounts.Transfer.
//
//	Invariant 2: transferred >= received, between any two processes.
//
// Tokens held by a dead process are lost, with one exception. A process stays within a
// spending bound that it has published: slightly more than its use so far, growing with
// the time since the log last acknowledged a record; see spendingBound. A later process of
// the same host that knows the maximum age of the dead one's last renewal reclaims
// everything above the bound; see Accounts.Reclaims. Only this step depends on clocks:
// those of one host, checked against the fleet's.
//
//	Invariant 3: used + transferred - received <= the spending bound on the log,
//	evaluated for the time since the last renewal.
//
// Accounts is the state machine of all budgets and performs no I/O. Controller
// synchronises it with the log, and Peers exchanges tokens with other processes.
package prepaid

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// Errors returned by Accounts.Reserve and Controller.Reserve. Compare them with errors.Is.
var (
	// ErrExhausted reports that the budget cannot cover the request: too little of the
	// prepaid total is left beyond what is permanently spent.
	ErrExhausted = eris.New("prepaid: budget exhausted")
	// ErrInsufficient reports that this instance holds too few tokens at present.
	ErrInsufficient = eris.New("prepaid: insufficient tokens held by this instance")
)

// InsufficientError is an ErrInsufficient for tokens that are held here and will be
// spendable After a known time.
type InsufficientError struct{ After time.Duration }

// Error implements error.
func (e *InsufficientError) Error() string { return ErrInsufficient.Error() }

// Is makes errors.Is(err, ErrInsufficient) true.
func (e *InsufficientError) Is(target error) bool { return target == ErrInsufficient }

// account is this process's share in one budget. Amounts are tokens and cumulative since
// the start of the process, unless stated otherwise.
type account struct {
	claimed       int64                       // Valid part of the published claim.
	settled       int64                       // Used by ended requests.
	reserved      int64                       // Set aside for requests in flight.
	transferredTo map[record.InstanceID]int64 // By receiving process.
	receivedFrom  map[record.InstanceID]int64 // By sending process.
	transferred   int64
	received      int64

	publishedClaim    int64         // Claimed in the last prepared record.
	loggedBound       spendingBound // Of the last record that the log acknowledged.
	preparedBound     spendingBound // Of the record being written; otherwise equal to loggedBound.
	shortfall         int64         // Current need of waiting requests.
	recordedShortfall int64         // Shortfall in the last prepared record, or an earlier one kept by keepLateTokens.
	// shortfallKeptUntil is the time until which recordedShortfall is kept although its
	// requests have given up; 0 if it is not kept.
	shortfallKeptUntil time.Duration
	rate               decayingRate
	largestRequest     float64 // Largest recent request, decaying with each request.
	publishedConsumed  int64   // Used and transferred in the last prepared record.
	reportedSpent      int64   // What an allocator reported as permanently spent, at reportedSpentAt.
	reportedSpentAt    time.Duration
	headroom           time.Duration // How far ahead of its use, in time, a member may hold tokens.
}

// used is what requests have used or reserved.
func (a *account) used() int64 { return a.settled + a.reserved }

// consumed is what the process has used, reserved or transferred.
func (a *account) consumed() int64 { return a.used() + a.transferred }

// claimConsumed is the part of the process's own claim that it has consumed. Received
// tokens are consumed first.
func (a *account) claimConsumed() int64 { return a.consumed() - a.received }

// unspent is what the process holds and has not consumed.
func (a *account) unspent() int64 { return a.claimed - a.claimConsumed() }

// Accounts is the state machine of one process for all budgets. It is safe for
// concurrent use. All times are measured from one arbitrary origin and include time during
// which the host was suspended.
type Accounts struct {
	mu            sync.Mutex
	self          Identity
	policy        Policy
	clocks        Clocks
	prepaidTotals map[record.Team]int64
	others        map[record.InstanceID]*otherProcess
	accounts      map[record.Team]*account
	recordSums    map[record.Team]recordSums
	latestStart   map[string]int64 // Latest process start by node, in Unix milliseconds.
	pending       *ClaimRecord     // Record being written, or written and not yet read back.
	sequence      uint64           // Sequence number of the last prepared record.
	preparedAt    time.Duration    // Time at which the last record was prepared.
	caughtUpAt    time.Duration    // Time at which the log was last read up to its end.
	caughtUp      bool             // The log has been read up to its end since the others were forgotten.
	renewed       ClockReading     // Time of the last renewal by the host's clocks.
	renewedAt     time.Duration    // The same time as passed by the caller.
	hasRenewed    bool             // renewed and renewedAt are set.
	started       ClockReading     // Time at which this process started.
	leaving       bool             // Tokens are held only for requests.
	role          allocator.Role
	publishedRole allocator.Role // Role in the last prepared record.
	memberView    memberView
	closed        bool                 // The process has ended or handed over its tokens.
	changed       chan struct{}        // Closed and replaced when more tokens may be spendable.
	skews         map[string]clockSkew // By node.
	wallOffset    int64                // Wall clock minus boot clock at the last check, in milliseconds.
}

// NewAccounts returns Accounts without budgets.
func NewAccounts(self Identity, policy Policy, clocks Clocks) *Accounts {
	return &Accounts{
		self: self, policy: policy, clocks: clocks, prepaidTotals: map[record.Team]int64{}, others: map[record.InstanceID]*otherProcess{},
		accounts: map[record.Team]*account{}, recordSums: map[record.Team]recordSums{}, latestStart: map[string]int64{}, changed: make(chan struct{}), skews: map[string]clockSkew{}, started: clocks.Now(), wallOffset: clocks.wallOffset(),
	}
}

// SetPrepaid sets the prepaid totals of all budgets.
func (a *Accounts) SetPrepaid(totals map[record.Team]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.prepaidTotals = totals
	a.notifyWaiters()
}

// account returns the account of a team and creates it if needed.
func (a *Accounts) account(team record.Team) *account {
	acct := a.accounts[team]
	if acct == nil {
		acct = &account{transferredTo: map[record.InstanceID]int64{}, receivedFrom: map[record.InstanceID]int64{}}
		a.accounts[team] = acct
	}
	return acct
}

// spendable is what may be used or transferred now: the unspent tokens within the spending
// bounds. Both bounds apply, since a later process may find either record on the log.
func (a *account) spendable(now time.Duration) int64 {
	return min(a.claimed, a.loggedBound.at(now), a.preparedBound.at(now)) - a.claimConsumed()
}

// timeUntilSpendable returns the time until the spending bounds allow that many tokens;
// ok is false if too few are held.
func (a *account) timeUntilSpendable(tokens int64, now time.Duration) (after time.Duration, ok bool) {
	neededBound := a.claimConsumed() + tokens
	return max(a.loggedBound.timeUntil(neededBound, now), a.preparedBound.timeUntil(neededBound, now)), a.unspent() >= tokens
}

// Reserve sets aside the maximum number of tokens that a request may use. It returns
// ErrExhausted, ErrInsufficient or an *InsufficientError.
func (a *Accounts) Reserve(team record.Team, tokens int64, now time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	if acct.spendable(now) >= tokens && !a.closed {
		acct.reserved += tokens
		acct.rate.addTokens(float64(tokens), now)
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

// Settle ends a reservation: of the reserved tokens, used ones stay spent and the others
// become available again.
func (a *Accounts) Settle(team record.Team, reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(team)
	acct.reserved -= reserved
	acct.settled += min(max(used, 0), reserved)
}

// AddShortfall adds to the tokens that waiting requests need; a negative number reduces it.
func (a *Accounts) AddShortfall(team record.Team, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(team).shortfall += tokens
}

// Changed returns a channel that is closed when more tokens may be spendable.
func (a *Accounts) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// notifyWaiters wakes those that wait on the channel returned by Changed.
func (a *Accounts) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Apply applies the next record of the log. Records must be applied in log order. A nil
// record deletes the key.
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

// confirmPending makes raised claims of the own pending record valid if all claims stay
// within the prepaid total at its position on the log.
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

// MarkAcknowledged records that the log has acknowledged a record.
func (a *Accounts) MarkAcknowledged(rec *ClaimRecord, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, claim := range rec.Claims {
		acct := a.account(claim.Team)
		acct.loggedBound = acct.preparedBound
	}
	if a.pending == rec && !a.raisesClaim(rec) {
		a.pending = nil // Only the validity of a raise depends on the records before it.
	}
	a.renewed, a.renewedAt, a.hasRenewed = a.clockReading(now), now, true
	a.notifyWaiters()
}

// raisesClaim reports whether a record claims more of any budget than is valid now.
func (a *Accounts) raisesClaim(rec *ClaimRecord) bool {
	for _, claim := range rec.Claims {
		if claim.Claimed > a.account(claim.Team).claimed {
			return true
		}
	}
	return false
}

// ResetOthers forgets all other processes. Call it after part of the log's history was
// lost, before the newest records are applied. The validity of a pending raise can no longer
// be determined, so it is dropped; the next record revokes it.
func (a *Accounts) ResetOthers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.others = map[record.InstanceID]*otherProcess{}
	clear(a.recordSums)
	clear(a.latestStart)
	a.pending, a.caughtUpAt, a.caughtUp = nil, 0, false
}

// PeerAddr implements peer.Addresses with the address published in the process's record.
func (a *Accounts) PeerAddr(id record.InstanceID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, known := a.others[id]; known && p.Peer != "" {
		return p.Peer, true
	}
	return a.memberView.address(id)
}

// MarkCaughtUp records that the log has been read up to its end.
func (a *Accounts) MarkCaughtUp(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.caughtUpAt, a.caughtUp = now, true
}
