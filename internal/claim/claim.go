// Package claim decides which run answers a request, whatever its retries: one
// claim per request key, joined by every retry.
//
// A claim shard (home zone of the session, ledger partition of the key) has one
// holder at a time, by a record.Shard on the log. A claim counts only when it
// stands in two places: holder and witness, or holder and log. A request that
// may not be repeated starts only on a counted claim, once.
package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of Begin.
var (
	// ErrKeyReused says that the key was used with another body.
	ErrKeyReused = eris.New("claim: idempotency key used with another body")
	// ErrNotCounted says that the claim stands in too few places to count, and
	// that no earlier attempt has run: the request has not run.
	ErrNotCounted = eris.New("claim: not counted")
	// ErrUnknown says that an earlier attempt may have run.
	ErrUnknown = eris.New("claim: outcome unknown")
)

// Request is what Begin needs to know.
type Request struct {
	Key    record.RequestKey
	Digest uint64 // Hash of the request's body.
	// Home is the session's home zone; empty for a request without a session.
	// It must be the same in all attempts: it chooses the shard.
	Home       record.Zone
	Repeatable bool
	// First is the caller's promise that it has made no attempt before.
	First bool
	// Minted says that the entry drew the key itself, so that no retry can
	// name the request again. A repeatable one then needs no claim.
	Minted bool
	// Lost is the run that this attempt joined before and found at no endpoint.
	// A repeatable request takes it over where its runner is gone or does not
	// know it. Empty for none.
	Lost record.RunID
}

// Answer is a plain service's whole answer, kept for retries.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Ticket is the answer to Begin: run it, or join the run there is.
type Ticket struct {
	Run record.RunID
	// Join is true where another attempt has the run already.
	Join bool
	// Outcome is set for a joined run that has ended.
	Outcome record.Outcome
	// Answer is the joined run's answer, where the holder still has a copy.
	Answer *Answer
	// Runner and Endpoint say where a joined run is. Endpoint is empty until
	// it was placed.
	Runner   record.InstanceID
	Endpoint string
	// RunnerGone says that the runner does not answer the holder.
	RunnerGone bool
	// Uncounted says that the holder was out of reach: the run may have a
	// twin. Only repeatable requests get such a ticket.
	Uncounted bool
}

// End is how a run ended.
type End struct {
	Run record.RunID
	// Outcome answered or unknown is final; not run frees the key.
	Outcome record.Outcome
	// Answer is kept for retries up to MaxAnswerBytes; nil for none.
	Answer *Answer
	// Endpoint is where the run was placed last; empty where it is not known.
	// Place may be lost or arrive after the end.
	Endpoint string
}

// Claims is what a run needs.
type Claims interface {
	// Begin claims a request or joins its run. It ends by its own bound.
	Begin(ctx context.Context, r Request) (Ticket, error)
	// Place tells where the run is sent, before it is sent. It does not block.
	Place(ctx context.Context, key record.RequestKey, endpoint string)
	// End tells the run's final outcome. It does not block.
	End(ctx context.Context, key record.RequestKey, end End)
}

// joinPollInterval is the time between two looks at a joined run.
const joinPollInterval = 50 * time.Millisecond

// BeginOrJoin begins a request and waits for the end of a run that it joins:
// the ticket is its caller's own to run, or has an outcome. Where the joined
// run does not end before ctx, or its runner is gone, the error is ErrUnknown.
func BeginOrJoin(ctx context.Context, claims Claims, r Request) (Ticket, error) {
	for {
		ticket, err := claims.Begin(ctx, r)
		if err != nil || !ticket.Join || ticket.Outcome != 0 {
			return ticket, err
		}
		if ticket.RunnerGone {
			return ticket, ErrUnknown
		}
		// From here on there is an earlier attempt, whatever the caller said.
		r.First = false
		select {
		case <-time.After(joinPollInterval):
		case <-ctx.Done():
			return ticket, ErrUnknown
		}
	}
}
