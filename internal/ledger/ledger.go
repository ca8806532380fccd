// Package ledger draws on prepaid budgets: it holds grants, reserves the worst
// case of each request before it runs, and bills what it used.
package ledger

import (
	"context"
	"sync"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"

	"github.com/rotisserie/eris"
)

// Errors of Reserve. In each case nothing was reserved.
var (
	// ErrExhausted says that the budget has no tokens left for the request.
	ErrExhausted = eris.New("ledger: budget exhausted")
	// ErrStranded says that tokens are left, but in grants or on a log that
	// this instance cannot reach now.
	ErrStranded = eris.New("ledger: budget out of reach")
	// ErrNoBudget says that there is no such budget.
	ErrNoBudget = eris.New("ledger: no such budget")
)

// Appender appends records to the log in one batch; see platform.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Reservation is the worst case of one request, set aside in a grant.
type Reservation struct {
	Key    record.RequestKey
	Run    record.RunID
	Right  record.RightID
	Tokens int64
}

// Options set a Ledger's limits.
type Options struct {
	// GrantTokens is the size of a grant; near a budget's end it shrinks.
	GrantTokens int64
	// Patience is how long Reserve waits for a grant.
	Patience time.Duration
}

// Partitions gives the replica of each ledger partition.
type Partitions []*replica.Replica[*fold.Ledger]

// Of returns the replica that holds a team's budgets.
func (p Partitions) Of(team record.Team) *replica.Replica[*fold.Ledger] {
	return p[record.TeamPartition(team, len(p))]
}

type account struct {
	mu    sync.Mutex
	right record.RightID
	free  int64
}

// Ledger is safe for concurrent use.
type Ledger struct {
	self       record.InstanceID
	zone       record.Zone
	log        Appender
	partitions Partitions
	opts       Options

	mu       sync.Mutex
	accounts map[record.BudgetID]*account
}

// New returns a Ledger that holds no grant yet.
func New(self record.InstanceID, zone record.Zone, log Appender, partitions Partitions, opts Options) *Ledger {
	return &Ledger{self: self, zone: zone, log: log, partitions: partitions, opts: opts, accounts: map[record.BudgetID]*account{}}
}

// Reserve sets tokens aside for a request, taking a new grant where needed.
func (l *Ledger) Reserve(ctx context.Context, key record.RequestKey, run record.RunID, budget record.BudgetID, tokens int64) (Reservation, error) {
	a := l.account(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.free < tokens {
		if err := l.renew(ctx, a, budget, tokens); err != nil {
			return Reservation{}, err
		}
	}
	a.free -= tokens
	return Reservation{Key: key, Run: run, Right: a.right, Tokens: tokens}, nil
}

// Settle bills what a request used and returns the rest to the grant.
func (l *Ledger) Settle(ctx context.Context, budget record.BudgetID, r Reservation, used int64) error {
	used = min(used, r.Tokens)
	a := l.account(budget)
	a.mu.Lock()
	if a.right == r.Right {
		a.free += r.Tokens - used
	}
	a.mu.Unlock()
	stream := l.partitions.Of(budget.Team).Stream()
	_, err := l.log.Append(ctx, stream, record.Bill{Key: r.Key, Right: r.Right, Run: r.Run, Tokens: used})
	return err
}

func (l *Ledger) account(budget record.BudgetID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[budget]
	if !ok {
		a = &account{}
		l.accounts[budget] = a
	}
	return a
}

// renew takes a new grant. The old one stays open until its last reservation
// has been settled.
func (l *Ledger) renew(ctx context.Context, a *account, budget record.BudgetID, tokens int64) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.Patience)
	defer cancel()
	part := l.partitions.Of(budget.Team)
	var row fold.Budget
	var known bool
	part.View(func(f *fold.Ledger) { row, known = f.Budget(budget) })
	if !known {
		return ErrNoBudget
	}
	size := min(max(l.opts.GrantTokens, tokens), row.Prepaid-row.Committed)
	if size < tokens {
		return ErrExhausted
	}
	grant := record.Grant{Right: record.NewRightID(), Budget: budget, Tokens: size, Holder: l.self, Zone: l.zone}
	offset, err := l.log.Append(ctx, part.Stream(), grant)
	if err != nil {
		return eris.Wrap(ErrStranded, err.Error())
	}
	if err := part.Wait(ctx, offset); err != nil {
		return eris.Wrap(ErrStranded, err.Error())
	}
	valid := false
	part.View(func(f *fold.Ledger) { _, valid = f.Grant(grant.Right) })
	if !valid {
		return ErrExhausted
	}
	a.right, a.free = grant.Right, size
	return nil
}
