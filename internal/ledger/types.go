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

// Errors returned by Reserve and ForceClose. After an error of Reserve nothing
// is reserved.
var (
	// ErrExhausted means that the budget has too few tokens left for the
	// request. Only a top-up helps.
	ErrExhausted = eris.New("ledger: budget exhausted")
	// ErrStranded means that the budget has tokens left, but that running
	// requests have reserved them, or that they are in grants or on a log that
	// this instance can't reach now. The error is a *Stranded.
	ErrStranded = eris.New("ledger: budget out of reach")
	// ErrNoBudget means that the budget doesn't exist.
	ErrNoBudget = eris.New("ledger: no such budget")
	// ErrNoGrant means that ForceClose found no open grant with the given ID.
	ErrNoGrant = eris.New("ledger: no such open grant")
)

// Stranded is the ErrStranded of one refusal, with its reason.
type Stranded struct {
	// Reason completes the sentence that the caller reads.
	Reason string
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (s *Stranded) Error() string { return ErrStranded.Error() + ": " + s.Reason }

// Is makes errors.Is(err, ErrStranded) true.
func (s *Stranded) Is(target error) bool { return target == ErrStranded }

// RetryAfter values.
const (
	reservedRetryAfter    = time.Second     // Running requests have reserved the tokens.
	unavailableRetryAfter = 2 * time.Second // The log or a peer didn't answer.
)

// Appender appends records to a stream of the log in one batch and returns its
// offset; see logstore.Publisher. After an error the records may be on the
// log, may reach it later, or may never do so.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Members provides the membership as last known by this instance.
type Members interface {
	// Live returns the listed instances, including leaving ones. It may be out
	// of date.
	Live() []logstore.Instance
}

// UsageReader reads a run's usage from its endpoint.
type UsageReader interface {
	// Usage returns the tokens that an ended run has used. known is false if
	// the run hasn't ended or the endpoint can't tell.
	Usage(ctx context.Context, run record.RunID) (tokens int64, known bool)
}

// Partitions holds the replicas of all ledger partitions, by partition number.
type Partitions []*replica.Replica[*fold.Ledger]

// ForTeam returns the replica of the partition with a team's budgets.
func (p Partitions) ForTeam(team record.Team) *replica.Replica[*fold.Ledger] {
	return p[record.TeamPartition(team, len(p))]
}

// ByStream returns the replica of a stream, and false if there is none.
func (p Partitions) ByStream(stream record.Stream) (*replica.Replica[*fold.Ledger], bool) {
	for _, part := range p {
		if part.Stream() == stream {
			return part, true
		}
	}
	return nil, false
}

// Reservation is the maximum number of tokens of one request, reserved in a
// grant.
type Reservation struct {
	Key    record.RequestKey
	Run    record.RunID
	Right  record.RightID
	Tokens int64
	// ID identifies the reservation within its grant.
	ID right.UseID
	// At is the instance that holds the grant.
	At record.InstanceID
}

// SparePolicy determines which spare grants the holder of a busy budget keeps
// in case the witness of its newest one fails.
type SparePolicy uint8

// Spare policies.
const (
	// SpareNone keeps no spare grant.
	SpareNone SparePolicy = iota
	// SpareOtherZone keeps the same amount again in grants whose witness is in
	// another zone, provided that this zone has a witness too.
	SpareOtherZone
	// SpareUnwitnessed keeps one small grant without a witness.
	SpareUnwitnessed
)

// Options are a Ledger's limits and its policy for spare grants.
type Options struct {
	// InitialGrantTokens is the size of a budget's first grant, and the most
	// free tokens to aim for in grants without a witness.
	InitialGrantTokens int64
	// GrantTimeout bounds how long Reserve waits for a grant.
	GrantTimeout time.Duration
	// TickInterval is the interval between ticks. The bills, returns and
	// closes of one interval are appended together, per partition.
	TickInterval time.Duration
	// PeerTimeout bounds one call to another instance. MaxAckAttempts is how
	// many times an acknowledgement is requested from a witness.
	PeerTimeout    time.Duration
	MaxAckAttempts int
	// SealAfterFailedPings is the number of failed pings in a row after which
	// a witness seals a holder's grants. It is a count rather than a duration,
	// so that a witness that was itself paused doesn't seal immediately after
	// it resumes.
	SealAfterFailedPings int
	// SuspicionTTL is how long an instance that didn't answer isn't chosen as
	// witness or owner.
	SuspicionTTL time.Duration
	// SparePolicy applies to all budgets.
	SparePolicy SparePolicy
}

// DefaultOptions returns the limits used in production.
func DefaultOptions() Options {
	return Options{
		InitialGrantTokens: 20_000, GrantTimeout: 2 * time.Second, TickInterval: 500 * time.Millisecond,
		PeerTimeout: 250 * time.Millisecond, MaxAckAttempts: 2, SealAfterFailedPings: 6, SuspicionTTL: 5 * time.Second,
		SparePolicy: SpareNone,
	}
}

// Config holds a Ledger's identity, dependencies and limits.
type Config struct {
	Self       record.InstanceID
	Zone       record.Zone
	Log        Appender
	Partitions Partitions
	Members    Members
	Peers      peer.Caller // Nil for an instance without peers.
	// Conservatism returns a budget's setting, from 0 (strand few tokens) to 1
	// (refuse few requests). Nil means DefaultConservatism for all budgets.
	Conservatism func(record.BudgetID) float64
	// Usages is nil if endpoints can't report usage. Runs of dead instances
	// are then billed at their reserved tokens.
	Usages  UsageReader
	Options Options
	// Now returns the current time; nil means time.Now. Time affects sizes and
	// retries, never whether tokens may be spent.
	Now func() time.Time
	// Go runs a background task; nil means a new goroutine for each.
	Go func(func())
}
