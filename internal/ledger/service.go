package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/peer"
	"guavapier/internal/record"
)

// ReserveArgs requests a reservation from another instance. The requester
// chooses ID, so that it can cancel a reservation whose reply was lost.
type ReserveArgs struct {
	From   record.InstanceID
	ID     useID
	Budget record.BudgetID
	Use    record.Outstanding
}

// Refusal is the error of a Reserve call as sent between instances.
type Refusal uint8

// Refusals and the errors that they stand for: none, ErrExhausted, ErrNoBudget
// and ErrStranded.
const (
	NotRefused Refusal = iota
	RefusedExhausted
	RefusedNoBudget
	RefusedStranded
)

// ReserveReply holds the reservation, or the refusal. Reason and RetryAfter
// are set for RefusedStranded only.
type ReserveReply struct {
	Reservation Reservation
	Refusal     Refusal
	Reason      string
	RetryAfter  time.Duration
}

// Err returns the error that the refusal stands for, or nil.
func (r ReserveReply) Err() error {
	switch r.Refusal {
	case NotRefused:
		return nil
	case RefusedExhausted:
		return ErrExhausted
	case RefusedNoBudget:
		return ErrNoBudget
	default:
		return &Stranded{Reason: r.Reason, RetryAfter: r.RetryAfter}
	}
}

// Settlement ends a reservation and bills the used tokens; 0 cancels it.
type Settlement struct {
	Budget      record.BudgetID
	Reservation Reservation
	Used        int64

	billLogged bool // Its bill is already on the log.
}

// SettleArgs holds settlements for the instance that holds the reservations.
type SettleArgs struct{ Items []Settlement }

// SettleReply is the empty reply to Settle.
type SettleReply struct{}

// SpareArgs requests that a holder return free tokens of a budget.
type SpareArgs struct {
	Budget record.BudgetID
	Tokens int64
}

// SpareReply holds the number of tokens that the holder returned, and the
// offset of the returns on the log.
type SpareReply struct {
	Offset uint64
	Tokens int64
}

// PingArgs are the empty arguments of Ping.
type PingArgs struct{}

// PingReply is the empty reply to Ping.
type PingReply struct{}

// Service is the net/rpc service that ledgers call at each other. Register it
// as ServiceName.
type Service struct {
	l *Ledger

	mu        sync.Mutex // Guards started and cancelled.
	started   idSet      // IDs of received Reserve calls; a duplicate reserves nothing.
	cancelled idSet      // IDs of reservations that their requesters cancelled.
}

// maxRememberedIDs is the maximum size of an idSet. The oldest IDs are
// dropped.
const maxRememberedIDs = 4096

// idSet is a bounded set of IDs.
type idSet struct {
	ids   map[useID]struct{}
	order []useID
}

// add adds an ID and returns false if the set already has it.
func (s *idSet) add(id useID) bool {
	if _, ok := s.ids[id]; ok {
		return false
	}
	if s.ids == nil {
		s.ids = map[useID]struct{}{}
	}
	s.ids[id] = struct{}{}
	s.order = append(s.order, id)
	if len(s.order) > maxRememberedIDs {
		delete(s.ids, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// NewService returns the service for l.
func NewService(l *Ledger) *Service { return &Service{l: l} }

// Ping returns nil; a reply shows that this instance is alive.
func (s *Service) Ping(PingArgs, *PingReply) error { return nil }

// Reserve reserves tokens for a request of another instance. Each ID is
// accepted once. A refusal is part of the reply; an error means an internal
// failure.
func (s *Service) Reserve(args ReserveArgs, reply *ReserveReply) error {
	if !s.markStarted(args.ID) {
		reply.Refusal, reply.Reason, reply.RetryAfter = RefusedStranded, "a copy of an earlier call", reservedRetryAfter
		return nil
	}
	ctx, cancel := s.callContext()
	defer cancel()
	r, err := s.l.reserveHere(ctx, args.From, args.ID, args.Budget, args.Use)
	var stranded *Stranded
	switch {
	case err == nil && s.isCancelled(args.ID):
		s.l.account(args.Budget).settle(r, 0, s.l.Now())
		reply.Refusal, reply.Reason = RefusedStranded, "the asker let go"
	case err == nil:
		reply.Reservation = r
	case errors.Is(err, ErrExhausted):
		reply.Refusal = RefusedExhausted
	case errors.Is(err, ErrNoBudget):
		reply.Refusal = RefusedNoBudget
	case errors.As(err, &stranded):
		reply.Refusal, reply.Reason, reply.RetryAfter = RefusedStranded, stranded.Reason, stranded.RetryAfter
	default:
		return err
	}
	return nil
}

// Settle ends reservations that this instance holds for others. An unknown
// reservation was settled before, or its Reserve call hasn't arrived yet. If
// the requester didn't receive the reply, the reservation names no right; its
// ID is recorded as cancelled first, so that no late Reserve call takes
// effect.
func (s *Service) Settle(args SettleArgs, _ *SettleReply) error {
	for _, item := range args.Items {
		if item.Reservation.Right == "" {
			s.markCancelled(item.Reservation.ID)
		}
		s.l.account(item.Budget).settleByID(item.Reservation, item.Used, s.l.Now())
	}
	return nil
}

// Spare returns free tokens to the budget for another instance that needs
// them.
func (s *Service) Spare(args SpareArgs, reply *SpareReply) error {
	ctx, cancel := s.callContext()
	defer cancel()
	var err error
	reply.Offset, reply.Tokens, err = s.l.releaseSpare(ctx, args.Budget, args.Tokens)
	return err
}

// callContext bounds the work for one call to half of its caller's timeout. A
// slow log then leads to a refusal, and the caller doesn't take this instance
// for unreachable.
func (s *Service) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.l.Options.PeerTimeout/2)
}

// markStarted returns false if a Reserve call with this ID was received
// before.
func (s *Service) markStarted(id useID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started.add(id)
}

// markCancelled records that a requester cancelled its reservation.
func (s *Service) markCancelled(id useID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled.add(id)
}

// isCancelled reports whether a requester cancelled its reservation.
func (s *Service) isCancelled(id useID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.cancelled.ids[id]
	return ok
}

// callPeer calls another ledger, for at most Options.PeerTimeout. An
// unreachable one isn't chosen as witness or owner for Options.SuspicionTTL.
func (l *Ledger) callPeer(ctx context.Context, to record.InstanceID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, l.Options.PeerTimeout)
	defer cancel()
	err := callerOrNone(l.Peers).Call(ctx, to, ServiceName+"."+method, args, reply)
	if errors.Is(err, peer.ErrUnreachable) {
		l.markSuspected(to)
	}
	return eris.Wrap(err, "ledger: "+method)
}
