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

// frames reads and writes length-prefixed CBOR messages on a connection.
// Writes never block their caller: a goroutine sends what is queued, many
// messages at once, and closes the connection if it cannot.
type frames struct {
	conn         net.Conn
	reader       *bufio.Reader
	writeTimeout time.Duration

	mu     sync.Mutex
	queued []byte
	err    error
	wake   chan struct{}
	done   chan struct{}
}

// newFrames returns frames whose writer has not started: until start, only
// sendNow and receive may be used.
func newFrames(conn net.Conn, writeTimeout time.Duration) *frames {
	return &frames{
		conn: conn, reader: bufio.NewReader(conn), writeTimeout: writeTimeout,
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// start starts the writer; close must follow.
func (f *frames) start() { go f.write() }

// sendNow writes one value without the writer.
func (f *frames) sendNow(v any) error {
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
func (f *frames) send(v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "peer: encode")
	}
	if len(data) > MaxMessageBytes {
		return ErrTooLarge
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	if len(f.queued)+len(data) > maxQueuedBytes {
		f.failLocked(errBacklog)
		return errBacklog
	}
	f.queued = appendFrame(f.queued, data)
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return nil
}

// receive reads one value. It fails once the connection is closed.
func (f *frames) receive(v any) error {
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
func (f *frames) close(err error) {
	f.mu.Lock()
	f.failLocked(err)
	f.mu.Unlock()
	<-f.done
}

func (f *frames) failLocked(err error) {
	if f.err != nil {
		return
	}
	f.err = err
	_ = f.conn.Close()
	close(f.wake)
	// send checks err under the same lock before it uses wake again.
}

func (f *frames) write() {
	defer close(f.done)
	for range f.wake {
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
			f.failLocked(err)
			f.mu.Unlock()
			return
		}
	}
}
