package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxMessageBytes limits the size of one message, so that a peer cannot exhaust this
	// instance's memory. A relayed batch of the log fits into it.
	MaxMessageBytes = 2 << 20
	// maxQueuedBytes limits the messages waiting to be written to one connection. The
	// connection of a peer that reads too slowly is closed when they exceed it.
	maxQueuedBytes = 4 * MaxMessageBytes

	// lengthBytes is the size of the length prefix of a frame, a big-endian integer.
	lengthBytes = 4
)

// errBacklog reports that maxQueuedBytes would be exceeded: the other end reads too slowly.
var errBacklog = eris.New("peer: write backlog full")

// header is the net/rpc header of a request or response. Error is the error text of the called
// method, in responses only.
type header struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

// message is a net/rpc request or response. After the handshake each frame holds one.
type message struct {
	Header header          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

// framedConn reads and writes values on a connection as frames: the CBOR encoding, prefixed with
// its length. send doesn't block: a goroutine writes the queued frames, many at once, and closes
// the connection if a write fails or takes longer than writeTimeout.
type framedConn struct {
	conn         net.Conn
	reader       *bufio.Reader
	writeTimeout time.Duration

	mu           sync.Mutex
	queued       []byte        // Frames to be written; guarded by mu.
	closeErr     error         // Why the connection was closed; guarded by mu, nil while it is open.
	writePending chan struct{} // Notifies the writer of queued frames; closed with the connection.
	writerDone   chan struct{} // Closed when the writer has ended.
}

// newFramedConn returns a framedConn whose writer has not started: until startWriter is called,
// only sendSync and receive may be used.
func newFramedConn(conn net.Conn, writeTimeout time.Duration) *framedConn {
	return &framedConn{
		conn: conn, reader: bufio.NewReader(conn), writeTimeout: writeTimeout,
		writePending: make(chan struct{}, 1), writerDone: make(chan struct{}),
	}
}

// startWriter starts the writer's goroutine, which ends when the connection is closed.
func (f *framedConn) startWriter() { go f.writeLoop() }

// sendSync writes one value to the connection itself, and blocks until it is written.
func (f *framedConn) sendSync(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "peer: encode message")
	}
	_ = f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout))
	_, err = f.conn.Write(appendFrame(nil, data))
	return err
}

// appendFrame appends data to a buffer as one frame.
func appendFrame(to, data []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(data)))
	return append(to, data...)
}

// send queues one value for the writer. It returns ErrTooLarge or the error with which the
// connection was closed; in both cases the value is not queued.
func (f *framedConn) send(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "peer: encode message")
	}
	if len(data) > MaxMessageBytes {
		return ErrTooLarge
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeErr != nil {
		return f.closeErr
	}
	if len(f.queued)+len(data) > maxQueuedBytes {
		f.closeLocked(errBacklog)
		return errBacklog
	}
	f.queued = appendFrame(f.queued, data)
	select {
	case f.writePending <- struct{}{}:
	default:
	}
	return nil
}

// receive reads one value. It returns ErrTooLarge for a frame larger than MaxMessageBytes, and an
// error once the connection is closed.
func (f *framedConn) receive(v any) error { return f.receiveUpTo(MaxMessageBytes, v) }

// receiveUpTo is receive with another limit. Memory is taken as the frame arrives: its stated size
// may be that of a message that never comes.
func (f *framedConn) receiveUpTo(maxBytes uint32, v any) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(f.reader, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxBytes {
		return ErrTooLarge
	}
	var data bytes.Buffer
	if _, err := io.CopyN(&data, f.reader, int64(size)); err != nil {
		return err
	}
	return cbor.Unmarshal(data.Bytes(), v)
}

// close closes the connection with the error that later calls of send return, and waits for the
// writer to end. Without startWriter it would block.
func (f *framedConn) close(err error) {
	f.mu.Lock()
	f.closeLocked(err)
	f.mu.Unlock()
	<-f.writerDone
}

// closeLocked closes the connection unless it is closed already. The caller holds mu.
func (f *framedConn) closeLocked(err error) {
	if f.closeErr != nil {
		return
	}
	f.closeErr = err
	_ = f.conn.Close()
	close(f.writePending)
	// send checks closeErr under the same lock before it sends on writePending.
}

// writeLoop writes the queued frames until the connection is closed or a write fails.
func (f *framedConn) writeLoop() {
	defer close(f.writerDone)
	for range f.writePending {
		f.mu.Lock()
		out := f.queued
		f.queued = nil
		f.mu.Unlock()
		if len(out) == 0 {
			continue
		}
		_ = f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout))
		if _, err := f.conn.Write(out); err != nil {
			f.mu.Lock()
			f.closeLocked(err)
			f.mu.Unlock()
			return
		}
	}
}
