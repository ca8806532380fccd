package dispatch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"guavapier/internal/decide"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newDispatcher(t *testing.T, slots int) *Dispatcher {
	d := New()
	t.Cleanup(d.Close)
	d.Update(func(x *decide.Decider) {
		x.SetEndpoints([]decide.Endpoint{{Name: "e", Models: []string{"m"}, Slots: slots, Weight: 1}})
	})
	return d
}

func request(d *Dispatcher, wait time.Duration) decide.Request {
	return decide.Request{Model: "m", Priority: decide.PriorityInteractive, Deadline: d.Now() + wait}
}

// TestManyCallers checks that each of many concurrent callers gets exactly
// one answer, and that no more requests run than there are slots.
func TestManyCallers(t *testing.T) {
	const callers, slots = 200, 4
	d := newDispatcher(t, slots)
	var group sync.WaitGroup
	var mu sync.Mutex
	running, started, refused := 0, 0, 0
	for range callers {
		group.Go(func() {
			p, err := d.Submit(t.Context(), request(d, time.Minute))
			mu.Lock()
			defer mu.Unlock()
			var refusal *Refusal
			if errors.As(err, &refusal) {
				refused++
				return
			}
			if running++; running > slots || err != nil {
				t.Errorf("%d requests running, error %v", running, err)
			}
			started++
			group.Go(func() {
				mu.Lock()
				running--
				mu.Unlock()
				p.ObserveFirstToken(time.Millisecond)
				p.Done(decide.Result{FirstToken: time.Millisecond, Total: 2 * time.Millisecond, Tokens: 1})
			})
		})
	}
	group.Wait()
	if started+refused != callers || started < slots {
		t.Fatalf("%d requests started and %d refused of %d", started, refused, callers)
	}
}

// TestCallerLeaves checks that a caller who leaves while queued, or at the
// moment when the request starts, does not leave its slot taken.
func TestCallerLeaves(t *testing.T) {
	d := newDispatcher(t, 1)
	first, err := d.Submit(t.Context(), request(d, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		if p, err := d.Submit(ctx, request(d, time.Minute)); err == nil {
			t.Fatalf("request started while the only slot was taken: %+v", p)
		}
		cancel()
	}
	first.Done(decide.Result{Total: time.Millisecond})
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		go cancel()
		if p, err := d.Submit(ctx, request(d, time.Minute)); err == nil {
			p.Done(decide.Result{Total: time.Millisecond})
		}
		cancel()
	}
	last, err := d.Submit(t.Context(), request(d, time.Minute))
	if err != nil {
		t.Fatalf("the slot was not freed: %v", err)
	}
	last.Done(decide.Result{Total: time.Millisecond})
}

// TestClose checks that waiting callers get ErrStopped; TestMain checks that
// no goroutine is left.
func TestClose(t *testing.T) {
	d := New()
	d.Update(func(x *decide.Decider) {
		x.SetEndpoints([]decide.Endpoint{{Name: "e", Models: []string{"m"}, Slots: 1, Weight: 1}})
	})
	p, err := d.Submit(t.Context(), request(d, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error)
	go func() {
		_, err := d.Submit(t.Context(), request(d, time.Minute))
		ended <- err
	}()
	for queued := 0; queued == 0; {
		d.Update(func(x *decide.Decider) { queued = x.Queued() })
	}
	d.Close()
	if err := <-ended; !errors.Is(err, ErrStopped) {
		t.Fatalf("Submit after Close returned %v, want ErrStopped", err)
	}
	p.Done(decide.Result{Total: time.Millisecond})
}
