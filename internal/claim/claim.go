// Package claim decides which run answers a request, whatever its retries: one
// claim per request key, joined by every retry.
package claim

import (
	"context"
	"sync"

	"guavapier/internal/record"

	"github.com/rotisserie/eris"
)

// Errors of Begin.
var (
	// ErrKeyReused says that the key was used with another body.
	ErrKeyReused = eris.New("claim: idempotency key used with another body")
	// ErrNotCounted says that the claim stands in too few places to count, and
	// no earlier attempt exists: the request has not run.
	ErrNotCounted = eris.New("claim: not counted")
	// ErrUnknown says that an earlier attempt may have run.
	ErrUnknown = eris.New("claim: outcome unknown")
)

// Request is what Begin needs to know.
type Request struct {
	Key        record.RequestKey
	Digest     uint64 // Hash of the request's body.
	Home       record.Zone
	Repeatable bool
	// First is the caller's promise that it has made no attempt before.
	First bool
}

// Ticket is the answer to Begin: run it, or join the run there is.
type Ticket struct {
	Run record.RunID
	// Join is true where another attempt has the run already.
	Join bool
	// Outcome is set for a joined run that has ended.
	Outcome record.Outcome
	// Runner and Endpoint say where a joined run is.
	Runner   record.InstanceID
	Endpoint string
}

// Claims is what the entry uses.
type Claims interface {
	Begin(ctx context.Context, r Request) (Ticket, error)
	// Place tells where the run was sent, before it is sent.
	Place(ctx context.Context, key record.RequestKey, endpoint string)
	// End tells the run's final outcome.
	End(ctx context.Context, key record.RequestKey, outcome record.Outcome)
}

type entry struct {
	digest uint64
	ticket Ticket
}

// Local keeps claims in this instance's memory only.
type Local struct {
	self record.InstanceID

	mu      sync.Mutex
	entries map[record.RequestKey]*entry
}

var _ Claims = (*Local)(nil)

// NewLocal returns an empty table.
func NewLocal(self record.InstanceID) *Local {
	return &Local{self: self, entries: map[record.RequestKey]*entry{}}
}

// Begin implements Claims.
func (l *Local) Begin(_ context.Context, r Request) (Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[r.Key]; ok {
		if e.digest != r.Digest {
			return Ticket{}, ErrKeyReused
		}
		joined := e.ticket
		joined.Join = true
		return joined, nil
	}
	e := &entry{digest: r.Digest, ticket: Ticket{Run: record.NewRunID(), Runner: l.self}}
	l.entries[r.Key] = e
	return e.ticket, nil
}

// Place implements Claims.
func (l *Local) Place(_ context.Context, key record.RequestKey, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.entries[key]; ok {
		e.ticket.Endpoint = endpoint
	}
}

// End implements Claims. A run that did not run gives its key free.
func (l *Local) End(_ context.Context, key record.RequestKey, outcome record.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[key]
	if !ok {
		return
	}
	if outcome == record.OutcomeNotRun {
		delete(l.entries, key)
		return
	}
	e.ticket.Outcome = outcome
}
