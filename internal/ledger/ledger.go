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

// Names of the net/rpc services.
const (
	// ServiceName is the service between ledgers; see Service.
	ServiceName = "Ledger"
	// WitnessName is the witness service of grants.
	WitnessName = "Grants"
)

// Ledger is safe for concurrent use. Lock order: tickMu, flushMu, a replica's
// lock, mu, account.mu, then the locks of package right. peersMu is held alone.
type Ledger struct {
	Config
	batcher *right.Batcher[record.Outstanding]
	witness *right.Service[record.Outstanding]
	remote  *remoteSettler

	mu       sync.Mutex // Guards accounts and draining.
	accounts map[record.BudgetID]*account
	draining bool

	peersMu        sync.Mutex // Guards suspects and silent.
	suspectedUntil map[record.InstanceID]time.Time
	failedPings    map[record.InstanceID]int

	tickMu sync.Mutex // Lets one tick run at a time; guards closing.
	// pendingCloses are the witness's closes that the fold has not applied yet.
	pendingCloses map[record.RightID]record.Close

	flushMu  sync.Mutex // Guards flushing.
	flushing map[record.Stream]bool
}

// New returns a Ledger that holds no grant yet.
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

// Reserve sets a request's worst case aside. It asks the budget's owner in
// this zone first, and falls back to grants of its own.
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

// Settle ends a reservation: it bills what the request used and frees the
// rest at once. The bill reaches the log with a later tick; until then the
// witness knows the reservation. A request that used nothing has no bill.
func (l *Ledger) Settle(_ context.Context, budget record.BudgetID, r Reservation, used int64) error {
	if r.At != l.Self {
		l.remote.enqueue(r.At, Settlement{Budget: budget, Reservation: r, Used: used})
		return nil
	}
	l.account(budget).settle(r, used, l.Now())
	return nil
}

// reserveHere reserves in this instance's own grants. Each turn of the loop
// either reserves, or loses a grant, or waits for a new one; ctx bounds it.
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

// suspectWitness notes which witness did not answer.
func (l *Ledger) suspectWitness(g *grant, err error) {
	if witness := g.held.Terms().Witness; isWitnessUnavailable(err) && witness != "" {
		l.suspect(witness)
	}
}

func (l *Ledger) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// account returns a budget's account. Whoever may add a grant to it keeps it
// with acquire, or runs within a tick.
func (l *Ledger) account(budget record.BudgetID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accountLocked(budget)
}

func (l *Ledger) accountLocked(budget record.BudgetID) *account {
	a, ok := l.accounts[budget]
	if !ok {
		a = &account{budget: budget, partition: l.Partitions.ForTeam(budget.Team)}
		l.accounts[budget] = a
	}
	return a
}

// acquire keeps an account from being pruned until release. There must never
// be two accounts for one budget: both would draw on the same grant.
func (l *Ledger) acquire(budget record.BudgetID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountLocked(budget)
	a.activeCalls++
	return a
}

func (l *Ledger) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.activeCalls--
}

// prune drops the accounts that hold nothing and that nobody uses. It runs
// within a tick.
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

// accountsByStream returns the accounts of each partition.
func (l *Ledger) accountsByStream() map[record.Stream][]*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[record.Stream][]*account{}
	for _, a := range l.accounts {
		out[a.partition.Stream()] = append(out[a.partition.Stream()], a)
	}
	return out
}

func (l *Ledger) allAccounts() []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		out = append(out, a)
	}
	return out
}

// GrantState is one open grant in the state dump: an operator finds here which
// right a forced close would name.
type GrantState struct {
	fold.Grant
	// Free and Reserved are known of this instance's own grants only.
	Free     int64 `json:"free,omitempty"`
	Reserved int   `json:"reserved,omitempty"`
	Retired  bool  `json:"retired,omitempty"`
}

// State returns all open grants that the fold knows.
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

// noPeers is the caller of an instance that has no peers.
type noPeers struct{}

// Call implements peer.Caller.
func (noPeers) Call(context.Context, record.InstanceID, string, any, any) error {
	return peer.ErrUnreachable
}

func callerOrNone(c peer.Caller) peer.Caller {
	if c == nil {
		return noPeers{}
	}
	return c
}
