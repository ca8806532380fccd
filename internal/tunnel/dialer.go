package tunnel

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"guavapier/internal/dial"
	"guavapier/internal/peer"
)

const (
	// nextWayDelay is how long one way to connect may take before the next one is tried
	// beside it. Round trips take under 10 ms.
	nextWayDelay = 60 * time.Millisecond
	// openTimeout bounds one request for a tunnel; the instance that is asked gives up on the
	// endpoint earlier.
	openTimeout = serverDialTimeout + 50*time.Millisecond
	// maxAsked bounds the instances that are asked for one connection.
	maxAsked = 3
	// enoughConfirmations is how many instances have to fail to connect to an endpoint before
	// it counts as unreachable: one of them may have lost its link to it as well. One refusal
	// is enough for an instance that has links to other endpoints.
	enoughConfirmations = 2
)

// ErrUnreachable is returned if the endpoint can't be connected to by the own link and no
// instance has opened a tunnel to it.
var ErrUnreachable = eris.New("tunnel: no way to the endpoint")

// Dialer connects to endpoints by the own link, or through other instances where that fails.
// All fields must be set.
type Dialer struct {
	Direct     dial.Func
	Open       OpenFunc
	Links      Links
	Candidates *Candidates
	// IsCongested reports whether the own link is too loaded for tunnels, which use it too.
	IsCongested func() bool
	// OnOpened is called when a tunnel has been faster than the own link, or its only
	// replacement.
	OnOpened func()
	Clock    func() time.Duration // Monotonic time since an arbitrary start.
	Log      zerolog.Logger       // For lines about single tunnels; rate limited.
}

// Dial connects to the endpoint at address (IP:port). An error is syscall.ECONNREFUSED only if
// the endpoint's host is known to refuse connections, which a lost link can look like.
func (d *Dialer) Dial(ctx context.Context, endpoint, address string) (net.Conn, error) {
	if d.Candidates.IsEmpty() || d.IsCongested() {
		return d.DialDirect(ctx, endpoint, address)
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &race{Dialer: d, ctx: ctx, endpoint: endpoint, address: address, results: make(chan wayResult, 1+maxAsked), directDone: !d.Links.HasLink(endpoint)}
	conn, err := r.run()
	cancel()
	go r.closeRest()
	return conn, err
}

// DialDirect connects to the endpoint by the own link only.
func (d *Dialer) DialDirect(ctx context.Context, endpoint, address string) (net.Conn, error) {
	conn, err := d.Direct(ctx, "tcp", address)
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		d.Links.RecordLink(endpoint, err)
	}
	return conn, err
}

// race tries the ways to an endpoint one after the other, each a little after the one before
// it or when that has failed. The first connection is used.
type race struct {
	*Dialer
	ctx               context.Context // Ends with the race.
	endpoint, address string
	results           chan wayResult
	pending           int      // Ways that were started and have no result yet.
	directDone        bool     // The own link was tried, or is known to be lost.
	asked             []string // Names of the instances that were asked.
	confirmations     int      // Instances that could not connect to the endpoint either.
	refusedThere      bool     // The endpoint's host refused one of them.
	directErr         error    // Of the own link.
}

// wayResult is the result of one way. status is that of the instance that was asked; it is 0
// for the own link and if the instance did not reply.
type wayResult struct {
	conn      net.Conn
	err       error
	candidate *Candidate // Nil for the own link.
	status    peer.TunnelStatus
}

// run returns the first connection, or an error when no way is left.
func (r *race) run() (net.Conn, error) {
	r.startNext()
	delay := time.NewTicker(nextWayDelay)
	defer delay.Stop()
	for r.pending > 0 {
		select {
		case <-r.ctx.Done():
			return nil, r.ctx.Err()
		case <-delay.C:
			r.startNext()
		case result := <-r.results:
			r.pending--
			if result.conn != nil {
				if result.candidate != nil {
					r.OnOpened()
				}
				return result.conn, nil
			}
			r.observe(result)
			if r.isRefused() {
				return nil, r.failure()
			}
			r.startNext()
		}
	}
	return nil, r.failure()
}

// startNext starts the next way, if there is one.
func (r *race) startNext() {
	if !r.directDone {
		r.directDone = true
		r.pending++
		go r.dialLink()
		return
	}
	if len(r.asked) >= maxAsked || r.confirmations >= enoughConfirmations {
		return
	}
	candidate, ok := r.Candidates.Next(r.asked, r.Clock())
	if !ok {
		return
	}
	r.asked = append(r.asked, candidate.Name)
	r.pending++
	go r.ask(candidate)
}

// dialLink connects by the own link. It goes on for linkTimeout when the race is over, so that
// a lost link is noticed.
func (r *race) dialLink() {
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.ctx))
	defer cancel()
	stop := context.AfterFunc(r.ctx, func() { time.AfterFunc(linkTimeout, cancel) })
	defer stop()
	conn, err := r.Direct(ctx, "tcp", r.address)
	r.Links.RecordLink(r.endpoint, err)
	r.results <- wayResult{conn: conn, err: err}
}

// ask asks an instance for a tunnel.
func (r *race) ask(candidate Candidate) {
	ctx, cancel := context.WithTimeout(r.ctx, openTimeout)
	defer cancel()
	conn, status, err := r.Open(ctx, candidate.Address, r.endpoint)
	result := wayResult{err: err, candidate: &candidate, status: status}
	if conn != nil {
		r.Candidates.Opened(candidate.Name)
		result.conn = newConn(conn, candidate.Name, r.Candidates)
	}
	r.results <- result
}

// observe takes account of a way that has failed.
func (r *race) observe(result wayResult) {
	if result.candidate == nil {
		r.directErr = result.err
		return
	}
	r.Log.Debug().Err(result.err).Str("endpoint", r.endpoint).Str("instance", result.candidate.Name).Stringer("status", result.status).
		Msg("tunnel: not opened")
	switch result.status {
	case peer.TunnelRefused:
		r.refusedThere = true
		r.confirmations++
	case peer.TunnelTimeout:
		r.confirmations++
	case peer.TunnelUnknownEndpoint:
	default:
		r.Candidates.LeaveOut(result.candidate.Name, r.Clock())
	}
}

// isRefused reports whether enough instances have found that the endpoint's host refuses
// connections.
func (r *race) isRefused() bool {
	return r.refusedThere && (r.confirmations >= enoughConfirmations || r.directErr != nil && r.Links.HasAnyLink())
}

// failure returns the error of a race without a connection.
func (r *race) failure() error {
	refusedHere := errors.Is(r.directErr, syscall.ECONNREFUSED) && (r.confirmations > 0 || r.Links.HasAnyLink())
	if refusedHere || r.refusedThere {
		return errors.Join(ErrUnreachable, syscall.ECONNREFUSED)
	}
	return eris.Wrapf(ErrUnreachable, "tunnel: own link: %v; instances asked: %d", r.directErr, len(r.asked))
}

// closeRest closes the connections of ways that succeed after the race is over.
func (r *race) closeRest() {
	for range r.pending {
		if result := <-r.results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}
