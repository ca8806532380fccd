package claim

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

// Status is the result of Service.Begin as sent between instances.
type Status uint8

// StatusOK and one status for each error that Begin can return.
const (
	StatusOK Status = iota
	StatusKeyReused
	StatusNotCounted
	StatusUnknown
	StatusNotHolder
	// StatusUndecided reads as StatusUnknown for instances that do not know it.
	StatusUndecided
)

var statusErrors = map[Status]error{
	StatusKeyReused:  ErrKeyReused,
	StatusNotCounted: ErrNotCounted,
	StatusUnknown:    ErrUnknown,
	StatusNotHolder:  errNotHolder,
	StatusUndecided:  ErrUndecided,
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
	switch {
	case err == nil:
		return StatusOK
	case errors.Is(err, ErrUndecided): // It is an ErrUnknown too.
		return StatusUndecided
	}
	for status, known := range statusErrors {
		if errors.Is(err, known) {
			return status
		}
	}
	return StatusUnknown
}

// BeginArgs is the request of Service.Begin. Attempt identifies one attempt of
// the request, so that a duplicate of the call gets the same ticket.
type BeginArgs struct {
	Request Request
	Attempt string
	Runner  record.InstanceID
	// Timeout bounds the time that the holder spends on the call.
	Timeout time.Duration
}

// BeginReply is the response of Service.Begin.
type BeginReply struct {
	Status Status
	Ticket Ticket
}

// PlaceArgs is the request of Service.Place: the endpoint of a run.
type PlaceArgs struct {
	Home     record.Zone
	Key      record.RequestKey
	Run      record.RunID
	Endpoint string
}

// EndArgs is the request of Service.End: the outcome of a run. Attempt
// identifies the run if the runner does not know its ID because the reply of
// Begin was lost.
type EndArgs struct {
	Home    record.Zone
	Key     record.RequestKey
	Attempt string
	End     End
}

// EndReply reports whether the holder knows the run.
type EndReply struct{ Known bool }

// RunningArgs asks a runner about a run.
type RunningArgs struct {
	Key record.RequestKey
	Run record.RunID
	// Fence requires the runner not to begin the run later if it has not begun it.
	// It is for runs that must not be repeated.
	Fence bool
}

// RunningReply is what a runner knows about a run. The fields after
// Running are set with RunningArgs.Fence only.
type RunningReply struct {
	// Running reports that the run is in progress.
	Running bool
	// NotStarted reports that the run was not started, or ended as not run, and will
	// not be started.
	NotStarted bool
	// Outcome is that of a run that was executed and has ended, 0 if the runner does
	// not know it.
	Outcome record.Outcome
	// Answer is that of an answered run, nil if the runner keeps no copy.
	Answer *Answer
	// NextOffset is the offset up to which the runner's fold of the claim's
	// partition may have an outcome that the runner no longer keeps.
	NextOffset uint64
}

// Empty is the reply of a method without results.
type Empty struct{}

// Service serves a Holder's shards over net/rpc, registered as ServiceName.
type Service struct{ holder *Holder }

// NewService returns the net/rpc service of a holder.
func NewService(h *Holder) *Service { return &Service{holder: h} }

// Begin claims a request or joins its run. The result is in reply.Status; the
// error is always nil.
func (s *Service) Begin(args BeginArgs, reply *BeginReply) error {
	ctx, cancel := context.WithTimeout(s.holder.ctx, min(max(args.Timeout, 0), s.holder.opts.BeginTimeout))
	defer cancel()
	ticket, err := s.holder.begin(ctx, args.Request, args.Attempt, args.Runner)
	reply.Ticket, reply.Status = ticket, statusOf(err)
	return nil
}

// Place records the endpoint of a run. It does nothing if this instance does
// not hold the shard, and the error is always nil.
func (s *Service) Place(args PlaceArgs, _ *Empty) error {
	held, err := s.holder.shard(s.holder.shardIDOf(Request{Key: args.Key, Home: args.Home}))
	if err == nil {
		held.place(args.Key, args.Run, args.Endpoint)
	}
	return nil
}

// End records the outcome of a run. The error is always nil.
func (s *Service) End(args EndArgs, reply *EndReply) error {
	held, err := s.holder.shard(s.holder.shardIDOf(Request{Key: args.Key, Home: args.Home}))
	if err == nil {
		reply.Known = held.end(args.Key, args.Attempt, args.End)
	}
	return nil
}

// Running reports what this instance knows about a run of its own. The error is
// always nil.
func (s *Service) Running(args RunningArgs, reply *RunningReply) error {
	*reply = s.holder.localRunState(args)
	return nil
}

// validator checks the terms of a right against the fold, for right.Service.
type validator struct{ partitions []*Replica }

// validatePollInterval is the time between two lookups of a right. Polling is
// rare: once for each epoch, and only while this instance's fold lags behind
// the log.
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

// findRight searches all partitions, because terms do not name theirs. allPast
// reports that every fold has passed the right's offset, so that an unknown
// right will never appear.
func (v validator) findRight(t right.Terms) (s fold.Shard, ok, allPast bool) {
	allPast = true
	for _, partition := range v.partitions {
		partition.View(func(f *fold.Ledger) {
			s, ok = f.ShardByRight(t.Right)
			allPast = allPast && f.NextOffset() > t.Offset
		})
		if ok {
			return s, true, allPast
		}
	}
	return s, false, allPast
}
