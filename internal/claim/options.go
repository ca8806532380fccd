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

// Members is the part of package membership that claims use. Its answers may be
// wrong or outdated; no decision about a run's safety depends on them.
type Members interface {
	// Live returns the instances that answer and are not leaving.
	Live() []logstore.Instance
	// Reachable reports whether a listed instance answers.
	Reachable(id record.InstanceID) bool
	// ZoneListed reports whether the instance list has an instance of the zone
	// that is not leaving, reachable or not.
	ZoneListed(zone record.Zone) bool
	// PlatformUp reports whether the platform answered recently.
	PlatformUp() bool
}

// Mode selects the two places that must store a claim of a team's
// non-repeatable calls before it counts.
type Mode int

const (
	// ModeServe counts a claim by holder and witness, so that such calls continue
	// while the log is unavailable. If holder and witness fail together, such
	// calls of the shard are refused until an operator confirms that both are
	// lost.
	ModeServe Mode = iota
	// ModeRefuse counts a claim by holder and log only. Such calls are refused
	// while the log is unavailable, but an operator's forced close loses no claim.
	ModeRefuse
)

// Values of the setting at WhenLogUnavailablePath.
const (
	ModeServeValue  = "serve"
	ModeRefuseValue = "refuse"
)

// WhenLogUnavailablePath returns the settings path of a team's Mode.
func WhenLogUnavailablePath(team record.Team) string {
	return "/teams/" + string(team) + "/calls/when_log_away"
}

// Modes looks up the Mode of a team.
type Modes interface {
	WhenLogUnavailable(team record.Team) Mode
}

// Options configure a Holder and its Client. A zero field takes its default.
type Options struct {
	Modes Modes
	// Now is the clock that dates claims, detects expired keys and measures how
	// long an instance has been unreachable. The date of a claim decides only when
	// the claim may be forgotten. The default is time.Now.
	Now func() time.Time
	// AcknowledgeTimeout bounds the wait for the witness's acknowledgement.
	AcknowledgeTimeout time.Duration
	// AppendTimeout bounds the wait for a record to be appended and applied.
	AppendTimeout time.Duration
	// LogFlushInterval is the pause between two appends of one shard's queued
	// records. The platform allows several hundred appends a second for all
	// instances; without the pause, a few instances with calls at every shard
	// would use them up. At 500 ms an instance that holds all 8 shards makes 16
	// appends a second. The witness stores the claims in the meantime, and
	// maxOpenClaims bounds the claims that wait.
	LogFlushInterval time.Duration
	// TickInterval is the time between two checks of the shards, and between
	// attempts to notify a holder.
	TickInterval time.Duration
	// UnreachableGracePeriod is how long a holder or witness must be unreachable
	// before its epoch is sealed or closed. Safety does not depend on it: an
	// unnecessary seal costs two appends and a short time without a holder, a late
	// one keeps callers waiting.
	UnreachableGracePeriod time.Duration
	// BeginTimeout bounds one Begin.
	BeginTimeout time.Duration
	// HolderCallTimeout bounds one call to a holder at another instance.
	HolderCallTimeout time.Duration
}

// maxAppendEntries bounds the queued entries of one append, each of which has
// at most two records, and the claims of one close.
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

// fixedMode gives all teams the same Mode.
type fixedMode Mode

// WhenLogUnavailable implements Modes.
func (a fixedMode) WhenLogUnavailable(record.Team) Mode { return Mode(a) }
