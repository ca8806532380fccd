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
	// Serve counts a claim by holder and witness, so that such calls go on
	// while the log is away. If holder and witness die at once, the shard's
	// such calls are refused until an operator says that both are dead.
	Serve Mode = iota
	// Refuse counts a claim by holder and log only: refused while the log is
	// away, and safe under an operator's forced close.
	Refuse
)

// The values of the setting at WhenLogAwayPath.
const (
	ServeValue  = "serve"
	RefuseValue = "refuse"
)

// WhenLogAwayPath returns the path of a team's Mode.
func WhenLogAwayPath(team record.Team) string {
	return "/teams/" + string(team) + "/calls/when_log_away"
}

// Modes reads the teams' modes.
type Modes interface {
	WhenLogAway(team record.Team) Mode
}

// Options bound a Holder and a Fleet. A zero field takes its default.
type Options struct {
	Modes Modes
	// Now is the clock of the claims' times; it decides only when a claim may
	// be forgotten.
	Now func() time.Time
	// Acknowledge bounds the wait for a witness.
	Acknowledge time.Duration
	// Append bounds the wait for a claim to be on the log.
	Append time.Duration
	// Linger is the pause between two lazy appends of one shard. Load: calls all
	// the time at every shard. Harm prevented: the platform's appends, several
	// hundred a second for everybody, used up by a few instances; at 500 ms one
	// instance with all 8 shards makes 16 a second. Limit: the witness has the
	// claims meanwhile, and maxOpen bounds those that wait.
	Linger time.Duration
	// Tick is the time between two looks at the shards.
	Tick time.Duration
	// Gone is how long a holder or witness must be out of reach before its
	// shard is sealed or closed. It decides only when to try: a wrong seal
	// costs two appends and a moment without holder, a late one keeps callers
	// waiting.
	Gone time.Duration
	// Patience bounds Begin.
	Patience time.Duration
	// Ask bounds one call to a holder.
	Ask time.Duration
}

// maxGroup bounds the lazy entries of one append; each has two records at most.
const maxGroup = 400

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.Acknowledge, 300*time.Millisecond)
	set(&o.Append, 900*time.Millisecond)
	set(&o.Linger, 500*time.Millisecond)
	set(&o.Tick, 200*time.Millisecond)
	set(&o.Gone, time.Second)
	set(&o.Patience, 3*time.Second)
	set(&o.Ask, 1700*time.Millisecond)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Modes == nil {
		o.Modes = always(Serve)
	}
	return o
}

type always Mode

// WhenLogAway implements Modes.
func (a always) WhenLogAway(record.Team) Mode { return Mode(a) }
