package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/record"
)

const (
	// sharesServiceName is the name under which peer.Server registers shareLoans.
	sharesServiceName = "Shares"
	// borrowInterval is the pause between two rounds in which shares are borrowed, and
	// fruitlessBorrowInterval that after a round without any: all instances are short then.
	borrowInterval, fruitlessBorrowInterval = 250 * time.Millisecond, 2 * time.Second
	// borrowTimeout bounds one call; a lender counts a loan from the arrival of the call on.
	borrowTimeout = 200 * time.Millisecond
	// maxLenders bounds the instances that are asked in one round.
	maxLenders = 8
)

// BorrowArgs are the arguments of Shares.Borrow.
type BorrowArgs struct {
	Borrower string // Its name.
	Service  string
}

// BorrowReply is the reply of Shares.Borrow: what the borrower may use of each endpoint's
// rejection limit for placement.LoanDuration from its call on, by the endpoint's ID.
type BorrowReply struct{ Shares map[string]int }

// shareLoans borrows and lends shares of endpoints' rejection limits, so that an instance to
// which most callers come can use what the others don't.
type shareLoans struct {
	name      string // Of this instance.
	caller    peer.Caller
	instances func() map[record.InstanceID]string // The other ones' names.
	endpoints *placement.Table
	clock     func() time.Duration
	log       zerolog.Logger
}

// Borrow lends shares to another instance, which calls it as Shares.Borrow.
func (s *shareLoans) Borrow(args BorrowArgs, reply *BorrowReply) error {
	reply.Shares = s.endpoints.LendShares(args.Service, args.Borrower, s.clock())
	return nil
}

// run borrows shares while this instance is short of them, until ctx ends.
func (s *shareLoans) run(ctx context.Context) {
	pause := borrowInterval
	for ctx.Err() == nil {
		logstore.Pause(ctx, pause, nil)
		pause = borrowInterval
		for _, service := range s.endpoints.ServicesShortOfShares(s.clock()) {
			if !s.borrow(ctx, service) {
				pause = fruitlessBorrowInterval
			}
		}
	}
}

// borrow asks other instances, chosen at random if there are many, for shares, and reports
// whether any lent some.
func (s *shareLoans) borrow(ctx context.Context, service string) bool {
	others := s.instances()
	lenders := make([]record.InstanceID, 0, len(others))
	for id := range others {
		lenders = append(lenders, id)
	}
	rand.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	var calls sync.WaitGroup
	var borrowed atomic.Bool
	for _, id := range lenders[:min(len(lenders), maxLenders)] {
		calls.Go(func() {
			if s.borrowFrom(ctx, id, others[id], service) {
				borrowed.Store(true)
			}
		})
	}
	calls.Wait()
	return borrowed.Load()
}

// borrowFrom asks one instance for shares and reports whether it lent some.
func (s *shareLoans) borrowFrom(ctx context.Context, id record.InstanceID, name, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	until := s.clock() + placement.LoanDuration
	var reply BorrowReply
	if err := s.caller.Call(ctx, id, sharesServiceName+".Borrow", BorrowArgs{Borrower: s.name, Service: service}, &reply); err != nil {
		s.log.Info().Err(err).Str("instance", name).Str("service", service).Msg("shares: instance not asked")
		return false
	}
	s.endpoints.BorrowShares(name, reply.Shares, until)
	s.log.Info().Str("instance", name).Str("service", service).Int("endpoints", len(reply.Shares)).Msg("shares: asked another instance")
	return len(reply.Shares) > 0
}
