package right

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Validator checks rights against the fold.
type Validator interface {
	// Validate waits until the fold has applied the record at t.Offset. It
	// returns nil if the fold has an open right with exactly these terms,
	// ErrUnknownRight if it hasn't, and ErrNotAdopted if ctx ended first.
	Validate(ctx context.Context, t Terms) error
}

// Result is the result of an acknowledgement or seal as sent between
// instances.
type Result uint8

// Results and the errors that they stand for.
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

// Err returns the error that the result stands for, nil for ResultOK. A result
// that this version doesn't know is reported as ErrNotAdopted.
func (r Result) Err() error {
	if r == ResultOK {
		return nil
	}
	if err, ok := resultErrors[r]; ok {
		return err
	}
	return eris.Wrapf(ErrNotAdopted, "right: unknown result %d", r)
}

// resultFor returns the result for an error. An error without a result of its
// own becomes ResultNotAdopted.
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

// AcknowledgeArgs holds batches of any number of rights with the same witness.
type AcknowledgeArgs[U any] struct{ Batches []Batch[U] }

// AcknowledgeReply holds one result for each batch, in the order of the
// batches.
type AcknowledgeReply struct{ Results []Result }

// SealArgs identifies the right to seal.
type SealArgs struct{ Terms Terms }

// SealReply holds the uses that the right's close must account for.
type SealReply[U any] struct {
	Result Result
	Uses   []Use[U]
}

// Service serves a Witness over net/rpc. It is safe for concurrent use. Each
// kind of right has its own Service, registered under its own name with
// rpc.RegisterName.
type Service[U any] struct {
	validator    Validator
	adoptTimeout time.Duration

	mu      sync.Mutex // Guards witness.
	witness *Witness[U]
}

// NewService returns a service whose witness has adopted no right yet.
// adoptTimeout bounds how long an adoption waits for the fold to apply the
// right's record.
func NewService[U any](self record.InstanceID, validator Validator, adoptTimeout time.Duration) *Service[U] {
	return &Service[U]{validator: validator, adoptTimeout: adoptTimeout, witness: NewWitness[U](self)}
}

// Acknowledge is the net/rpc method that acknowledges batches. Rights that
// aren't adopted yet are checked against the fold and adopted first.
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

// acknowledgeAdopted acknowledges a batch if its right is adopted.
func (s *Service[U]) acknowledgeAdopted(b Batch[U]) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.witness.Acknowledge(b)
}

// Adopt adopts a right that the fold considers valid and open. The check is
// repeated under the lock: if this instance was paused between the first check
// and taking the lock, the right may have been sealed, closed and forgotten
// meanwhile, and must not be adopted again.
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

// Forget removes a right that the fold has closed. The caller must have read
// the close from the fold, so that no later Adopt adopts the right again.
func (s *Service[U]) Forget(id record.RightID) {
	s.WithLockedWitness(func(w *Witness[U]) { w.Forget(id) })
}

// Seal is the net/rpc method that seals a right. It adopts the right first if
// needed, so that a right without any acknowledged use can be sealed as well.
func (s *Service[U]) Seal(args SealArgs, reply *SealReply[U]) error {
	uses, err := s.SealLocal(args.Terms)
	reply.Uses, reply.Result = uses, resultFor(err)
	return nil
}
