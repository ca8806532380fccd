package claim

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

// Status is a Begin's result on the wire.
type Status uint8

// The statusErrors.
const (
	StatusOK Status = iota
	StatusKeyReused
	StatusNotCounted
	StatusUnknown
	StatusNotHolder
)

var statusErrors = map[Status]error{
	StatusKeyReused:  ErrKeyReused,
	StatusNotCounted: ErrNotCounted,
	StatusUnknown:    ErrUnknown,
	StatusNotHolder:  errNotHolder,
}

func (s Status) err() error {
	if s == StatusOK {
		return nil
	}
	if err, ok := statusErrors[s]; ok {
		return err
	}
	return ErrUnknown
}

func statusOf(err error) Status {
	if err == nil {
		return StatusOK
	}
	for status, known := range statusErrors {
		if errors.Is(err, known) {
			return status
		}
	}
	return StatusUnknown
}

// BeginArgs ask a shard's holder. Attempt names one attempt of the request, so
// that a second copy of the call gets the same ticket.
type BeginArgs struct {
	Request Request
	Attempt string
	Runner  record.InstanceID
	// Timeout bounds the holder's work on it.
	Timeout time.Duration
}

// BeginReply is the holder's answer.
type BeginReply struct {
	Status Status
	Ticket Ticket
}

// PlaceArgs tell the holder a run's endpoint.
type PlaceArgs struct {
	Home     record.Zone
	Key      record.RequestKey
	Run      record.RunID
	Endpoint string
}

// EndArgs tell the holder a run's outcome. Attempt is for an attempt that
// does not know its run, since the answer to Begin was lost.
type EndArgs struct {
	Home    record.Zone
	Key     record.RequestKey
	Attempt string
	End     End
}

// EndReply says whether the holder knows the run.
type EndReply struct{ Known bool }

// RunningArgs ask a runner whether it knows a run.
type RunningArgs struct {
	Key record.RequestKey
	Run record.RunID
}

// RunningReply says whether the run is under way there.
type RunningReply struct{ Running bool }

// Empty is no answer.
type Empty struct{}

// Service is the holder's side over net/rpc, registered as ServiceName.
type Service struct{ holder *Holder }

// NewService returns the service of a holder.
func NewService(h *Holder) *Service { return &Service{holder: h} }

// Begin is the net/rpc method.
func (s *Service) Begin(args BeginArgs, reply *BeginReply) error {
	ctx, cancel := context.WithTimeout(s.holder.ctx, min(max(args.Timeout, 0), s.holder.opts.BeginTimeout))
	defer cancel()
	ticket, err := s.holder.begin(ctx, args.Request, args.Attempt, args.Runner)
	reply.Ticket, reply.Status = ticket, statusOf(err)
	return nil
}

// Place is the net/rpc method.
func (s *Service) Place(args PlaceArgs, _ *Empty) error {
	held, err := s.holder.shard(s.holder.shardIDOf(Request{Key: args.Key, Home: args.Home}))
	if err == nil {
		held.place(args.Key, args.Run, args.Endpoint)
	}
	return nil
}

// End is the net/rpc method.
func (s *Service) End(args EndArgs, reply *EndReply) error {
	held, err := s.holder.shard(s.holder.shardIDOf(Request{Key: args.Key, Home: args.Home}))
	if err == nil {
		reply.Known = held.end(args.Key, args.Attempt, args.End)
	}
	return nil
}

// Running is the net/rpc method.
func (s *Service) Running(args RunningArgs, reply *RunningReply) error {
	reply.Running = s.holder.isRunning(args.Key, args.Run)
	return nil
}

// validator looks claim shards up in the fold, for right.Service.
type validator struct{ partitions []*Replica }

// validatePollInterval is the time between two looks for a right. It is rare: once
// for each epoch, and only while this instance's fold is behind.
const validatePollInterval = 5 * time.Millisecond

// Validate implements right.Validator.
func (v validator) Validate(ctx context.Context, t right.Terms) error {
	for {
		s, ok, allPast := v.findRight(t)
		switch {
		case ok && !s.Closed && termsOf(s) == t:
			return nil
		case ok, allPast, ctx.Err() != nil:
			return right.ErrUnknownRight
		}
		sleep(ctx, validatePollInterval)
	}
}

// findRight looks in all partitions, since terms don't name theirs. past says that
// each fold is past the right's offset, so that it will never show up.
func (v validator) findRight(t right.Terms) (s fold.Shard, ok, allPast bool) {
	allPast = true
	for _, partition := range v.partitions {
		partition.View(func(f *fold.Ledger) {
			s, ok = f.ClaimRight(t.Right)
			allPast = allPast && f.Next() > t.Offset
		})
		if ok {
			return s, true, allPast
		}
	}
	return s, false, allPast
}
