package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	// maxLateSettlements bounds what is kept for owners that do not answer.
	maxLateSettlements = 1 << 16
	// keepTries is how many failed calls in a row, about ten minutes of ticks,
	// settlements are kept for. An owner that was paused may find a reserve
	// call in its buffers when it goes on, and must hear that it was let go.
	keepTries = 1200
)

// owner returns the instance to reserve at: this one where no other is wanted
// or known.
func (l *Ledger) owner(budget record.BudgetID) record.InstanceID {
	if l.Peers == nil {
		return l.Self
	}
	stream := l.Partitions.Of(budget.Team).Stream()
	if id := ChooseOwner(l.Zone, stream, l.live(), l.suspected); id != "" {
		return id
	}
	return l.Self
}

// reserveAtOwner tries the owner. done is false where this instance should use
// its own grants: it is the owner, or the owner can't be reached or can't
// reach the tokens.
func (l *Ledger) reserveAtOwner(ctx context.Context, budget record.BudgetID, use record.Outstanding) (r Reservation, err error, done bool) {
	owner := l.owner(budget)
	if owner == l.Self {
		return Reservation{}, nil, false
	}
	return l.reserveAt(ctx, owner, budget, use)
}

// reserveAt asks one instance. done is false if it refused or did not answer.
func (l *Ledger) reserveAt(ctx context.Context, owner record.InstanceID, budget record.BudgetID, use record.Outstanding) (r Reservation, err error, done bool) {
	args := ReserveArgs{From: l.Self, ID: useID(uuid.NewString()), Budget: budget, Use: use}
	var reply ReserveReply
	err = l.call(ctx, owner, "Reserve", args, &reply)
	if err != nil {
		// The owner may have reserved or may do so yet: tell it to let go.
		l.remote.add(owner, Settlement{Budget: budget, Reservation: Reservation{
			Key: use.Key, Run: use.Run, Tokens: use.Tokens, ID: args.ID, At: owner,
		}})
		return Reservation{}, nil, false
	}
	err = reply.Err()
	if errors.Is(err, ErrStranded) {
		return Reservation{}, nil, false
	}
	return reply.Reservation, err, true
}

// reserveElsewhere asks the other holders that have most tokens, whatever
// their zone, for a reservation in their grants.
//
// Load: a holder whose witness died while the log is away, so that its own
// grants cannot be used and no new one can be had. Harm prevented: refusals
// while others could pay. It comes last since each request crosses zones, and
// rests for askPause after nobody could.
func (l *Ledger) reserveElsewhere(ctx context.Context, budget record.BudgetID, use record.Outstanding) (Reservation, bool) {
	a := l.acquire(budget)
	defer l.release(a)
	view, err := l.view(a)
	if err != nil || !a.mayAskElsewhere(l.Now()) {
		return Reservation{}, false
	}
	for _, holder := range richest(l.Self, view.open) {
		if l.suspected(holder) {
			continue
		}
		if r, err, done := l.reserveAt(ctx, holder, budget, use); done && err == nil {
			return r, true
		}
	}
	a.restElsewhere(l.Now())
	return Reservation{}, false
}

func (a *account) mayAskElsewhere(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.elsewhere)
}

func (a *account) restElsewhere(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.elsewhere = now.Add(askPause)
}

// remoteSettler sends settlements to the owners that hold the reservations,
// those of one owner together, again until the owner has them or is gone.
type remoteSettler struct {
	l *Ledger

	mu     sync.Mutex // Guards owners.
	owners map[record.InstanceID]*settleQueue
}

type settleQueue struct {
	busy  bool
	items []Settlement
	tries int // Failed calls in a row.
}

func newRemoteSettler(l *Ledger) *remoteSettler {
	return &remoteSettler{l: l, owners: map[record.InstanceID]*settleQueue{}}
}

func (s *remoteSettler) add(owner record.InstanceID, item Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.owners[owner]
	if !ok {
		q = &settleQueue{}
		s.owners[owner] = q
	}
	if len(q.items) < maxLateSettlements {
		q.items = append(q.items, item)
	}
	s.start(owner, q)
}

// start is called with the lock held.
func (s *remoteSettler) start(owner record.InstanceID, q *settleQueue) {
	if q.busy || len(q.items) == 0 {
		return
	}
	q.busy = true
	s.l.Go(func() { s.send(owner, q) })
}

// send sends until the queue is empty or a call fails.
func (s *remoteSettler) send(owner record.InstanceID, q *settleQueue) {
	for {
		s.mu.Lock()
		items := q.items[:min(len(q.items), maxRecords):min(len(q.items), maxRecords)]
		if len(items) == 0 {
			q.busy = false
			delete(s.owners, owner)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.l.call(context.Background(), owner, "Settle", SettleArgs{Items: items}, &SettleReply{})
		if err != nil {
			s.bill(items)
		}
		s.mu.Lock()
		if err != nil {
			q.busy = false
			q.tries++
			s.mu.Unlock()
			return
		}
		q.items, q.tries = q.items[len(items):], 0
		s.mu.Unlock()
	}
}

// bill puts usage that the owner does not learn now on the log. If the owner is
// gone, these bills come before its witness's close and count in its stead.
func (s *remoteSettler) bill(items []Settlement) {
	for i, item := range items {
		if item.Used <= 0 || item.logged {
			continue
		}
		r := item.Reservation
		stream := s.l.Partitions.Of(item.Budget.Team).Stream()
		bill := record.Bill{Key: r.Key, Right: r.Right, Run: r.Run, Tokens: min(item.Used, r.Tokens)}
		if _, err := s.l.Log.Append(context.Background(), stream, bill); err == nil {
			items[i].logged = true
		}
	}
}

// retry sends again what failed. An owner that does not answer may be paused
// and come back, so its settlements are kept for keepTries, and after that
// until the fold has closed all its grants: then nothing is left to settle.
func (s *remoteSettler) retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for owner, q := range s.owners {
		if !q.busy && q.tries >= keepTries && !s.l.holdsAny(owner) {
			delete(s.owners, owner)
			continue
		}
		s.start(owner, q)
	}
}

// holdsAny says whether the fold knows an open grant of an instance.
func (l *Ledger) holdsAny(id record.InstanceID) bool {
	for _, part := range l.Partitions {
		open := 0
		part.View(func(f *fold.Ledger) { open = len(f.GrantsHeldBy(id)) })
		if open > 0 {
			return true
		}
	}
	return false
}

// empty says whether nothing is left that an owner which answers could still
// take. The usage that the others don't learn is on the log as bills.
func (s *remoteSettler) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.owners {
		if q.tries < s.l.Options.SealTries {
			return false
		}
	}
	return true
}
