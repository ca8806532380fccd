// Package right has the state machines of a right: a budget grant or the
// ownership of a claim shard. A right is a record on the log that names its
// holder and, where there is one, its witness.
//
// A holder uses a witnessed right only with the witness's acknowledgement of
// that use. A witness may seal the right; from then on it acknowledges no
// further use, so that a holder which was paused or cut off can do nothing
// with it, and the witness, which knows every acknowledged use, may close the
// right on the log. The first close in log order wins. No clock takes part in
// any of this: time decides only when somebody tries a seal.
//
// Holder and Witness do no input or output. Held, Batcher and Service carry
// them over net/rpc.
package right

import (
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of this package. Callers compare them with errors.Is.
var (
	// ErrSealed says that the witness has sealed the right. The use does not
	// count, and no later one will.
	ErrSealed = eris.New("right: sealed by its witness")
	// ErrNotAdopted says that the witness has not adopted the right (yet). The
	// use does not count.
	ErrNotAdopted = eris.New("right: not adopted by the witness")
	// ErrClosed says that the holder has ended its use of the right.
	ErrClosed = eris.New("right: closed")
	// ErrUnknownRight says that the log gives no such right to this holder
	// with this witness.
	ErrUnknownRight = eris.New("right: unknown")
	// ErrOutOfOrder says that a batch before this one is missing.
	ErrOutOfOrder = eris.New("right: batch out of order")
	// ErrLost says that it is not known whether a batch was acknowledged. The
	// holder uses the right no more.
	ErrLost = eris.New("right: acknowledgement lost")
)

// UseID names one use within its right.
type UseID string

// Use is one use of a right. U is the kind of use: a reservation in a grant,
// or a claim in a shard. U crosses net/rpc, so its fields are exported.
type Use[U any] struct {
	ID   UseID
	Body U
}

// Terms are what the log says about a right.
type Terms struct {
	Right   record.RightID
	Holder  record.InstanceID
	Witness record.InstanceID // Empty for none.
	Stream  record.Stream     // Stream of the right's record.
	Offset  uint64            // Offset of the right's record.
}

// Batch is what a holder asks its witness to acknowledge at once. A witness
// applies the batches of a right in the order of Seq, which starts at 1, and
// each once: a late copy changes nothing.
type Batch[U any] struct {
	Terms
	Seq uint64
	// Drops are uses that ended and need no place in a close. They go before
	// Puts, so that what they set free can be used again in the same batch.
	Drops []UseID
	// Puts are new uses, or uses whose body has changed.
	Puts []Use[U]
}
