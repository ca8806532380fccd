// Package peer implements calls between instances: net/rpc with CBOR messages over TCP, or over
// TLS if the caller's dialer and the server's listener use it.
//
// net/rpc has no deadlines, heartbeats or limits; this package adds them. A Pool has one
// connection per peer, ends each call at its deadline, and detects by heartbeats a connection
// that no longer carries data. A Server limits the size of messages, the number of connections
// and the concurrent calls of each, and serves only callers that name its own instance ID.
package peer

import (
	"context"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of Caller.Call, which may be joined with each other. Callers compare them with errors.Is.
var (
	// ErrUnreachable reports that a peer did not answer in time, or that there is no
	// connection to it, for instance because its address is not known. Unless it is joined
	// with ErrNotSent, the call may have taken effect there.
	ErrUnreachable = eris.New("peer: unreachable")
	// ErrNotSent reports that no byte of the call has left this instance, so that it has not
	// taken effect. It is joined with the cause, and with ErrUnreachable if there was no
	// connection.
	ErrNotSent = eris.New("peer: call not sent")
	// ErrOtherInstance, joined with ErrNotSent, reports that another instance now has the
	// peer's address, such as the same process restarted under a new instance ID.
	ErrOtherInstance = eris.New("peer: another instance has the address")
	// ErrTooLarge, joined with ErrNotSent, reports that the encoded call is larger than
	// MaxMessageBytes. If the reply is too large, the call has taken effect and its error is
	// an rpc.ServerError.
	ErrTooLarge = eris.New("peer: message too large")
	// ErrClosed, joined with ErrNotSent, reports that the pool has been closed.
	ErrClosed = eris.New("peer: pool closed")
)

// Caller calls methods of other instances. A call ends by the deadline of its context or by a
// timeout of the Caller, whichever is earlier.
type Caller interface {
	// Call calls method ("Service.Method", as in net/rpc) of an instance and decodes the
	// result into reply, which may be nil. An error that the method returned there is an
	// rpc.ServerError here.
	Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error
}

// Addresses looks up the address (IP:port) at which an instance accepts calls from peers. The
// second result is false if it isn't known.
type Addresses interface {
	PeerAddr(id record.InstanceID) (string, bool)
}
