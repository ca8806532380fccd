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

// ReserveArgs ask an owner for a reservation. ID is the asker's, so that it
// can let go of a reservation whose answer was lost.
type ReserveArgs struct {
	From   record.InstanceID
	ID     useID
	Budget record.BudgetID
	Use    record.Outstanding
}

// Refusal is an error of Reserve on the wire.
type Refusal uint8

// The refusals.
const (
	NotRefused Refusal = iota
	RefusedExhausted
	RefusedNoBudget
	RefusedStranded
)

// ReserveReply is the reservation or why there is none.
type ReserveReply struct {
	Reservation Reservation
	Refusal     Refusal
	Reason      string
	RetryAfter  time.Duration
}

// Err returns the refusal as an error of this package.
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

// Settlement ends a reservation at its usage.
type Settlement struct {
	Budget      record.BudgetID
	Reservation Reservation
	Used        int64

	billLogged bool // Its bill is on the log already.
}

// SettleArgs are settlements for one owner.
type SettleArgs struct{ Items []Settlement }

// SettleReply is empty.
type SettleReply struct{}

// SpareArgs ask a holder for tokens of a budget.
type SpareArgs struct {
	Budget record.BudgetID
	Tokens int64
}

// SpareReply says how many tokens went back to the budget, at which offset.
type SpareReply struct {
	Offset uint64
	Tokens int64
}

// PingArgs are empty.
type PingArgs struct{}

// PingReply is empty.
type PingReply struct{}

// Service is the net/rpc service between ledgers; register it as ServiceName.
type Service struct {
	l *Ledger

	mu        sync.Mutex // Guards both sets.
	started   idSet      // Reserve calls that were begun: a copy reserves nothing.
	cancelled idSet      // Reservations that their askers let go.
}

// maxRememberedIDs bounds a set of identities; the oldest are forgotten.
const maxRememberedIDs = 4096

type idSet struct {
	ids   map[useID]struct{}
	order []useID
}

// add returns false if the set has id already.
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

// NewService returns the service of l.
func NewService(l *Ledger) *Service { return &Service{l: l} }

// Ping answers.
func (s *Service) Ping(PingArgs, *PingReply) error { return nil }

// Reserve reserves for another instance of the zone.
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

// Settle ends reservations that this instance holds for others. One that it
// does not know was settled before, or will arrive too late. A reservation
// whose asker lost the answer is remembered as let go first, so that no copy
// of its call, however late, reserves again.
func (s *Service) Settle(args SettleArgs, _ *SettleReply) error {
	for _, item := range args.Items {
		if item.Reservation.Right == "" {
			s.markCancelled(item.Reservation.ID)
		}
		s.l.account(item.Budget).settleByID(item.Reservation, item.Used, s.l.Now())
	}
	return nil
}

// Spare gives back tokens that another instance needs more.
func (s *Service) Spare(args SpareArgs, reply *SpareReply) error {
	ctx, cancel := s.callContext()
	defer cancel()
	var err error
	reply.Offset, reply.Tokens, err = s.l.releaseSpare(ctx, args.Budget, args.Tokens)
	return err
}

// callContext bounds the work of one call to half of what its caller waits, so
// that a slow log brings a refusal and does not look like a silent peer.
func (s *Service) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.l.Options.PeerTimeout/2)
}

func (s *Service) markStarted(id useID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started.add(id)
}

func (s *Service) markCancelled(id useID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled.add(id)
}

func (s *Service) isCancelled(id useID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.cancelled.ids[id]
	return ok
}

// callPeer calls another ledger, bounded by Options.PeerWait. One that does not
// answer is passed over as witness and owner for a while.
func (l *Ledger) callPeer(ctx context.Context, to record.InstanceID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, l.Options.PeerTimeout)
	defer cancel()
	err := callerOrNone(l.Peers).Call(ctx, to, ServiceName+"."+method, args, reply)
	if errors.Is(err, peer.ErrUnreachable) {
		l.suspect(to)
	}
	return eris.Wrap(err, "ledger: "+method)
}
