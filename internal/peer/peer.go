// Package peer carries calls between instances, over net/rpc on TCP.
//
// net/rpc has no deadlines, no heartbeats and no bounds. This package adds
// them around it: a Pool has one connection per peer, gives each call up at its
// deadline, and finds a connection that went silent by heartbeats; a Server
// bounds messages, connections and calls at work, and answers only to callers
// that name the very instance it is.
package peer

import (
	"context"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of Call. Callers compare them with errors.Is.
var (
	// ErrUnreachable says that a peer did not answer in time, or that its
	// address is not known. The call may have taken effect there.
	ErrUnreachable = eris.New("peer: unreachable")
	// ErrNotSent goes with ErrUnreachable where no byte of the call has left
	// this instance: it has certainly not taken effect.
	ErrNotSent = eris.New("peer: call not sent")
	// ErrOtherInstance goes with ErrNotSent: another instance, such as a
	// restarted one, has the peer's address now.
	ErrOtherInstance = eris.New("peer: another instance has the address")
	// ErrTooLarge goes with ErrNotSent: the message is larger than
	// MaxMessageBytes.
	ErrTooLarge = eris.New("peer: message too large")
	// ErrClosed goes with ErrNotSent: the pool has been closed.
	ErrClosed = eris.New("peer: closed")
)

// Caller calls methods of other instances. A call always ends by the deadline
// of its context, and by a bound of the Caller's own if the context has none.
type Caller interface {
	// Call calls method ("Service.Method", as in net/rpc) at an instance. An
	// error that the method itself returned comes back as rpc.ServerError.
	Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error
}

// Addresses finds the peer address (IP:port) of an instance.
type Addresses interface {
	PeerAddr(id record.InstanceID) (string, bool)
}
