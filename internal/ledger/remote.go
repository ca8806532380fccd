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
	// maxQueuedSettlements bounds what is kept for owners that do not answer.
	maxQueuedSettlements = 1 << 16
	// maxSettleAttempts is how many failed calls in a row, about ten minutes of ticks,
	// settlements are kept for. An owner that was paused may find a reserve
	// call in its buffers when it goes on, and must hear that it was let go.
	maxSettleAttempts = 1200
)

// ownerOf returns the instance to reserve at: this one where no other is wanted
// or known.
func (l *Ledger) ownerOf(budget record.BudgetID) record.InstanceID {
	if l.Peers == nil {
		return l.Self
	}
	stream := l.Partitions.ForTeam(budget.Team).Stream()
	if id := ChooseOwner(l.Zone, stream, l.liveInstances(), l.isSuspected); id != "" {
		return id
	}
	return l.Self
}

// reserveAtOwner tries the owner. done is false where this instance should use
// its own grants: it is the owner, or the owner can't be reached or can't
// reach the tokens.
func (l *Ledger) reserveAtOwner(ctx context.Context, budget record.BudgetID, use record.Outstanding) (r Reservation, err error, decided bool) {
	owner := l.ownerOf(budget)
	if owner == l.Self {
		return Reservation{}, nil, false
	}
	return l.reserveAt(ctx, owner, budget, use)
}

// reserveAt asks one instance. done is false if it refused or did not answer.
func (l *Ledger) reserveAt(ctx context.Context, owner record.InstanceID, budget record.BudgetID, use record.Outstanding) (r Reservation, err error, decided bool) {
	args := ReserveArgs{From: l.Self, ID: useID(uuid.NewString()), Budget: budget, Use: use}
	var reply ReserveReply
	err = l.callPeer(ctx, owner, "Reserve", args, &reply)
	if err != nil {
		// The owner may have reserved or may do so yet: tell it to let go.
		l.remote.enqueue(owner, Settlement{Budget: budget, Reservation: Reservation{
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

// reserveAtOtherHolder asks the other holders that have most tokens, whatever
// their zone, for a reservation in their grants.
//
// Load: a holder whose witness died while the log is away, so that its own
// grants cannot be used and no new one can be had. Harm prevented: refusals
// while others could pay. It comes last since each request crosses zones, and
// rests for askPause after nobody could.
func (l *Ledger) reserveAtOtherHolder(ctx context.Context, budget record.BudgetID, use record.Outstanding) (Reservation, bool) {
	a := l.acquire(budget)
	defer l.release(a)
	view, err := l.viewBudget(a)
	if err != nil || !a.mayReserveRemotely(l.Now()) {
		return Reservation{}, false
	}
	for _, holder := range largestHolders(l.Self, view.openGrants) {
		if l.isSuspected(holder) {
			continue
		}
		if r, err, decided := l.reserveAt(ctx, holder, budget, use); decided && err == nil {
			return r, true
		}
	}
	a.pauseRemoteReserve(l.Now())
	return Reservation{}, false
}

func (a *account) mayReserveRemotely(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.remotePausedUntil)
}

func (a *account) pauseRemoteReserve(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remotePausedUntil = now.Add(fruitlessRequestPause)
}

// remoteSettler sends settlements to the owners that hold the reservations,
// those of one owner together, again until the owner has them or is gone.
type remoteSettler struct {
	l *Ledger

	mu     sync.Mutex // Guards owners.
	queues map[record.InstanceID]*settleQueue
}

type settleQueue struct {
	sending     bool
	items       []Settlement
	failedCalls int // Failed calls in a row.
}

func newRemoteSettler(l *Ledger) *remoteSettler {
	return &remoteSettler{l: l, queues: map[record.InstanceID]*settleQueue{}}
}

func (s *remoteSettler) enqueue(owner record.InstanceID, item Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[owner]
	if !ok {
		q = &settleQueue{}
		s.queues[owner] = q
	}
	if len(q.items) < maxQueuedSettlements {
		q.items = append(q.items, item)
	}
	s.startSending(owner, q)
}

// startSending is called with the lock held.
func (s *remoteSettler) startSending(owner record.InstanceID, q *settleQueue) {
	if q.sending || len(q.items) == 0 {
		return
	}
	q.sending = true
	s.l.Go(func() { s.sendQueued(owner, q) })
}

// sendQueued sends until the queue is empty or a call fails.
func (s *remoteSettler) sendQueued(owner record.InstanceID, q *settleQueue) {
	for {
		s.mu.Lock()
		items := q.items[:min(len(q.items), maxRecordsPerAppend):min(len(q.items), maxRecordsPerAppend)]
		if len(items) == 0 {
			q.sending = false
			delete(s.queues, owner)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.l.callPeer(context.Background(), owner, "Settle", SettleArgs{Items: items}, &SettleReply{})
		if err != nil {
			s.appendBills(items)
		}
		s.mu.Lock()
		if err != nil {
			q.sending = false
			q.failedCalls++
			s.mu.Unlock()
			return
		}
		q.items, q.failedCalls = q.items[len(items):], 0
		s.mu.Unlock()
	}
}

// appendBills puts usage that the owner does not learn now on the log. If the owner is
// gone, these bills come before its witness's close and count in its stead.
func (s *remoteSettler) appendBills(items []Settlement) {
	for i, item := range items {
		if item.Used <= 0 || item.billLogged {
			continue
		}
		r := item.Reservation
		stream := s.l.Partitions.ForTeam(item.Budget.Team).Stream()
		bill := record.Bill{Key: r.Key, Right: r.Right, Run: r.Run, Tokens: min(item.Used, r.Tokens)}
		if _, err := s.l.Log.Append(context.Background(), stream, bill); err == nil {
			items[i].billLogged = true
		}
	}
}

// retryFailed sends again what failed. An owner that does not answer may be paused
// and come back, so its settlements are kept for keepTries, and after that
// until the fold has closed all its grants: then nothing is left to settle.
func (s *remoteSettler) retryFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for owner, q := range s.queues {
		if !q.sending && q.failedCalls >= maxSettleAttempts && !s.l.hasOpenGrants(owner) {
			delete(s.queues, owner)
			continue
		}
		s.startSending(owner, q)
	}
}

// hasOpenGrants says whether the fold knows an open grant of an instance.
func (l *Ledger) hasOpenGrants(id record.InstanceID) bool {
	for _, part := range l.Partitions {
		open := 0
		part.View(func(f *fold.Ledger) { open = len(f.HeldBy(id)) })
		if open > 0 {
			return true
		}
	}
	return false
}

// isDrained says whether nothing is left that an owner which answers could still
// take. The usage that the others don't learn is on the log as bills.
func (s *remoteSettler) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		if q.failedCalls < s.l.Options.SealAfterFailedPings {
			return false
		}
	}
	return true
}
