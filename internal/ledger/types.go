// Package ledger draws on prepaid budgets. An instance holds grants: rights on
// the log to a part of a budget. It reserves the worst case of each request in
// a grant before the request runs, and bills what the request used.
//
// Safety rests on the fold and on package right alone: a grant that would
// exceed its budget is void, and a witnessed grant is used only with its
// witness's acknowledgement. All else here (sizes, owners, who is reachable)
// decides only how seldom a request is refused.
package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

// Errors of Reserve. In each case nothing was reserved.
var (
	// ErrExhausted says that the budget has no tokens left for the request.
	// Only a top-up helps.
	ErrExhausted = eris.New("ledger: budget exhausted")
	// ErrStranded says that tokens are left, but reserved by running requests,
	// or in grants or on a log that this instance cannot reach now. The error
	// is a *Stranded.
	ErrStranded = eris.New("ledger: budget out of reach")
	// ErrNoBudget says that there is no such budget.
	ErrNoBudget = eris.New("ledger: no such budget")
	// ErrNoGrant says that there is no such open grant to close.
	ErrNoGrant = eris.New("ledger: no such open grant")
)

// Stranded is the ErrStranded of one refusal.
type Stranded struct {
	Reason string
	// RetryAfter is when coming back is worth it.
	RetryAfter time.Duration
}

// Error implements error.
func (s *Stranded) Error() string { return ErrStranded.Error() + ": " + s.Reason }

// Is makes errors.Is(err, ErrStranded) true.
func (s *Stranded) Is(target error) bool { return target == ErrStranded }

// When to come back after a refusal.
const (
	reservedRetryAfter    = time.Second     // Running requests hold the tokens.
	unavailableRetryAfter = 2 * time.Second // The log or a peer did not answer.
)

// Appender appends records to the log in one batch; see logstore.Publisher.
// After an error the records may or may not be on the log, or reach it later.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Members is the membership as this instance last knew it.
type Members interface {
	// Live returns the listed instances, leaving ones included. It may lag.
	Live() []logstore.Instance
}

// UsageReader asks endpoints what a run has used.
type UsageReader interface {
	// Usage returns the tokens of a run that has ended. known is false where
	// the run goes on, or its endpoint cannot say.
	Usage(ctx context.Context, run record.RunID) (tokens int64, known bool)
}

// Partitions gives the replica of each ledger partition.
type Partitions []*replica.Replica[*fold.Ledger]

// ForTeam returns the replica that holds a team's budgets.
func (p Partitions) ForTeam(team record.Team) *replica.Replica[*fold.Ledger] {
	return p[record.TeamPartition(team, len(p))]
}

// ByStream returns the replica of a stream.
func (p Partitions) ByStream(stream record.Stream) (*replica.Replica[*fold.Ledger], bool) {
	for _, part := range p {
		if part.Stream() == stream {
			return part, true
		}
	}
	return nil, false
}

// Reservation is the worst case of one request, set aside in a grant.
type Reservation struct {
	Key    record.RequestKey
	Run    record.RunID
	Right  record.RightID
	Tokens int64
	// ID names the reservation in its grant.
	ID right.UseID
	// At is the instance that holds the grant.
	At record.InstanceID
}

// SparePolicy says what a busy budget's holder keeps besides its newest grant.
type SparePolicy uint8

// The kinds of spare.
const (
	// SpareNone keeps one witness until it fails.
	SpareNone SparePolicy = iota
	// SpareOtherZone keeps as much again in grants whose witness is in another
	// zone, where this zone has a witness too.
	SpareOtherZone
	// SpareUnwitnessed keeps one small grant without a witness.
	SpareUnwitnessed
)

// Options set a Ledger's limits.
type Options struct {
	// InitialGrantTokens is the size of a budget's first grant, and the most that a
	// grant without witness has.
	InitialGrantTokens int64
	// GrantTimeout is how long Reserve waits for a grant.
	GrantTimeout time.Duration
	// TickInterval is the period of Run: bills, returns and closes of a period go
	// out in one append for each partition.
	TickInterval time.Duration
	// PeerTimeout bounds one call to another instance, and AckAttempts how often
	// an acknowledgement is asked for.
	PeerTimeout    time.Duration
	MaxAckAttempts int
	// SealAfterFailedPings is how many calls in a row a holder must leave unanswered
	// before its witness seals its grants. It is a count, not a time, so that
	// a witness which was paused itself does not seal at once.
	SealAfterFailedPings int
	// SuspicionTTL is how long an instance that did not answer is passed over as
	// witness and owner.
	SuspicionTTL time.Duration
	SparePolicy  SparePolicy
}

// DefaultOptions are the product's limits.
func DefaultOptions() Options {
	return Options{
		InitialGrantTokens: 20_000, GrantTimeout: 2 * time.Second, TickInterval: 500 * time.Millisecond,
		PeerTimeout: 250 * time.Millisecond, MaxAckAttempts: 2, SealAfterFailedPings: 6, SuspicionTTL: 5 * time.Second,
		SparePolicy: SpareNone,
	}
}

// Config is what a Ledger is made of.
type Config struct {
	Self       record.InstanceID
	Zone       record.Zone
	Log        Appender
	Partitions Partitions
	Members    Members
	Peers      peer.Caller // Nil for an instance that has no peers.
	// Conservatism returns a budget's setting between 0 (strand few tokens) and 1
	// (refuse seldom). Nil means DefaultLean for all.
	Conservatism func(record.BudgetID) float64
	// Usages is nil where endpoints cannot be asked.
	Usages  UsageReader
	Options Options
	// Now is the clock. It sizes grants and never decides who may spend.
	Now func() time.Time
	// Go runs background work; nil means a goroutine each.
	Go func(func())
}
