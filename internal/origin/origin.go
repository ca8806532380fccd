// Package origin tracks at which software version of its endpoint each stream began, so that a
// stream continues at that version only: what two versions write doesn't fit together.
//
// The instance that serves a stream keeps its origin and copies it to replicas, two other
// instances that any instance finds by the stream's ID. A caller may continue its stream at any
// instance, which asks the replicas if it doesn't know the origin itself.
//
// A stream is never continued at a guess: where the origin is not known, it is refused.
//
// Table and the choice of replicas decide, without I/O and without a clock; Tracker
// connects them with the other instances.
package origin

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/record"
)

// Errors of Tracker.Find.
var (
	// ErrUnknown reports that no instance that may know the origin knows it.
	ErrUnknown = errors.New("origin: no record of the stream")
	// ErrUnconfirmed reports that instances that may know the origin did not answer.
	ErrUnconfirmed = errors.New("origin: instances that may know the stream did not answer")
)

// Origin is where a stream began. The zero value stands for an ambiguous one.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"` // Software version of the endpoint; "" if endpoints state none.
}

// StreamID identifies a stream over all tries of its caller.
type StreamID uint64

// NewStreamID returns the ID of the stream whose first event was brought by the given request
// of an organisation.
func NewStreamID(organisation record.Team, request string) StreamID {
	const separator = "\x00"
	return StreamID(xxhash.Sum64String(string(organisation) + separator + request))
}

// Record states the origin of a stream for as long as it may be continued.
type Record struct {
	Stream   StreamID      `cbor:"1,keyasint"`
	Origin   Origin        `cbor:"2,keyasint"`
	Lifetime time.Duration `cbor:"3,keyasint"`
}
