package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// MaxMessageBytes bounds one message, so that one peer cannot take this
	// instance's memory. It has room for a relayed batch of the log.
	MaxMessageBytes = 2 << 20
	// maxQueuedBytes bounds what waits to be written on one connection. A
	// peer that reads too slowly loses its connection instead.
	maxQueuedBytes = 4 * MaxMessageBytes

	lengthBytes = 4
)

// errBacklog says that the other end reads too slowly.
var errBacklog = eris.New("peer: write backlog full")

// header goes before each net/rpc request and response.
type header struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

// message is one frame's content.
type message struct {
	Header header          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint"`
}

// framedConn reads and writes length-prefixed CBOR messages on a connection.
// Writes never block their caller: a goroutine sends what is queued, many
// messages at once, and closes the connection if it cannot.
type framedConn struct {
	conn         net.Conn
	reader       *bufio.Reader
	writeTimeout time.Duration

	mu           sync.Mutex
	queued       []byte
	closeErr     error
	writePending chan struct{}
	writerDone   chan struct{}
}

// newFramedConn returns frames whose writer has not started: until start, only
// sendNow and receive may be used.
func newFramedConn(conn net.Conn, writeTimeout time.Duration) *framedConn {
	return &framedConn{
		conn: conn, reader: bufio.NewReader(conn), writeTimeout: writeTimeout,
		writePending: make(chan struct{}, 1), writerDone: make(chan struct{}),
	}
}

// startWriter starts the writer; close must follow.
func (f *framedConn) startWriter() { go f.writeLoop() }

// sendSync writes one value without the writer.
func (f *framedConn) sendSync(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "peer: encode")
	}
	_ = f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout))
	_, err = f.conn.Write(appendFrame(nil, data))
	return err
}

func appendFrame(to, data []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, uint32(len(data)))
	return append(to, data...)
}

// send queues one value. It returns ErrTooLarge, or the error that closed the
// connection; then nothing was queued.
func (f *framedConn) send(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "peer: encode")
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

// receive reads one value. It fails once the connection is closed.
func (f *framedConn) receive(v any) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(f.reader, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxMessageBytes {
		return ErrTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(f.reader, data); err != nil {
		return err
	}
	return cbor.Unmarshal(data, v)
}

// close closes the connection and waits for the writer to end.
func (f *framedConn) close(err error) {
	f.mu.Lock()
	f.closeLocked(err)
	f.mu.Unlock()
	<-f.writerDone
}

func (f *framedConn) closeLocked(err error) {
	if f.closeErr != nil {
		return
	}
	f.closeErr = err
	_ = f.conn.Close()
	close(f.writePending)
	// send checks err under the same lock before it uses wake again.
}

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
