// Package claim assigns each request key one run, so that all retries of a
// request share that run. A claim records which run, and which instance, has
// the request; every later attempt under the same key joins it.
//
// A claim shard is identified by the session's home zone and the key's ledger
// partition. It has one holder at a time, which a record.Shard on the log names
// for one epoch. A claim counts, that is, it survives the loss of one copy,
// only when two places store it: the holder and its witness, or the holder and
// the log. A request that must not be repeated starts only on a counted claim,
// and only once.
package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors that Begin returns.
var (
	// ErrKeyReused reports that the idempotency key was already used with another
	// request body.
	ErrKeyReused = eris.New("claim: idempotency key already used with another request body")
	// ErrNotCounted reports that fewer than two places store the claim and that no
	// earlier attempt has run: the request has not run.
	ErrNotCounted = eris.New("claim: not stored in two places, request has not run")
	// ErrUnknown reports that an earlier attempt may have run: it is known to have
	// run, or this cannot be ruled out.
	ErrUnknown = eris.New("claim: unknown whether an earlier attempt has run")
	// ErrUndecided is an ErrUnknown whose reason passes: no holder could decide in
	// time, or the earlier attempt's run is still going on. A later attempt learns
	// the outcome, or runs.
	ErrUndecided = eris.Wrap(ErrUnknown, "claim: not decided in time")
)

// Request describes one attempt of a request to Begin.
type Request struct {
	Key    record.RequestKey
	Digest uint64 // Hash of the request body.
	// Home is the session's home zone, empty for a request without a session. All
	// attempts must give the same value, because it selects the shard.
	Home       record.Zone
	Repeatable bool
	// First is the caller's assurance that it has made no earlier attempt.
	First bool
	// Minted reports that this instance generated the key, so that no retry can
	// refer to the request. A minted request that is repeatable needs no claim.
	Minted bool
	// Lost is the run that this attempt joined earlier but found at no endpoint, or
	// that has not ended for some time. A repeatable request takes that run over if
	// its runner is unreachable or does not know it. Another request gets a new run
	// if the runner confirms that it has not started that one. Empty for none.
	Lost record.RunID
}

// Answer is the complete response to a service call (not a chat completion),
// kept for retries.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// size returns the size of the body in bytes, 0 for nil.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.Body)
}

// Ticket is the result of Begin: start the run, or join the existing one.
type Ticket struct {
	Run record.RunID
	// Join is true if another attempt already has the run.
	Join bool
	// Outcome is set for a joined run that has ended, otherwise 0.
	Outcome record.Outcome
	// Answer is the joined run's response, nil if the holder has no copy.
	Answer *Answer
	// Runner and Endpoint locate the run. Endpoint is empty until the runner has
	// chosen one.
	Runner   record.InstanceID
	Endpoint string
	// RunnerGone reports that the runner does not answer the holder.
	RunnerGone bool
	// Uncounted reports that no holder keeps the claim, because the holder was
	// unreachable or had too many open claims: a second run of the request may
	// exist. Only repeatable requests get such a ticket.
	Uncounted bool
}

// End describes how a run ended.
type End struct {
	Run record.RunID
	// Outcome is final if it is answered or unknown; not run frees the key. 0 gives
	// a repeatable run up without an outcome, for another attempt to take over.
	Outcome record.Outcome
	// Answer is kept for retries if its body has at most MaxAnswerBytes; nil for
	// none.
	Answer *Answer
	// Endpoint is the endpoint that the run was last sent to, empty if unknown. It
	// is repeated here because the call of Place may be lost or arrive after the
	// end.
	Endpoint string
}

// Claims is the interface that package run uses to claim requests.
type Claims interface {
	// Begin claims a request or joins its run. It returns ErrKeyReused,
	// ErrNotCounted, ErrUnknown or ErrUndecided, after a bounded time even if ctx has no
	// deadline.
	Begin(ctx context.Context, r Request) (Ticket, error)
	// Place records the endpoint that the run is about to be sent to. It does not
	// block.
	Place(ctx context.Context, key record.RequestKey, endpoint string)
	// End records the run's outcome. It does not block.
	End(ctx context.Context, key record.RequestKey, end End)
}

// joinPollInterval is the time between two checks of a joined run, and the
// longest wait for a new epoch of a shard before its holder is called again.
const joinPollInterval = 50 * time.Millisecond

// runnerCheckInterval is how long a joined run may go on before its runner is
// asked about it, and the time between two such questions.
const runnerCheckInterval = 500 * time.Millisecond

// runnerGonePeriod is how long a joined run's runner must not answer before the
// run's outcome counts as unknown. One missed heartbeat shows nothing.
const runnerGonePeriod = time.Second

// BeginOrJoin begins a request and, if it joins a run, waits for that run to
// end: the returned ticket is either the caller's own run or has an outcome. It
// returns ErrUndecided if the joined run does not end before ctx does, and
// ErrUnknown if its runner has not answered for runnerGonePeriod.
func BeginOrJoin(ctx context.Context, claims Claims, r Request) (Ticket, error) {
	began := time.Now()
	lastCheck := began
	var goneSince time.Time // When the runner was first found not to answer; zero while it answers.
	for {
		ticket, err := claims.Begin(ctx, r)
		if err != nil || !ticket.Join || ticket.Outcome != 0 {
			return ticket, err
		}
		switch {
		case !ticket.RunnerGone:
			goneSince = time.Time{}
		case goneSince.IsZero():
			goneSince = time.Now()
		case time.Since(goneSince) >= runnerGonePeriod:
			return ticket, eris.Wrapf(ErrUnknown, "claim: runner %s of run %s does not answer", ticket.Runner, ticket.Run)
		}
		// An earlier attempt now exists, whatever the caller said.
		r.First = false
		r.Lost = ""
		if time.Since(lastCheck) >= runnerCheckInterval {
			r.Lost, lastCheck = ticket.Run, time.Now()
		}
		select {
		case <-time.After(joinPollInterval):
		case <-ctx.Done():
			return ticket, eris.Wrapf(ErrUndecided, "claim: run %s at runner %s has not ended after %s", ticket.Run, ticket.Runner, time.Since(began))
		}
	}
}
