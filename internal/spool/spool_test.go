package spool_test

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/spool"
)

// patientFor is how long an endpoint of these tests waits for an answer to be read.
const patientFor = 3 * time.Second

// errCutOff is the error of an answer that its endpoint has cut off.
var errCutOff = errors.New("cut off by the endpoint")

// answer is an endpoint's answer, of which the connection takes a few bytes at a time. It breaks
// off if nothing is read from it for patientFor.
type answer struct {
	left      []byte
	lastRead  time.Time
	interrupt chan struct{}
}

func newAnswer(body []byte) *answer {
	return &answer{left: body, lastRead: time.Now(), interrupt: make(chan struct{})}
}

func (a *answer) Read(into []byte) (int, error) {
	if time.Since(a.lastRead) > patientFor {
		return 0, errCutOff
	}
	a.lastRead = time.Now()
	if len(a.left) == 0 {
		return 0, io.EOF
	}
	n := copy(into, a.left[:min(len(a.left), 1000)])
	a.left = a.left[n:]
	return n, nil
}

// slowCaller takes 100 bytes at a time, each after a pause.
type slowCaller struct {
	pause time.Duration
	got   bytes.Buffer
}

func (c *slowCaller) Write(data []byte) (int, error) {
	for piece := range slices.Chunk(data, 100) {
		time.Sleep(c.pause)
		c.got.Write(piece)
	}
	return len(data), nil
}

// pass passes the answer on as a gateway does, and returns the most bytes that were held.
func pass(a *answer, to io.Writer, limiter *spool.Limiter) (held int64, err error) {
	s := spool.New(a, limiter)
	w := spool.NewWriter(to, s)
	defer w.Close()
	buffer := make([]byte, 700)
	for {
		n, readErr := s.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return s.Stop(func() { close(a.interrupt) }), err
			}
		}
		if readErr != nil {
			held = s.Stop(func() {})
			if errors.Is(readErr, io.EOF) {
				readErr = nil
			}
			return held, readErr
		}
	}
}

func body(size int) []byte {
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(i * 31 >> 3)
	}
	return out
}

// Many callers take longer for each piece than their endpoints wait: all get their whole answers
// while there is room, and more than the bound is never held.
func TestAnswersOfSlowCallersAreNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, size, limit = 40, 60_000, 4 << 20
		limiter := spool.NewLimiter(limit)
		done := make(chan struct{})
		for range callers {
			go func() {
				defer func() { done <- struct{}{} }()
				caller := &slowCaller{pause: 4 * time.Second}
				if _, err := pass(newAnswer(body(size)), caller, limiter); err != nil || !bytes.Equal(caller.got.Bytes(), body(size)) {
					t.Errorf("%d bytes, %v; want the whole answer", caller.got.Len(), err)
				}
			}()
		}
		for range callers {
			<-done
		}
		if held := limiter.Held(); held != 0 {
			t.Errorf("%d bytes are held when all have ended", held)
		}
	})
}

// Long answers of callers that don't read leave room: a shorter answer beside them is held whole.
func TestLongAnswersLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 256 << 10
		limiter := spool.NewLimiter(limit)
		left := make(chan struct{})
		defer close(left)
		unreading := writerFunc(func([]byte) (int, error) {
			<-left
			return 0, io.ErrClosedPipe
		})
		for range 3 {
			go func() { _, _ = pass(newAnswer(body(1<<20)), unreading, limiter) }()
		}
		time.Sleep(2 * time.Second)
		if held := limiter.Held(); held == 0 || held > limit {
			t.Errorf("%d bytes are held, want some and at most %d", held, limit)
		}
		caller := &slowCaller{pause: 4 * time.Second}
		if _, err := pass(newAnswer(body(20_000)), caller, limiter); err != nil {
			t.Errorf("the short answer ended with %v after %d bytes", err, caller.got.Len())
		}
	})
}

// A caller that leaves ends the reading of its answer, and nothing stays held.
func TestACallerThatLeavesHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := spool.NewLimiter(1 << 20)
		leaving := writerFunc(func([]byte) (int, error) {
			time.Sleep(2 * time.Second)
			return 0, io.ErrClosedPipe
		})
		if _, err := pass(newAnswer(body(100_000)), leaving, limiter); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("%v, want the error of the caller's connection", err)
		}
		if held := limiter.Held(); held != 0 {
			t.Errorf("%d bytes are held after the caller has left", held)
		}
	})
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(data []byte) (int, error) { return f(data) }

// Whatever the pauses of caller and endpoint are, the caller gets the bytes of the answer in
// their order.
func TestTheAnswerIsPassedOnUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(0, 30_000).Draw(rt, "size")
		pause := time.Duration(rapid.IntRange(0, 900).Draw(rt, "pause_ms")) * time.Millisecond
		synctest.Test(t, func(*testing.T) {
			caller := &slowCaller{pause: pause}
			if _, err := pass(newAnswer(body(size)), caller, spool.NewLimiter(1<<20)); err != nil || !bytes.Equal(caller.got.Bytes(), body(size)) {
				rt.Errorf("%d of %d bytes, %v", caller.got.Len(), size, err)
			}
		})
	})
}
