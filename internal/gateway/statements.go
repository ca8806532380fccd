package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/record"
)

const (
	// statementsServiceName is the name under which peer.Server registers statements.
	statementsServiceName = "Statements"
	// statementFanout is how many instances, chosen at random, each instance tells what is news
	// to itself. With four all but some in a hundred are told, however large the fleet is; the
	// others find out by their own requests.
	statementFanout = 4
	// statementBatchDelay is how long news are collected for one call.
	statementBatchDelay = 20 * time.Millisecond
	// statementInterval is the pause between two tellings of one endpoint, which may state
	// something else in each answer.
	statementInterval = time.Second
	// tellTimeout bounds one call.
	tellTimeout = 500 * time.Millisecond
)

// TellStatementsArgs are the arguments of Statements.Tell.
type TellStatementsArgs struct{ Reports []placement.StatementReport }

// TellStatementsReply is the empty reply of Statements.Tell.
type TellStatementsReply struct{}

// statements tells other instances what endpoints have stated of themselves, so that they need
// not find out by requests of their own, and passes on what others tell. News that are lost
// have no other effect.
type statements struct {
	caller    peer.Caller
	instances func() map[record.InstanceID]string // The other ones' names.
	endpoints *placement.Table
	clock     func() time.Duration
	log       zerolog.Logger
	changed   chan struct{}

	mu     sync.Mutex
	untold map[string]bool          // IDs of the endpoints that have stated something new.
	toldAt map[string]time.Duration // When each was last told of.
}

func newStatements(caller peer.Caller, instances func() map[record.InstanceID]string, endpoints *placement.Table, clock func() time.Duration, log zerolog.Logger) *statements {
	return &statements{
		caller: caller, instances: instances, endpoints: endpoints, clock: clock, log: log, changed: make(chan struct{}, 1),
		untold: map[string]bool{}, toldAt: map[string]time.Duration{},
	}
}

// onStatement makes the other instances be told what an endpoint has stated.
func (s *statements) onStatement(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.untold[endpoint] = true
	logstore.Notify(s.changed)
}

// Tell records what another instance has heard, which calls it as Statements.Tell.
func (s *statements) Tell(args TellStatementsArgs, _ *TellStatementsReply) error {
	for _, endpoint := range s.endpoints.RecordReports(args.Reports, s.clock()) {
		s.onStatement(endpoint)
	}
	return nil
}

// run tells other instances until ctx ends.
func (s *statements) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		logstore.Pause(ctx, statementBatchDelay, nil)
		due, nextIn := s.takeDue(s.clock())
		if len(due) > 0 {
			s.tell(ctx, s.endpoints.Reports(due, s.clock()))
		}
		if nextIn > 0 {
			time.AfterFunc(nextIn, func() { logstore.Notify(s.changed) })
		}
	}
}

// takeDue returns the endpoints to tell of now, and the time until others are due; 0 for none.
func (s *statements) takeDue(now time.Duration) (due []string, nextIn time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for endpoint, at := range s.toldAt {
		if now-at >= statementInterval {
			delete(s.toldAt, endpoint)
		}
	}
	for endpoint := range s.untold {
		if _, recently := s.toldAt[endpoint]; recently {
			nextIn = statementInterval
			continue
		}
		due = append(due, endpoint)
		delete(s.untold, endpoint)
		s.toldAt[endpoint] = now
	}
	return due, nextIn
}

// tell tells some other instances, chosen at random.
func (s *statements) tell(ctx context.Context, reports []placement.StatementReport) {
	others := s.instances()
	ids := make([]record.InstanceID, 0, len(others))
	for id := range others {
		ids = append(ids, id)
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(len(ids), statementFanout)] {
		go s.tellOne(ctx, id, others[id], reports)
	}
}

func (s *statements) tellOne(ctx context.Context, id record.InstanceID, name string, reports []placement.StatementReport) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	if err := s.caller.Call(ctx, id, statementsServiceName+".Tell", TellStatementsArgs{Reports: reports}, &TellStatementsReply{}); err != nil {
		s.log.Info().Err(err).Str("instance", name).Int("endpoints", len(reports)).Msg("statements: instance not told")
	}
}
