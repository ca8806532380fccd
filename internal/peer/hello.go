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
	Want    record.InstanceID `cbor:"3,keyasint"`
}

// welcome answers hello with the identity of the instance that listens.
type welcome struct {
	Version int               `cbor:"1,keyasint"`
	ID      record.InstanceID `cbor:"2,keyasint"`
}

// greet makes sure that the instance at the other end is the wanted one.
func greet(conn net.Conn, f *frames, from, want record.InstanceID, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	if err := f.sendNow(hello{Version: protocolVersion, From: from, Want: want}); err != nil {
		return err
	}
	var got welcome
	if err := f.receive(&got); err != nil {
		return err
	}
	if got.Version != protocolVersion {
		return eris.Errorf("peer: %s speaks version %d, not %d", got.ID, got.Version, protocolVersion)
	}
	if got.ID != want {
		return eris.Wrapf(ErrOtherInstance, "peer: wanted %s, found %s", want, got.ID)
	}
	return conn.SetReadDeadline(time.Time{})
}

// admit answers a caller's hello. It fails for a caller that wants another
// instance; that caller is told who is here.
func admit(conn net.Conn, f *frames, self record.InstanceID, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	var got hello
	if err := f.receive(&got); err != nil {
		return err
	}
	if err := f.sendNow(welcome{Version: protocolVersion, ID: self}); err != nil {
		return err
	}
	if got.Version != protocolVersion || got.Want != self {
		return ErrOtherInstance
	}
	return nil
}
