package ledger

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	// maxQueuedSettlements is the most settlements queued for one owner that
	// doesn't answer. Further ones are dropped.
	maxQueuedSettlements = 1 << 16
	// maxSettleAttempts is the number of failed calls in a row, about ten
	// minutes of ticks, for which settlements are kept in any case. An owner
	// that was paused may still process a buffered Reserve call when it
	// resumes, and must then be told that the reservation was cancelled.
	maxSettleAttempts = 1200
)

// budgetOwner returns the instance to reserve at: the budget's owner in this zone,
// or this instance if there is no other candidate.
func (l *Ledger) budgetOwner(budget record.BudgetID) record.InstanceID {
	if l.Peers == nil {
		return l.Self
	}
	stream := l.Partitions.ForTeam(budget.Team).Stream()
	if id := ChooseOwner(l.Zone, stream, l.liveInstances(), l.isSuspected); id != "" {
		return id
	}
	return l.Self
}

// reserveAtOwner reserves at the budget's owner. decided is false if this
// instance should try its own grants: it is the owner itself, or the owner
// can't be reached or has no access to enough tokens.
func (l *Ledger) reserveAtOwner(ctx context.Context, budget record.BudgetID, use record.Outstanding) (r Reservation, err error, decided bool) {
	owner := l.budgetOwner(budget)
	if owner == l.Self {
		return Reservation{}, nil, false
	}
	return l.reserveAt(ctx, owner, budget, use)
}

// reserveAt reserves at another instance. decided is false if that instance
// can't reach enough tokens or didn't answer.
func (l *Ledger) reserveAt(ctx context.Context, owner record.InstanceID, budget record.BudgetID, use record.Outstanding) (r Reservation, err error, decided bool) {
	args := ReserveArgs{From: l.Self, ID: useID(uuid.NewString()), Budget: budget, Use: use}
	var reply ReserveReply
	err = l.callPeer(ctx, owner, "Reserve", args, &reply)
	if err != nil {
		// The owner may have reserved tokens, or may do so later: cancel it.
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

// reserveAtOtherHolder reserves in the grants of the other holders with the
// most tokens, in any zone.
//
// It prevents refusals at a holder whose witness failed while the log is
// unreachable: its own grants are unusable and it can't get a new one, but
// other holders can still pay. It is the last resort, since each request
// crosses zones, and pauses for requestBackoff after it found no holder.
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

// mayReserveRemotely reports whether the pause after the last failure is over.
func (a *account) mayReserveRemotely(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !now.Before(a.remotePausedUntil)
}

// pauseRemoteReserve starts the pause after a failure.
func (a *account) pauseRemoteReserve(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remotePausedUntil = now.Add(requestBackoff)
}

// remoteSettler sends settlements to the owners of the reservations, several
// in one call. It repeats them until the owner has received them or all its
// grants are closed.
type remoteSettler struct {
	l *Ledger

	mu     sync.Mutex // Guards queues and their fields.
	queues map[record.InstanceID]*settleQueue
}

// settleQueue holds the settlements for one owner.
type settleQueue struct {
	sending     bool
	items       []Settlement
	failedCalls int // Failed calls in a row.
}

func newRemoteSettler(l *Ledger) *remoteSettler {
	return &remoteSettler{l: l, queues: map[record.InstanceID]*settleQueue{}}
}

// enqueue queues a settlement and starts sending.
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

// startSending starts a sender for a queue that has none. The caller holds
// s.mu.
func (s *remoteSettler) startSending(owner record.InstanceID, q *settleQueue) {
	if q.sending || len(q.items) == 0 {
		return
	}
	q.sending = true
	s.l.Go(func() { s.sendQueued(owner, q) })
}

// sendQueued sends settlements until the queue is empty or a call fails.
func (s *remoteSettler) sendQueued(owner record.InstanceID, q *settleQueue) {
	for {
		s.mu.Lock()
		items := slices.Clone(q.items[:min(len(q.items), maxRecordsPerAppend)])
		if len(items) == 0 {
			q.sending = false
			delete(s.queues, owner)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		err := s.l.callPeer(context.Background(), owner, "Settle", SettleArgs{Items: items}, &SettleReply{})
		if err != nil {
			s.appendBills(q, items)
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

// appendBills bills used tokens on the log that the owner couldn't be told of.
// If the owner has failed, these bills precede the close by its witness and
// take effect instead of the amounts in it. The items are a copy of the first
// ones of the queue, from which only its sender removes any.
func (s *remoteSettler) appendBills(q *settleQueue, items []Settlement) {
	for i, item := range items {
		if item.Used <= 0 || item.billLogged {
			continue
		}
		r := item.Reservation
		stream := s.l.Partitions.ForTeam(item.Budget.Team).Stream()
		bill := record.Bill{Key: r.Key, Right: r.Right, Run: r.Run, Tokens: min(item.Used, r.Tokens)}
		if _, err := s.l.Log.Append(context.Background(), stream, bill); err == nil {
			s.mu.Lock()
			q.items[i].billLogged = true
			s.mu.Unlock()
		}
	}
}

// retryFailed sends settlements again after failed calls. An owner that
// doesn't answer may only be paused, so its settlements are kept for
// maxSettleAttempts calls, and after that until the fold has closed all its
// grants: from then on there is nothing left to settle.
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

// hasOpenGrants reports whether an instance holds open grants in the fold.
func (l *Ledger) hasOpenGrants(id record.InstanceID) bool {
	for _, part := range l.Partitions {
		open := 0
		part.View(func(f *fold.Ledger) { open = len(f.GrantsHeldBy(id)) })
		if open > 0 {
			return true
		}
	}
	return false
}

// isDrained reports whether no settlements remain for owners that might still
// answer. Usage that the others couldn't be told of is on the log as bills.
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
