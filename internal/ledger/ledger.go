// Package ledger spends prepaid token budgets. An instance holds grants, which
// are rights on the log to part of a budget. It reserves the maximum number of
// tokens of a request in a grant before the request runs, and bills the tokens
// that the request used.
//
// Two mechanisms alone keep budgets from being overspent: the fold voids a
// grant that would exceed its budget, and package right allows a witnessed
// grant to be used only with its witness's acknowledgement. Everything else in
// this package (sizes, owners, reachability) only affects how often requests
// are refused.
package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"guavapier/internal/fold"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

// Names under which the net/rpc services are registered.
const (
	// ServiceName is the name of Service.
	ServiceName = "Ledger"
	// WitnessName is the name of the witness service for grants.
	WitnessName = "Grants"
)

// Ledger reserves and settles tokens of prepaid budgets for one instance. It
// is safe for concurrent use.
//
// Lock order: tickMu, flushMu, a replica's lock, mu, account.mu, then the
// locks of package right. peersMu is never held together with another one of
// these.
type Ledger struct {
	Config
	batcher *right.Batcher[record.Outstanding]
	witness *right.Service[record.Outstanding]
	remote  *remoteSettler

	mu       sync.Mutex // Guards accounts, their activeCalls, and draining.
	accounts map[record.BudgetID]*account
	draining bool

	peersMu        sync.Mutex                      // Guards suspectedUntil and failedPings.
	suspectedUntil map[record.InstanceID]time.Time // See Options.SuspicionTTL.
	failedPings    map[record.InstanceID]int       // Failed pings in a row.

	tickMu sync.Mutex // Serializes ticks; guards pendingCloses.
	// pendingCloses are the closes of grants sealed here as witness that the
	// fold hasn't applied yet.
	pendingCloses map[record.RightID]record.Close

	flushMu  sync.Mutex             // Guards flushing.
	flushing map[record.Stream]bool // Streams with an append in progress.
}

// New returns a Ledger without grants. Unset Now, Go and Conservatism get
// their defaults.
func New(c Config) *Ledger {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Go == nil {
		c.Go = func(f func()) { go f() }
	}
	if c.Conservatism == nil {
		c.Conservatism = func(record.BudgetID) float64 { return DefaultConservatism }
	}
	l := &Ledger{
		Config:         c,
		accounts:       map[record.BudgetID]*account{},
		suspectedUntil: map[record.InstanceID]time.Time{},
		failedPings:    map[record.InstanceID]int{},
		pendingCloses:  map[record.RightID]record.Close{},
		flushing:       map[record.Stream]bool{},
	}
	l.batcher = right.NewBatcher[record.Outstanding](callerOrNone(c.Peers), right.BatcherOptions{
		WitnessService: WitnessName, CallTimeout: c.Options.PeerTimeout, MaxAttempts: c.Options.MaxAckAttempts,
	})
	l.witness = right.NewService[record.Outstanding](c.Self, validator{c.Partitions}, c.Options.PeerTimeout/2)
	l.remote = newRemoteSettler(l)
	return l
}

// Witness returns the net/rpc service to register as WitnessName.
func (l *Ledger) Witness() *right.Service[record.Outstanding] { return l.witness }

// Reserve reserves tokens for a request, at least 1: the most that it may use.
// It asks the budget's owner in this zone first, then uses this instance's own
// grants, and finally asks other holders. A refusal is ErrExhausted,
// ErrNoBudget or a *Stranded; any other error comes from waiting for the log.
func (l *Ledger) Reserve(ctx context.Context, key record.RequestKey, run record.RunID, budget record.BudgetID, tokens int64) (Reservation, error) {
	if tokens <= 0 {
		tokens = 1
	}
	use := record.Outstanding{Key: key, Run: run, Tokens: tokens}
	if r, err, done := l.reserveAtOwner(ctx, budget, use); done {
		return r, err
	}
	r, err := l.reserveHere(ctx, l.Self, right.UseID(uuid.NewString()), budget, use)
	if !errors.Is(err, ErrStranded) {
		return r, err
	}
	if far, ok := l.reserveAtOtherHolder(ctx, budget, use); ok {
		return far, nil
	}
	return r, err
}

// Settle ends a reservation: it bills the used tokens and frees the rest at
// once. The bill reaches the log with a later tick; until then the witness
// keeps it. A request that used no tokens isn't billed. The error is always
// nil.
func (l *Ledger) Settle(_ context.Context, budget record.BudgetID, r Reservation, used int64) error {
	if r.At != l.Self {
		l.remote.enqueue(r.At, Settlement{Budget: budget, Reservation: r, Used: used})
		return nil
	}
	l.account(budget).settle(r, used, l.Now())
	return nil
}

// reserveHere reserves in this instance's own grants. Each iteration reserves,
// gives up an unusable grant, or waits for a new one. It ends after
// GrantTimeout at the latest.
func (l *Ledger) reserveHere(ctx context.Context, from record.InstanceID, id right.UseID, budget record.BudgetID, use record.Outstanding) (Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Options.GrantTimeout)
	defer cancel()
	a := l.acquire(budget)
	defer l.release(a)
	for {
		if l.isDraining() {
			return Reservation{}, &Stranded{Reason: "this instance is stopping", RetryAfter: reservedRetryAfter}
		}
		g := a.reserve(id, from, use, l.Now())
		if g == nil {
			if err := l.awaitRefill(ctx, a, use.Tokens); err != nil {
				return Reservation{}, err
			}
			continue
		}
		err := g.held.Use(ctx, right.Use[record.Outstanding]{ID: id, Body: use})
		if err == nil && a.confirm(g, id) {
			l.refillAhead(a)
			return Reservation{Key: use.Key, Run: use.Run, Right: g.rightID(), Tokens: use.Tokens, ID: id, At: l.Self}, nil
		}
		a.cancel(g, id, l.Now())
		if err := ctx.Err(); err != nil {
			return Reservation{}, &Stranded{Reason: "no acknowledgement in time", RetryAfter: unavailableRetryAfter}
		}
		l.suspectWitness(g, err)
	}
}

// suspectWitness avoids a grant's witness for a while if err means that it
// couldn't be reached.
func (l *Ledger) suspectWitness(g *grant, err error) {
	if witness := g.held.Terms().Witness; isWitnessUnavailable(err) && witness != "" {
		l.markSuspected(witness)
	}
}

// isDraining reports whether Close has been called.
func (l *Ledger) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// account returns a budget's account, which it creates if needed. A caller
// that may add a grant must prevent pruning: it uses acquire instead, or runs
// within a tick.
func (l *Ledger) account(budget record.BudgetID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountLocked(budget)
}

// accountLocked is account for callers that hold l.mu.
func (l *Ledger) accountLocked(budget record.BudgetID) *account {
	a, ok := l.accounts[budget]
	if !ok {
		a = &account{budget: budget, partition: l.Partitions.ForTeam(budget.Team)}
		l.accounts[budget] = a
	}
	return a
}

// acquire returns a budget's account and prevents its pruning until release. A
// budget must never have two accounts, since both would spend the same grants.
func (l *Ledger) acquire(budget record.BudgetID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountLocked(budget)
	a.activeCalls++
	return a
}

// release ends the protection by acquire.
func (l *Ledger) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.activeCalls--
}

// prune deletes the accounts that are empty and not in use. It runs within a
// tick.
func (l *Ledger) prune() {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for budget, a := range l.accounts {
		if a.activeCalls == 0 && a.isEmpty(now) {
			delete(l.accounts, budget)
		}
	}
}

// accountsByStream returns the accounts by the stream of their partition.
func (l *Ledger) accountsByStream() map[record.Stream][]*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[record.Stream][]*account{}
	for _, a := range l.accounts {
		out[a.partition.Stream()] = append(out[a.partition.Stream()], a)
	}
	return out
}

// allAccounts returns the accounts in no particular order.
func (l *Ledger) allAccounts() []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		out = append(out, a)
	}
	return out
}

// GrantState is an open grant in the state dump. It shows operators the ID
// that a forced close needs.
type GrantState struct {
	fold.Grant
	// Free (tokens), Reserved (number of reservations) and Retired are set
	// only for this instance's own grants.
	Free     int64 `json:"free,omitempty"`
	Reserved int   `json:"reserved,omitempty"`
	Retired  bool  `json:"retired,omitempty"`
}

// State returns all open grants in the fold, those of other instances
// included.
func (l *Ledger) State() []GrantState {
	rows := []GrantState{}
	for _, part := range l.Partitions {
		var open []fold.Grant
		part.View(func(f *fold.Ledger) {
			for _, b := range f.Budgets() {
				open = append(open, f.OpenGrants(b.ID)...)
			}
		})
		for _, g := range open {
			rows = append(rows, l.grantState(g))
		}
	}
	return rows
}

// grantState adds this instance's own view to a grant of the fold.
func (l *Ledger) grantState(row fold.Grant) GrantState {
	out := GrantState{Grant: row}
	if row.Holder != l.Self {
		return out
	}
	a := l.account(row.Budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.findGrant(row.Right); g != nil {
		out.Free, out.Reserved, out.Retired = g.free, len(g.reservations), g.retired
	}
	return out
}

// noPeers is the peer.Caller of an instance without peers: no call succeeds.
type noPeers struct{}

// Call implements peer.Caller.
func (noPeers) Call(context.Context, record.InstanceID, string, any, any) error {
	return peer.ErrUnreachable
}

// callerOrNone replaces a nil caller by noPeers.
func callerOrNone(c peer.Caller) peer.Caller {
	if c == nil {
		return noPeers{}
	}
	return c
}
