// Package forward serves one caller's request from its arrival to the final answer: it
// matches the route, checks the key, reserves tokens, selects an endpoint, retries and
// streams the answer. The request's content is opaque to it, and a Codec translates the
// header fields that HTTP does not define.
//
// A request has one of three outcomes. Answered: the caller receives the endpoint's answer
// unchanged. Not run: the status promises that the request has not run and never will.
// Unknown: the request may have run. "Not run" is reported only if no attempt can have run.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/origin"
	"guavapier/internal/placement"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
	"guavapier/internal/retry"
	"guavapier/internal/route"
	"guavapier/internal/spool"
	"guavapier/internal/upload"
	"guavapier/internal/upstream"
)

// Forwarder is the HTTP handler for callers' requests: it forwards each to an endpoint
// of the service that its route selects. All fields must be set.
type Forwarder struct {
	Zone      string // Availability zone of this instance.
	Codec     Codec
	State     func() *route.Config // Returns nil until a desired state is loaded.
	Budgets   Budgets
	Endpoints *placement.Table
	Retries   *retry.Limiter
	// Origins keeps where streams began.
	Origins Origins
	// Quarantine rejects requests that crash endpoints.
	Quarantine Quarantine
	Pool       *upstream.Pool
	Permits    Permits
	// Processes tells whether an endpoint has started again.
	Processes Processes
	// Uploads bounds what is held of requests' bodies.
	Uploads *upload.Limiter
	// SlowReaders bounds what is held of answers whose callers read slowly.
	SlowReaders *spool.Limiter
	// OnStatement is called when an answer has stated something new of an endpoint.
	OnStatement func(endpoint string)
	Clock       func() time.Duration // Monotonic time since an arbitrary start.
	// ClosesConnections reports whether answers carry Connection: close, so that callers
	// move to other instances: this one is draining, outdated, overloaded on its link, or
	// reaches no endpoint.
	ClosesConnections func() bool
	// IsOutdated reports whether this instance's data is older than that of other instances
	// that callers can reach.
	IsOutdated func() bool
	// ShutdownTime returns when this instance shuts down. It is zero until the last part
	// of a drain, so that callers first have time to move to other instances.
	ShutdownTime func() time.Time
	// IsForceClosing reports whether the drain has timed out and this instance closes
	// callers' connections with requests in progress. A connection that ends then was not
	// closed by its caller.
	IsForceClosing func() bool
	Log            zerolog.Logger
	RoutineLog     zerolog.Logger // For lines about requests that were served well.
	// OnRequestEnd is called once for each request when it has ended.
	OnRequestEnd func(RequestSummary)
	// OnPlaced is called before each attempt is sent.
	OnPlaced func(*placement.Assignment)
}

// RequestSummary describes an ended request, for metrics.
type RequestSummary struct {
	Route        string // "" if none matched.
	Status       int    // HTTP status sent; 0 if the connection was aborted.
	Reason       Reason // Of the refusal or the last failed attempt; "" if the first attempt was answered.
	Attempts     int
	Duration     time.Duration
	TimeToHeader time.Duration // From arrival to sending the header of an endpoint's answer; 0 if there was none.
}

// call is the state of one request while it is served.
type call struct {
	Request
	f       *Forwarder
	w       http.ResponseWriter
	config  *route.Config
	route   *route.Route
	org     *route.Organisation
	service string
	body    [][]byte       // In pieces.
	upload  *upload.Upload // nil before the body is read, or if there is none.

	start        time.Time
	deadline     time.Time // Earlier of the caller's and the route's timeout.
	tried        []string  // IDs of the endpoints that were tried.
	reachedCount int       // Endpoints that got the request, if it was meant for them.
	crashes      int       // Endpoints that crashed while serving it.
	mayHaveRun   bool      // An endpoint may have run the request.
	attempts     int
	events       int64 // Stream events sent to the caller; output tokens for a buffered answer.
	// origin is where the stream began that this request continues, or whose first event was
	// sent in this answer; nil for none. Only endpoints of its service and version get the
	// request.
	origin         *origin.Origin
	originRecorded bool // The origin was recorded for later tries of the caller.
	// originAmbiguous is set when the endpoint may have been replaced by one of another version
	// while it served the stream.
	originAmbiguous bool
	lastEventID     string
	resumedAfter    string // ID of the event after which the last attempt resumed a stream; "" for none.
	headerSent      bool   // The answer's status and header were sent to the caller.
	timeToHeader    time.Duration
	reason          Reason
	endpoint        string
	version         string // Software version of the endpoint of the last attempt.
	via             string // Name of the instance through which the last attempt was sent; "" for the own link.
	phase           phase
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, start: time.Now()}
	if f.ClosesConnections() {
		w.Header().Set("Connection", "close")
	}
	defer c.releaseBody()
	returned := false
	defer func() {
		if !returned {
			c.recordEnd(0) // The connection was aborted by a panic.
		}
	}()
	status := c.serve(r)
	returned = true
	c.recordEnd(status)
}

// serve answers the request and returns the status that was sent.
func (c *call) serve(r *http.Request) int {
	refused := c.admit(r)
	if refused != nil {
		c.limitRest(r)
		return c.refuse(refused)
	}
	if c.mayOutliveInstance() {
		return c.refuse(notRun(ReasonShuttingDown, defaultRetryAfter)) // Refused before it waits for tokens.
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.continuesStream() {
		if refused := c.findOrigin(ctx); refused != nil {
			return c.refuse(refused)
		}
	}
	if quarantined := c.checkQuarantine(ctx); quarantined != nil {
		return c.refuse(quarantined)
	}
	reserved, refused := c.reserve(ctx)
	if refused != nil {
		return c.refuse(refused)
	}
	if reserved != nil {
		defer func() { reserved.Settle(c.chargedTokens(reserved.Tokens())) }()
	}
	return c.forward(ctx, r.Context())
}

// refuse sends the refusal and returns its status.
func (c *call) refuse(r *refusal) int {
	c.reason = r.reason
	r.write(c.w)
	return r.status
}

// abortDisconnected ends a request whose caller has disconnected by aborting the
// connection. A caller that closed only its sending side still reads, and if the handler
// returned normally the server would send it an empty 200 that no endpoint gave.
func (c *call) abortDisconnected() {
	c.reason = c.disconnectReason()
	c.abort()
}

// disconnectReason tells a caller that disconnected from a connection that this instance
// closed at the end of its drain.
func (c *call) disconnectReason() Reason {
	if c.f.IsForceClosing() {
		return ReasonDrainTimeout
	}
	return ReasonCallerDisconnected
}

// abort closes the connection so that a partial answer can't be taken for a complete one.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// content returns the parts of the request by which the quarantine recognises it when it
// is sent again.
func (c *call) content() quarantine.Content {
	return quarantine.Content{Organisation: c.team(), Method: c.Method, Host: c.Host, Target: c.Target, Body: c.body, Parts: c.sharedParts()}
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share: all
// but the last one, which belongs to the request or its session.
func (c *call) sharedParts() []string {
	var ids []string
	for i := range len(c.PromptParts) - 1 {
		ids = append(ids, c.PromptParts[i].ID)
	}
	return ids
}

// team returns the name of the request's organisation, or "" if it has none.
func (c *call) team() record.Team {
	if c.org == nil {
		return ""
	}
	return c.org.Name
}
