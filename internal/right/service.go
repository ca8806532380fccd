package right

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Validator looks a right up in the fold.
type Validator interface {
	// Validate waits until the fold has applied the right's offset and returns
	// nil if the fold has this very right, valid and open; ErrUnknownRight if
	// not, ErrNotAdopted if ctx ended first.
	Validate(ctx context.Context, t Terms) error
}

// Result is an acknowledgement's result on the wire.
type Result uint8

// The results.
const (
	ResultOK Result = iota
	ResultSealed
	ResultNotAdopted
	ResultUnknownRight
	ResultOutOfOrder
)

var resultErrors = map[Result]error{
	ResultSealed:       ErrSealed,
	ResultNotAdopted:   ErrNotAdopted,
	ResultUnknownRight: ErrUnknownRight,
	ResultOutOfOrder:   ErrOutOfOrder,
}

// Err returns the error that the result stands for.
func (r Result) Err() error {
	if r == ResultOK {
		return nil
	}
	if err, ok := resultErrors[r]; ok {
		return err
	}
	return eris.Wrapf(ErrNotAdopted, "right: result %d", r)
}

func resultFor(err error) Result {
	if err == nil {
		return ResultOK
	}
	for result, known := range resultErrors {
		if errors.Is(err, known) {
			return result
		}
	}
	return ResultNotAdopted
}

// AcknowledgeArgs are the batches of many rights with one witness.
type AcknowledgeArgs[U any] struct{ Batches []Batch[U] }

// AcknowledgeReply has one result for each batch, in order.
type AcknowledgeReply struct{ Results []Result }

// SealArgs name a right.
type SealArgs struct{ Terms Terms }

// SealReply has the uses that a close must account for.
type SealReply[U any] struct {
	Result Result
	Uses   []Use[U]
}

// Service is the witness's side over net/rpc: a Witness behind a mutex. Each
// kind of right registers one under a name of its own (rpc.RegisterName).
type Service[U any] struct {
	validator    Validator
	adoptTimeout time.Duration

	mu      sync.Mutex // Guards witness.
	witness *Witness[U]
}

// NewService returns the service over an empty table. patience bounds how long
// an adoption waits for the fold to reach the right's record.
func NewService[U any](self record.InstanceID, validator Validator, adoptTimeout time.Duration) *Service[U] {
	return &Service[U]{validator: validator, adoptTimeout: adoptTimeout, witness: NewWitness[U](self)}
}

// Acknowledge is the net/rpc method. A right that is not adopted yet is looked
// up in the fold first.
func (s *Service[U]) Acknowledge(args AcknowledgeArgs[U], reply *AcknowledgeReply) error {
	reply.Results = make([]Result, 0, len(args.Batches))
	for _, b := range args.Batches {
		reply.Results = append(reply.Results, resultFor(s.acknowledge(b)))
	}
	return nil
}

func (s *Service[U]) acknowledge(b Batch[U]) error {
	err := s.acknowledgeAdopted(b)
	if !errors.Is(err, ErrNotAdopted) {
		return err
	}
	if err := s.Adopt(b.Terms); err != nil {
		return err
	}
	return s.acknowledgeAdopted(b)
}

func (s *Service[U]) acknowledgeAdopted(b Batch[U]) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness.Acknowledge(b)
}

// Adopt takes a right in once the fold calls it valid. The second look at the
// fold is under the lock: between the first one and the lock, a paused
// instance may have sealed, closed and forgotten the right.
func (s *Service[U]) Adopt(t Terms) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.adoptTimeout)
	defer cancel()
	if err := s.validator.Validate(ctx, t); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.validator.Validate(ctx, t); err != nil {
		return err
	}
	return s.witness.Adopt(t)
}

// Forget drops a right that the fold has closed. The caller has seen the fold
// say so, so that no later Adopt takes the right in again.
func (s *Service[U]) Forget(id record.RightID) {
	s.WithWitness(func(w *Witness[U]) { w.Forget(id) })
}

// Seal is the net/rpc method. It adopts the right first where need be, so that
// a right which was never used can be sealed as well.
func (s *Service[U]) Seal(args SealArgs, reply *SealReply[U]) error {
	uses, err := s.SealLocal(args.Terms)
	reply.Uses, reply.Result = uses, resultFor(err)
	return nil
}
