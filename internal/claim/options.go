package claim

import (
	"context"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// Appender appends records to the log in one batch; see logstore.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// Members is what claims need of package membership: hints, never facts.
type Members interface {
	// Live returns the instances that answer and do not leave.
	Live() []logstore.Instance
	// Reachable says whether a listed instance answers.
	Reachable(id record.InstanceID) bool
	// ZoneListed says whether the instance list has an instance of a zone that
	// is not leaving, reachable or not.
	ZoneListed(zone record.Zone) bool
	// PlatformUp says whether the platform answered lately.
	PlatformUp() bool
}

// Mode says how a team's calls that may not be repeated are counted.
type Mode int

const (
	// ModeServe counts a claim by holder and witness, so that such calls go on
	// while the log is away. If holder and witness die at once, the shard's
	// such calls are refused until an operator says that both are dead.
	ModeServe Mode = iota
	// ModeRefuse counts a claim by holder and log only: refused while the log is
	// away, and safe under an operator's forced close.
	ModeRefuse
)

// The values of the setting at WhenLogAwayPath.
const (
	ModeServeValue  = "serve"
	ModeRefuseValue = "refuse"
)

// WhenLogUnavailablePath returns the path of a team's Mode.
func WhenLogUnavailablePath(team record.Team) string {
	return "/teams/" + string(team) + "/calls/when_log_away"
}

// Modes reads the teams' modes.
type Modes interface {
	WhenLogUnavailable(team record.Team) Mode
}

// Options bound a Holder and a Fleet. A zero field takes its default.
type Options struct {
	Modes Modes
	// Now is the clock of the claims' times; it decides only when a claim may
	// be forgotten.
	Now func() time.Time
	// AcknowledgeTimeout bounds the wait for a witness.
	AcknowledgeTimeout time.Duration
	// AppendTimeout bounds the wait for a claim to be on the log.
	AppendTimeout time.Duration
	// LogFlushInterval is the pause between two lazy appends of one shard. Load: calls all
	// the time at every shard. Harm prevented: the platform's appends, several
	// hundred a second for everybody, used up by a few instances; at 500 ms one
	// instance with all 8 shards makes 16 a second. Limit: the witness has the
	// claims meanwhile, and maxOpenClaims bounds those that wait.
	LogFlushInterval time.Duration
	// TickInterval is the time between two looks at the shards.
	TickInterval time.Duration
	// UnreachableGracePeriod is how long a holder or witness must be out of reach before its
	// shard is sealed or closed. It decides only when to try: a wrong seal
	// costs two appends and a moment without holder, a late one keeps callers
	// waiting.
	UnreachableGracePeriod time.Duration
	// BeginTimeout bounds Begin.
	BeginTimeout time.Duration
	// HolderCallTimeout bounds one call to a holder.
	HolderCallTimeout time.Duration
}

// maxAppendEntries bounds the lazy entries of one append; each has two records at most.
const maxAppendEntries = 400

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.AcknowledgeTimeout, 300*time.Millisecond)
	set(&o.AppendTimeout, 900*time.Millisecond)
	set(&o.LogFlushInterval, 500*time.Millisecond)
	set(&o.TickInterval, 200*time.Millisecond)
	set(&o.UnreachableGracePeriod, time.Second)
	set(&o.BeginTimeout, 3*time.Second)
	set(&o.HolderCallTimeout, 1700*time.Millisecond)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Modes == nil {
		o.Modes = fixedMode(ModeServe)
	}
	return o
}

type fixedMode Mode

// WhenLogUnavailable implements Modes.
func (a fixedMode) WhenLogUnavailable(record.Team) Mode { return Mode(a) }
