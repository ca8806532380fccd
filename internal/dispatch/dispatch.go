// Package dispatch runs the decisions of package decide against the clock: it
// owns a Decider, ticks it, and hands each decision to the goroutine that
// waits for it.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/decide"
)

const (
	// TickInterval is the pause between two ticks while requests wait. Every
	// Submit, Done and Update also ticks at once, so this one is for what time
	// alone decides: deadlines, and the wait for a session's own endpoint.
	TickInterval = 2 * time.Millisecond
	// IdleTickInterval is the pause while nothing waits: then time only lets
	// endpoints back in that were found slow. Harm prevented: 500 wake-ups a
	// second of a quiet instance, a good part of its allowance for control.
	IdleTickInterval = 100 * time.Millisecond
)

// ErrStopped is returned by Submit after Close.
var ErrStopped = eris.New("dispatch: stopped")

// Refusal is the final answer to a request that did not run.
type Refusal struct {
	Code       decide.Code
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "dispatch: refused: " + string(r.Code) }

// Placement is a started request. Done must be called once.
type Placement struct {
	Endpoint string
	id       decide.RequestID
	d        *Dispatcher
}

// Done tells how the attempt ended and frees its slot.
func (p *Placement) Done(result decide.Result) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.decider.Finish(p.id, result)
	p.d.tick()
}

// ObserveFirstToken tells that the attempt's first token came so long after its
// start. Model requests call it, once.
func (p *Placement) ObserveFirstToken(after time.Duration) {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	p.d.decider.ObserveFirstToken(p.id, after)
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	mu            sync.Mutex
	decider       *decide.Decider
	waiters       map[decide.RequestID]chan decide.Decision
	lastID        decide.RequestID
	origin        time.Time
	requestQueued chan struct{} // Wakes the idle loop when a request begins to wait.
	stop          chan struct{}
	loop          sync.WaitGroup
}

// New starts a Dispatcher with the default options.
func New() *Dispatcher { return NewWithOptions(decide.Options{}) }

// NewWithOptions starts a Dispatcher.
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

// Close stops the ticks. Waiting requests get ErrStopped.
func (d *Dispatcher) Close() {
	close(d.stop)
	d.loop.Wait()
}

// Now returns the Decider's time.
func (d *Dispatcher) Now() decide.Time { return time.Since(d.origin) }

// Update changes the Decider's tables.
func (d *Dispatcher) Update(change func(*decide.Decider)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.decider)
	d.tick()
}

// Submit waits for the request's decision. It sets r.ID. The error is a
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

func (d *Dispatcher) result(got decide.Decision) (*Placement, error) {
	if got.Kind == decide.Refuse {
		return nil, &Refusal{Code: got.Code, RetryAfter: got.RetryAfter}
	}
	return &Placement{Endpoint: got.Endpoint, id: got.Request, d: d}, nil
}

// abandon withdraws a request. If its start was decided meanwhile, the slot
// is given back unused.
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

// tickOnTimer ticks and returns the pause until the next tick.
func (d *Dispatcher) tickOnTimer() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick()
	if d.decider.Queued() == 0 {
		return IdleTickInterval
	}
	return TickInterval
}

// tick runs the systems and delivers their decisions. d.mu is held.
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
