package decide

import (
	"time"

	"guavapier/internal/record"
)

// classCount is the number of priority classes; index 0 is unused.
const classCount = int(PriorityCall) + 1

// Options set a Decider. A zero field takes its default.
type Options struct {
	// Seed starts the pseudo-random numbers; the same seed and the same input
	// give the same decisions. Instances need different seeds, or they would
	// sample the same endpoints at the same time.
	Seed uint64
	// Zone is the instance's own availability zone.
	Zone record.Zone
	// AffinityWait is how long a request waits at most for the endpoint that
	// holds its prefix while another one is free. Negative means not at all.
	AffinityWait time.Duration
	// ReservedShare is the share of an endpoint's slots kept free of lower classes,
	// by class, while the class is in use. Index is the Priority.
	ReservedShare [classCount]float64
	// MaxShare is the largest share of an endpoint's slots that a class takes
	// while a higher one is in use. Index is the Priority.
	MaxShare [classCount]float64
}

const (
	// defaultAffinityWait is a few steps of an engine: long enough for a slot
	// to come free in a full batch, short against a person's patience.
	defaultAffinityWait = 300 * time.Millisecond
	// defaultReservedShareInteractive keeps one slot in eight free of long work, so
	// that a question never waits for a report's whole run.
	defaultReservedShareInteractive = 0.125
	// defaultReservedShareCall keeps one slot in sixteen for calls by machines: they
	// are few and short.
	defaultReservedShareCall = 0.0625
	// defaultMaxShareBatch leaves long work half of the slots: more of it in one
	// batch slows each step of the questions beside it.
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
