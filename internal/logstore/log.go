// Package logstore is the interface to the platform's append-only log, keyed log and instance
// list. It has the HTTP client of the log and the instance list, a watermill publisher and
// subscriber for the log, and a follower for topics of the keyed log.
package logstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of the log service. Callers compare them with errors.Is.
var (
	// ErrUnavailable reports that the platform did not answer, or answered that it is down.
	// An append that returns it may have taken effect.
	ErrUnavailable = eris.New("logstore: unavailable")
	// ErrThrottled reports that the append rate limit was reached. The append did not take
	// effect.
	ErrThrottled = eris.New("logstore: append rate limit reached")
	// ErrTrimmed reports that the requested offset has aged out of retention.
	ErrTrimmed = eris.New("logstore: offset aged out")
)

// Entry is one entry of a stream.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read: consecutive entries, the offset to read from next, and as
// First the oldest offset that the log still keeps.
type Page struct {
	Entries []Entry `json:"entries"`
	First   uint64  `json:"first"`
	Next    uint64  `json:"next"`
}

// Log is the platform's log: the only durable state, and the only total order of events, in the
// fleet.
type Log interface {
	// Append adds one entry and returns its offset. After ErrUnavailable the entry may or may
	// not be on the log. ErrThrottled means that it isn't.
	Append(ctx context.Context, stream record.Stream, data []byte) (uint64, error)
	// Read returns the entries from an offset on, and waits up to wait if there are none yet.
	// With ErrTrimmed the page may still have First set.
	Read(ctx context.Context, stream record.Stream, from uint64, wait time.Duration) (Page, error)
}

// Instance is one instance in the instance list.
type Instance struct {
	ID      record.InstanceID `json:"id"`
	Zone    record.Zone       `json:"zone"`
	Peer    string            `json:"peer"` // Address for calls between instances, IP:port.
	Leaving bool              `json:"leaving"`
	// Applied is the offset after the last entry of the configuration stream that the
	// instance had applied when it announced itself.
	Applied uint64 `json:"applied"`
}

// Endpoint is one endpoint in the instance list.
type Endpoint struct {
	Name    string      `json:"name"`
	Zone    record.Zone `json:"zone"`
	URL     string      `json:"url"`
	Service string      `json:"service,omitempty"`
	Model   string      `json:"model,omitempty"`
	Leaving bool        `json:"leaving"`
}

// MemberList is the platform's list of instances and endpoints, live and leaving. It lags behind
// their real state.
type MemberList struct {
	Instances []Instance `json:"instances"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Directory is the platform's service for the instance list.
type Directory interface {
	// Announce adds or renews this instance in the list.
	Announce(ctx context.Context, self Instance) error
	// List returns the list as the platform knows it.
	List(ctx context.Context) (MemberList, error)
}
