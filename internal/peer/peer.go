// Package peer carries calls between instances, over net/rpc on TCP.
package peer

import (
	"context"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// ErrUnreachable says that a peer did not answer in time, or that its address
// is not known. The call may have taken effect there.
var ErrUnreachable = eris.New("peer: unreachable")

// Caller calls methods of other instances. A call always ends by the deadline
// of its context, and by a bound of the Caller's own if the context has none.
type Caller interface {
	// Call calls method ("Service.Method", as in net/rpc) at an instance. An
	// error that the method itself returned comes back as rpc.ServerError.
	Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error
}
