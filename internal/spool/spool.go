// Package spool holds the part of an answer that its caller has not read yet.
//
// An endpoint cuts off an answer that stays unread for some seconds, and is kept at work by one
// that is read slowly. A spool reads the answer on while its caller is slow, up to a bound for
// all answers of the instance. An answer whose caller keeps up passes without a copy.
package spool

import (
	"io"
	"sync"
	"time"
)

const (
	// StallTimeout is how long a write to the caller must be blocked before the answer is read
	// on. Endpoints wait for some seconds.
	StallTimeout = 500 * time.Millisecond
	// maxHeldBytes bounds what one spool holds.
	maxHeldBytes = 1 << 20
	// chunkBytes is the size of one read while the caller is slow.
	chunkBytes = 4 << 10
)

// Spool is a reader of an answer's body. Read is for one goroutine, which also writes what was
// read to the caller. The other methods are safe for concurrent use.
type Spool struct {
	source  io.Reader
	limiter *Limiter

	mu      sync.Mutex
	reading bool // Read reads from source.
	pumping bool // source is read by pump.
	waiting bool // Read waits for pump.
	stopped bool
	queue   [][]byte // Read from source and not by Read yet.
	held    int64    // Bytes in queue.
	maxHeld int64
	err     error // Of source, after queue.
	changed *sync.Cond
	stop    chan struct{} // Closed by Stop.
	ended   chan struct{} // Closed when the latest pump has ended; nil if none was started.
}

// New returns a spool of an answer's body.
func New(source io.Reader, limiter *Limiter) *Spool {
	s := &Spool{source: source, limiter: limiter, stop: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Read implements io.Reader.
func (s *Spool) Read(into []byte) (int, error) {
	if n, err, done := s.readQueue(into); done {
		return n, err
	}
	n, err := s.source.Read(into)
	s.mu.Lock()
	s.reading = false
	s.mu.Unlock()
	return n, err
}

// readQueue reads from the queue, and waits while it is empty and pump reads the answer. If there
// is no pump either, done is false and the caller has to read from source.
func (s *Spool) readQueue(into []byte) (n int, err error, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	for len(s.queue) == 0 && s.err == nil && s.pumping {
		s.changed.Wait()
	}
	s.waiting = false
	switch {
	case len(s.queue) > 0:
	case s.err != nil:
		return 0, s.err, true
	default:
		s.reading = true
		return 0, nil, false
	}
	n = copy(into, s.queue[0])
	s.release(int64(n))
	if s.queue[0] = s.queue[0][n:]; len(s.queue[0]) == 0 {
		s.queue = s.queue[1:]
	}
	s.changed.Broadcast()
	return n, nil, true
}

// release gives n of the held bytes back to the limiter.
func (s *Spool) release(n int64) {
	s.limiter.give(s.held, n)
	s.held -= n
}

// OnStall has the answer read on, until the caller has caught up, because a write to it is blocked.
func (s *Spool) OnStall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading || s.pumping || s.stopped || s.err != nil {
		return
	}
	s.pumping, s.ended = true, make(chan struct{})
	go s.pump(s.ended)
}

// pump reads the answer into the queue until it ends, the caller has caught up, or Stop is called.
func (s *Spool) pump(ended chan<- struct{}) {
	defer close(ended)
	buffer := make([]byte, chunkBytes)
	for s.awaitRoom() {
		n, err := s.source.Read(buffer)
		if s.append(buffer[:n], err) {
			return
		}
	}
}

// awaitRoom waits until the spool may hold one more chunk, which it counts as held. It returns
// false if Stop was called.
func (s *Spool) awaitRoom() bool {
	for {
		retry, ok := s.tryTake()
		if ok {
			return true
		}
		select {
		case <-retry:
		case <-s.stop:
			return false
		}
	}
}

// tryTake counts one more chunk as held if the spool may hold it, and else returns the channel
// that is closed when it may.
func (s *Spool) tryTake() (retry <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held+chunkBytes > maxHeldBytes && !s.stopped {
		s.changed.Wait()
	}
	if s.stopped {
		return s.stop, false
	}
	ok, retry = s.limiter.take(s.held, chunkBytes)
	if ok {
		s.held += chunkBytes
		s.maxHeld = max(s.maxHeld, s.held)
	}
	return retry, ok
}

// append copies what was read to the queue, in place of the chunk that was counted. It reports
// whether pump is done: the answer has ended, or the caller waits for more of it.
func (s *Spool) append(data []byte, err error) (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(chunkBytes - int64(len(data)))
	for len(data) > 0 {
		last := s.lastChunk()
		n := min(len(data), cap(*last)-len(*last))
		*last = append(*last, data[:n]...)
		data = data[n:]
	}
	s.err = err
	s.pumping = err == nil && !s.waiting
	s.changed.Broadcast()
	return !s.pumping
}

// lastChunk returns the last chunk of the queue, which is a new one if the one before is full:
// events are far smaller than a chunk.
func (s *Spool) lastChunk() *[]byte {
	if n := len(s.queue); n == 0 || len(s.queue[n-1]) == cap(s.queue[n-1]) {
		s.queue = append(s.queue, make([]byte, 0, chunkBytes))
	}
	return &s.queue[len(s.queue)-1]
}

// Stop ends the spool: interrupt has to make a read of the answer that is under way return. What
// is still held is dropped. It returns the most bytes that were held.
func (s *Spool) Stop(interrupt func()) (maxHeld int64) {
	s.mu.Lock()
	s.stopped = true
	ended, pumping := s.ended, s.pumping
	s.changed.Broadcast()
	s.mu.Unlock()
	close(s.stop)
	if ended != nil {
		if pumping {
			interrupt()
		}
		<-ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(s.held)
	s.queue = nil
	return s.maxHeld
}

// Writer writes to the caller of a spool's answer, and tells the spool when a write is blocked.
type Writer struct {
	to    io.Writer
	timer *time.Timer
}

// NewWriter returns a Writer to the caller. It has to be closed.
func NewWriter(to io.Writer, s *Spool) *Writer {
	w := &Writer{to: to, timer: time.AfterFunc(time.Hour, s.OnStall)}
	w.timer.Stop()
	return w
}

// Watch runs write, which may be blocked by the caller.
func (w *Writer) Watch(write func() error) error {
	w.timer.Reset(StallTimeout)
	defer w.timer.Stop()
	return write()
}

// Write implements io.Writer.
func (w *Writer) Write(data []byte) (n int, err error) {
	err = w.Watch(func() error {
		n, err = w.to.Write(data)
		return err
	})
	return n, err
}

// Close ends the Writer.
func (w *Writer) Close() { w.timer.Stop() }
