package upload_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/membudget"
	"guavapier/internal/upload"
)

// newLimiter returns a limiter of 8 MiB, an eighth of which only short bodies can take.
func newLimiter() *upload.Limiter {
	budget := membudget.New(8 << 20)
	return upload.NewLimiter(budget.NewPart(0.125), budget.NewPart(0.5), 0, 0)
}

// callerTime is how long a caller waits for its answer.
const callerTime = 10 * time.Second

// caller sends a body in pieces, each after a pause, and then stops for a while.
type caller struct {
	left, piece int
	pause, stop time.Duration
	interrupted chan struct{}
	deadline    time.Time // Of reads.
}

func newCaller(size, piece int, pause, stop time.Duration) *caller {
	return &caller{left: size, piece: piece, pause: pause, stop: stop, interrupted: make(chan struct{}), deadline: time.Now().Add(callerTime)}
}

func (c *caller) interrupt() { close(c.interrupted) }

func (c *caller) Read(into []byte) (int, error) {
	pause := c.pause
	if c.left == 0 {
		pause = c.stop
	}
	if pause > 0 {
		select {
		case <-c.interrupted:
			return 0, os.ErrDeadlineExceeded
		case <-time.After(min(pause, time.Until(c.deadline))):
		}
		if !time.Now().Before(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := min(c.left, c.piece, len(into))
	if c.left -= n; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// result is what became of a body.
type result struct {
	owner string
	took  time.Duration
	err   error
}

// send has a caller's body received. It is held for a while if it is complete.
func send(l *upload.Limiter, owner string, c *caller, hold time.Duration, results chan<- result) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	start := time.Now()
	u := l.Begin(owner, c.interrupt)
	defer u.End()
	_, err := u.Receive(ctx, c, -1, 4<<20)
	results <- result{owner, time.Since(start), err}
	if err == nil {
		time.Sleep(hold)
	}
}

// Guards against bodies that exhaust the memory of an instance: many long ones, at once or after
// each other, of callers that stop before the end. Short bodies beside them are received at once.
func TestLongBodiesLeaveRoomForShortOnes(t *testing.T) {
	for name, long := range map[string]func() *caller{
		"that arrive fast": func() *caller { return newCaller(4<<20, 64<<10, time.Millisecond, 0) },
		"that stop":        func() *caller { return newCaller(4<<20, 64<<10, time.Millisecond, time.Hour) },
		"that drip":        func() *caller { return newCaller(4<<20, 100, 300*time.Millisecond, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLongAndShort(t, long) })
		})
	}
}

// playLongAndShort sends many long bodies and short ones beside them.
func playLongAndShort(t *testing.T, long func() *caller) {
	const longCallers, shortCallers = 150, 50
	l := newLimiter()
	results, ignored := make(chan result, shortCallers), make(chan result, longCallers)
	for range longCallers {
		go send(l, "org", long(), 50*time.Millisecond, ignored)
	}
	for range shortCallers {
		time.Sleep(20 * time.Millisecond)
		go send(l, "org", newCaller(2<<10, 2<<10, 0, 0), 50*time.Millisecond, results)
	}
	for range shortCallers {
		if got := <-results; got.err != nil || got.took > 100*time.Millisecond {
			t.Errorf("a short body was received after %s, %v", got.took, got.err)
		}
	}
	for range longCallers {
		<-ignored
	}
	time.Sleep(time.Second) // Those that are held end.
	if held := l.Held(); held != 0 {
		t.Errorf("%d bytes are held after the end", held)
	}
}

// Guards against slow bodies that take up all connections.
func TestTooManyArrivingBodiesEndASlowOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxArriving = 10
		budget := membudget.New(8 << 20)
		l := upload.NewLimiter(budget.NewPart(0.5), budget.NewPart(0.5), 0, maxArriving)
		results := make(chan result, 2*maxArriving)
		for range maxArriving {
			go send(l, "org", newCaller(1000, 1, time.Second, 0), 0, results)
		}
		time.Sleep(2 * time.Second)
		send(l, "org", newCaller(1000, 1000, time.Millisecond, 0), 0, results)
		evicted, got := <-results, <-results
		if got.err != nil || !errors.Is(evicted.err, upload.ErrEvicted) {
			t.Errorf("%v, then %v; want a slow body to be evicted, and the fast one to arrive", evicted.err, got.err)
		}
		for range maxArriving - 1 {
			<-results
		}
	})
}

// Guards against bodies that evict each other and are never completed.
func TestSomeOfManyLongBodiesAreCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, minComplete = 40, 1
		l := newLimiter()
		results := make(chan result, callers)
		for range callers {
			go send(l, "org", newCaller(4<<20, 16<<10, time.Millisecond, 0), 10*time.Millisecond, results)
		}
		complete := 0
		for range callers {
			if got := <-results; got.err == nil {
				complete++
			} else if !errors.Is(got.err, upload.ErrEvicted) && !errors.Is(got.err, upload.ErrNoRoom) {
				t.Errorf("%v", got.err)
			}
		}
		if complete < minComplete {
			t.Errorf("%d of %d bodies were completed, want at least %d", complete, callers, minComplete)
		}
		time.Sleep(time.Second) // Those that are held end.
	})
}

// Guards against an owner that keeps others out: one with a single long body gets it received
// beside another that sends many.
func TestTheOwnerThatHoldsMostLosesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter()
		results, ignored := make(chan result, 1), make(chan result, 100)
		for range 10 {
			go send(l, "large", newCaller(4<<20, 16<<10, 5*time.Millisecond, 0), time.Millisecond, ignored)
		}
		time.Sleep(500 * time.Millisecond)
		send(l, "small", newCaller(1<<20, 16<<10, 5*time.Millisecond, 0), 0, results)
		if got := <-results; got.err != nil {
			t.Errorf("the body of the owner that holds less: %v", got.err)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a limit that a slow caller meets where memory isn't short.
func TestASlowBodyIsReceivedInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := make(chan result, 1)
		send(newLimiter(), "org", newCaller(3000, 100, 300*time.Millisecond, 0), 0, results)
		if got := <-results; got.err != nil {
			t.Errorf("%v after %s", got.err, got.took)
		}
	})
}

// Guards against long bodies that fill the link: together they arrive at the pace that is set, and
// short ones beside them at once.
func TestLongBodiesAreReadAtAPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodies, bytesPerSecond = 3, 4 << 20
		budget := membudget.New(64 << 20)
		l := upload.NewLimiter(budget.NewPart(0.1), budget.NewPart(0.5), bytesPerSecond, 0)
		results := make(chan result, bodies+1)
		for range bodies {
			go send(l, "org", newCaller(4<<20, 64<<10, 0, 0), 0, results)
		}
		time.Sleep(time.Millisecond)
		send(l, "org", newCaller(2<<10, 2<<10, 0, 0), 0, results)
		if got := <-results; got.err != nil || got.took > 0 {
			t.Errorf("the short body was received after %s, %v", got.took, got.err)
		}
		longest := time.Duration(0)
		for range bodies {
			got := <-results
			longest = max(longest, got.took)
			if got.err != nil {
				t.Error(got.err)
			}
		}
		if longest < time.Second || longest > 3*time.Second {
			t.Errorf("12 MiB took %s at 4 MiB a second after a burst of 4 MiB, want about 2 s", longest)
		}
	})
}

// Whatever the pieces are in which a body arrives, it is received unchanged, and one that is
// longer than the maximum is not.
func TestABodyIsReceivedUnchanged(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(0, 300_000).Draw(rt, "size")
		maxBytes := int64(rapid.IntRange(1, 300_000).Draw(rt, "max"))
		length := int64(-1)
		if rapid.Bool().Draw(rt, "stated") {
			length = int64(size)
		}
		sent := make([]byte, size)
		for i := range sent {
			sent[i] = byte(i * 31 >> 3)
		}
		l := newLimiter()
		u := l.Begin("org", func() {})
		defer u.End()
		source := &pieceReader{data: sent, piece: rapid.IntRange(1, 100_000).Draw(rt, "piece")}
		pieces, err := u.Receive(context.Background(), source, length, maxBytes)
		if tooLarge := int64(size) > maxBytes; tooLarge != errors.Is(err, upload.ErrTooLarge) || !tooLarge && err != nil {
			rt.Fatalf("%d bytes, %d at most: %v", size, maxBytes, err)
		}
		if got := bytes.Join(pieces, nil); err == nil && !bytes.Equal(got, sent) {
			rt.Fatalf("received %d bytes, which differ from the %d that were sent", len(got), size)
		}
		if held := l.Held(); err == nil && held > 2*int64(size)+4096 {
			rt.Fatalf("%d bytes are held for a body of %d", held, size)
		}
	})
}

// pieceReader returns data in pieces.
type pieceReader struct {
	data  []byte
	piece int
}

func (r *pieceReader) Read(into []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(len(into), r.piece)], r.data)
	r.data = r.data[n:]
	return n, nil
}
