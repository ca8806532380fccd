package peer

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// protocolVersion changes when frames or the greeting change their meaning.
const protocolVersion = 1

// hello is the first message on a connection: who calls, and whom.
type hello struct {
	Version int               `cbor:"1,keyasint"`
	From    record.InstanceID `cbor:"2,keyasint"`
	To      record.InstanceID `cbor:"3,keyasint"`
}

// helloReply answers hello with the identity of the instance that listens.
type helloReply struct {
	Version int               `cbor:"1,keyasint"`
	ID      record.InstanceID `cbor:"2,keyasint"`
}

// clientHandshake makes sure that the instance at the other end is the wanted one.
func clientHandshake(conn net.Conn, f *framedConn, from, to record.InstanceID, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	if err := f.sendSync(hello{Version: protocolVersion, From: from, To: to}); err != nil {
		return err
	}
	var got helloReply
	if err := f.receive(&got); err != nil {
		return err
	}
	if got.Version != protocolVersion {
		return eris.Errorf("peer: %s speaks version %d, not %d", got.ID, got.Version, protocolVersion)
	}
	if got.ID != to {
		return eris.Wrapf(ErrOtherInstance, "peer: wanted %s, found %s", to, got.ID)
	}
	return conn.SetReadDeadline(time.Time{})
}

// serverHandshake answers a caller's hello. It fails for a caller that wants another
// instance; that caller is told who is here.
func serverHandshake(conn net.Conn, f *framedConn, self record.InstanceID, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	var got hello
	if err := f.receive(&got); err != nil {
		return err
	}
	if err := f.sendSync(helloReply{Version: protocolVersion, ID: self}); err != nil {
		return err
	}
	if got.Version != protocolVersion || got.To != self {
		return ErrOtherInstance
	}
	return nil
}
