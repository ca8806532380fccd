package peer

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// maxHelloBytes limits a hello, which anybody can send who reaches the address.
const maxHelloBytes = 4 << 10

// protocolVersion is increased with each incompatible change of the handshake or the frames.
const protocolVersion = 1

// hello is the first message on a connection, sent by the calling instance: From is its ID, To
// the ID of the instance that it calls. Tunnel, if set, asks for a tunnel in place of calls; To is
// empty then.
type hello struct {
	Version int               `cbor:"1,keyasint"`
	From    record.InstanceID `cbor:"2,keyasint"`
	To      record.InstanceID `cbor:"3,keyasint"`
	Tunnel  *TunnelRequest    `cbor:"4,keyasint,omitempty"`
}

// helloReply is the response to hello, with the ID of the instance that accepted the connection.
type helloReply struct {
	Version int               `cbor:"1,keyasint"`
	ID      record.InstanceID `cbor:"2,keyasint"`
	Tunnel  TunnelStatus      `cbor:"3,keyasint,omitempty"`
}

// clientHandshake sends hello and checks that the instance at the other end is to. It returns
// ErrOtherInstance, wrapped, if it is another.
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
		return eris.Errorf("peer: %s uses protocol version %d, want %d", got.ID, got.Version, protocolVersion)
	}
	if got.ID != to {
		return eris.Wrapf(ErrOtherInstance, "peer: expected instance %s, found %s", to, got.ID)
	}
	return conn.SetReadDeadline(time.Time{})
}

// readHello reads a caller's hello.
func readHello(conn net.Conn, f *framedConn, timeout time.Duration) (hello, error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	var got hello
	err := f.receiveUpTo(maxHelloBytes, &got)
	return got, err
}

// serverHandshake replies to a caller's hello. It returns ErrOtherInstance for a caller that
// calls another instance or uses another version; the reply tells the caller which instance
// this is.
func serverHandshake(f *framedConn, self record.InstanceID, got hello) error {
	if err := f.sendSync(helloReply{Version: protocolVersion, ID: self}); err != nil {
		return err
	}
	if got.Version != protocolVersion || got.To != self {
		return ErrOtherInstance
	}
	return nil
}
