// Package dispatch runs package decide in real time: it owns a Decider, ticks
// it, and delivers each decision to the goroutine that waits for it.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/decide"
)

const (
	// TickInterval is the time between two ticks while requests wait. Submit,
	// Done and Update tick at once in addition, so the interval matters only for
	// what becomes due without such a call: deadlines, and the end of the wait
	// for a session's preferred endpoint.
	TickInterval = 2 * time.Millisecond
	// IdleTickInterval is the time between two ticks while no request waits.
	// The only change that depends on time alone then is the return of ejected
	// endpoints to use. TickInterval would wake an idle instance 500 times a
	// second and use a good part of the CPU time allotted to its control work.
	IdleTickInterval = 100 * time.Millisecond
)

// ErrStopped is returned by Submit after Close.
var ErrStopped = eris.New("dispatch: dispatcher is closed")

// Refusal is the error for a request that was refused; it did not run.
type Refusal struct {
	Code       decide.Code
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "dispatch: request refused: " + string(r.Code) }

// Placement is a started request, at the named endpoint. Done must be called
// once.
type Placement struct {
	Endpoint string
	id       decide.RequestID
	d        *Dispatcher
}

// Done ends the attempt with its result and frees its slot.
func (p *Placement) Done(result decide.Result) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.decider.Finish(p.id, result)
	p.d.tick()
}

// ObserveFirstToken records that the attempt's first token came that long
// after its start. It must be called once for a model request that has one.
func (p *Placement) ObserveFirstToken(after time.Duration) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.decider.ObserveFirstToken(p.id, after)
}

// Dispatcher makes the decisions for one instance. It is safe for concurrent
// use.
type Dispatcher struct {
	mu            sync.Mutex
	decider       *decide.Decider
	waiters       map[decide.RequestID]chan decide.Decision // The goroutines in Submit; buffered for one decision.
	lastID        decide.RequestID
	origin        time.Time     // The zero of Now.
	requestQueued chan struct{} // Wakes the idle loop when a request begins to wait.
	stop          chan struct{}
	loop          sync.WaitGroup
}

// New starts a Dispatcher with the default options. Close must be called.
func New() *Dispatcher { return NewWithOptions(decide.Options{}) }

// NewWithOptions starts a Dispatcher. Close must be called.
func NewWithOptions(opts decide.Options) *Dispatcher {
	d := &Dispatcher{
		decider:       decide.New(opts),
		waiters:       map[decide.RequestID]chan decide.Decision{},
		origin:        time.Now(),
		requestQueued: make(chan struct{}, 1),
		stop:          make(chan struct{}),
	}
	d.loop.Add(1)
	go d.tickLoop()
	return d
}

// Close ends the ticks and waits for their goroutine. Waiting requests get
// ErrStopped. It must be called once.
func (d *Dispatcher) Close() {
	close(d.stop)
	d.loop.Wait()
}

// Now returns the Decider's time, which counts from the start of the
// Dispatcher.
func (d *Dispatcher) Now() decide.Time { return time.Since(d.origin) }

// Update calls change with the Decider locked, and ticks. change must not
// keep the Decider.
func (d *Dispatcher) Update(change func(*decide.Decider)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.decider)
	d.tick()
}

// Submit waits for the decision on a request and sets its ID. The error is a
// *Refusal, ErrStopped, or that of ctx; in each case the request did not run.
func (d *Dispatcher) Submit(ctx context.Context, r decide.Request) (*Placement, error) {
	decision := make(chan decide.Decision, 1)
	d.mu.Lock()
	d.lastID++
	r.ID = d.lastID
	d.waiters[r.ID] = decision
	d.decider.Submit(r)
	d.tick()
	queued := d.decider.Queued() > 0
	d.mu.Unlock()
	if queued {
		select {
		case d.requestQueued <- struct{}{}:
		default:
		}
	}
	select {
	case got := <-decision:
		return d.result(got)
	case <-ctx.Done():
		return nil, d.abandon(r.ID, decision, ctx.Err())
	case <-d.stop:
		return nil, d.abandon(r.ID, decision, ErrStopped)
	}
}

// result converts a decision to the result of Submit.
func (d *Dispatcher) result(got decide.Decision) (*Placement, error) {
	if got.Kind == decide.Refuse {
		return nil, &Refusal{Code: got.Code, RetryAfter: got.RetryAfter}
	}
	return &Placement{Endpoint: got.Endpoint, id: got.Request, d: d}, nil
}

// abandon withdraws a request and returns err. If it was started meanwhile,
// its slot is freed unused.
func (d *Dispatcher) abandon(id decide.RequestID, decision <-chan decide.Decision, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiters, id)
	select {
	case got := <-decision:
		if got.Kind == decide.Start {
			d.decider.Finish(id, decide.Result{})
		}
	default:
		d.decider.Cancel(id)
	}
	return err
}

// tickLoop ticks until Close.
func (d *Dispatcher) tickLoop() {
	defer d.loop.Done()
	timer := time.NewTimer(IdleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-d.requestQueued:
		case <-d.stop:
			return
		}
		timer.Reset(d.tickOnTimer())
	}
}

// tickOnTimer ticks and returns the time until the next tick.
func (d *Dispatcher) tickOnTimer() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick()
	if d.decider.Queued() == 0 {
		return IdleTickInterval
	}
	return TickInterval
}

// tick ticks the Decider and delivers its decisions. d.mu must be held.
func (d *Dispatcher) tick() {
	for _, decision := range d.decider.Tick(d.Now()) {
		waiter, ok := d.waiters[decision.Request]
		if !ok {
			continue
		}
		delete(d.waiters, decision.Request)
		waiter <- decision
	}
}
