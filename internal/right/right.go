// Package right implements exclusive rights with an optional witness. A right
// is a budget grant or the ownership of a claim shard. It is a record on the
// log that names its holder and, if it has one, its witness.
//
// The holder may use a witnessed right only once the witness has acknowledged
// that use. A witness may seal the right. From then on it acknowledges no new
// use, so a holder that was paused or partitioned can't use the right any
// more, and the witness, which has every acknowledged use, may close the right
// on the log. The first close in log order takes effect. Safety doesn't depend
// on clocks: timeouts only decide when a seal is attempted.
//
// Holder and Witness are state machines without I/O. HeldRight, Batcher and
// Service connect them over net/rpc.
package right

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors returned by this package. Compare them with errors.Is.
var (
	// ErrSealed means that the witness has sealed the right. Neither this use
	// nor any later one is confirmed.
	ErrSealed = eris.New("right: sealed by its witness")
	// ErrNotAdopted means that the witness doesn't know the right, for instance
	// because its adoption timed out. The use isn't confirmed.
	ErrNotAdopted = eris.New("right: not adopted by the witness")
	// ErrClosed means that the holder has stopped using the right.
	ErrClosed = eris.New("right: no longer used by its holder")
	// ErrUnknownRight means that the log has no open right with these terms.
	ErrUnknownRight = eris.New("right: no open right with these terms")
	// ErrOutOfOrder means that an earlier batch of the right is missing.
	ErrOutOfOrder = eris.New("right: batch out of order")
	// ErrLost means that it isn't known whether the witness acknowledged a
	// batch. The holder must stop using the right.
	ErrLost = eris.New("right: acknowledgement lost")
)

// UseID identifies a use within its right.
type UseID string

// Use is one use of a right. Its body U is a reservation in a grant or a claim
// in a shard. U crosses net/rpc, so its fields are exported.
type Use[U any] struct {
	ID   UseID
	Body U
}

// Terms are the log's description of a right.
type Terms struct {
	Right   record.RightID
	Holder  record.InstanceID
	Witness record.InstanceID // Empty if the right has no witness.
	Stream  record.Stream     // Stream that holds the right's record.
	Offset  uint64            // Offset of the right's record.
}

// Batch is a set of changes that the witness acknowledges together. A witness
// applies the batches of a right in the order of Seq, which starts at 1, and
// each of them once. A duplicate has no effect.
type Batch[U any] struct {
	Terms
	Seq uint64
	// Drops are ended uses that the right's close needn't list. They are
	// applied before Puts, so that the tokens they free can be used again in
	// the same batch.
	Drops []UseID
	// Puts are new uses and uses whose body changed.
	Puts []Use[U]
}
