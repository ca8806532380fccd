package decide

import (
	"time"

	"guavapier/internal/record"
)

// classCount is the number of priority classes; index 0 is unused.
const classCount = int(PriorityCall) + 1

// Options configures a Decider. A zero field takes its default.
type Options struct {
	// Seed is the seed of the pseudo-random numbers; the same seed and the same
	// input give the same decisions. Instances need different seeds, or they
	// would sample the same endpoints at the same time.
	Seed uint64
	// Zone is the instance's own availability zone.
	Zone record.Zone
	// AffinityWait is how long a request waits at most for its preferred
	// endpoint while another one is free. A negative value means not at all.
	AffinityWait time.Duration
	// ReservedShare is the share of an endpoint's slots that lower classes leave
	// free for the class while it is in use, indexed by Priority.
	ReservedShare [classCount]float64
	// MaxShare is the largest share of an endpoint's slots that a class may take
	// while a higher one is in use, indexed by Priority.
	MaxShare [classCount]float64
}

const (
	// defaultAffinityWait is a few steps of an engine: long enough for a slot to
	// become free in a full batch, and short for a person who waits.
	defaultAffinityWait = 300 * time.Millisecond
	// defaultReservedShareInteractive keeps one slot in eight free of batch
	// requests, so that an interactive request need not wait until one ends.
	defaultReservedShareInteractive = 0.125
	// defaultReservedShareCall keeps one slot in sixteen for calls by machines,
	// which are few and short.
	defaultReservedShareCall = 0.0625
	// defaultMaxShareBatch leaves batch requests half of the slots. More of them
	// in a batch slow each step of the interactive requests beside them.
	defaultMaxShareBatch = 0.5
)

func (o Options) withDefaults() Options {
	if o.AffinityWait == 0 {
		o.AffinityWait = defaultAffinityWait
	}
	setDefault(&o.ReservedShare[PriorityInteractive], defaultReservedShareInteractive)
	setDefault(&o.ReservedShare[PriorityCall], defaultReservedShareCall)
	setDefault(&o.MaxShare[PriorityBatch], defaultMaxShareBatch)
	setDefault(&o.MaxShare[PriorityInteractive], 1)
	setDefault(&o.MaxShare[PriorityCall], 1)
	return o
}

func setDefault(v *float64, def float64) {
	if *v == 0 {
		*v = def
	}
}
