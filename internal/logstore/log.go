// Package logstore meets the platform's two services: the append-only log and
// the lagging instance list. It has the HTTP clients, and the watermill
// publisher and subscriber through which the rest of guavapier uses the log.
package logstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of the log service. Callers compare them with errors.Is.
var (
	// ErrUnavailable says that the platform did not answer, or answered that
	// it is down. An append that ends so may have taken effect.
	ErrUnavailable = eris.New("logstore: unavailable")
	// ErrThrottled says that the append rate limit refused an append. The
	// append did not take effect.
	ErrThrottled = eris.New("logstore: append rate limit reached")
	// ErrTrimmed says that the wanted offset has aged out of retention.
	ErrTrimmed = eris.New("logstore: offset aged out")
)

// Entry is one appended entry.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read. Next is the offset to read from next; First
// is the oldest offset still kept.
type Page struct {
	Entries []Entry `json:"entries"`
	First   uint64  `json:"first"`
	Next    uint64  `json:"next"`
}

// Log is the platform's log: the only durable state and the only total order.
type Log interface {
	// Append adds one entry and returns its offset. After ErrUnavailable the
	// entry may or may not be on the log.
	Append(ctx context.Context, stream record.Stream, data []byte) (uint64, error)
	// Read returns entries from an offset on. With none there yet it waits up
	// to wait for the next one.
	Read(ctx context.Context, stream record.Stream, from uint64, wait time.Duration) (Page, error)
}

// Instance is one row of the instance list.
type Instance struct {
	ID      record.InstanceID `json:"id"`
	Zone    record.Zone       `json:"zone"`
	Peer    string            `json:"peer"`
	Leaving bool              `json:"leaving"`
	// Applied is the offset after the last entry of the configuration stream
	// that the instance had applied when it announced itself.
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

// MemberList is the platform's lagging list of live and leaving members.
type MemberList struct {
	Instances []Instance `json:"instances"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Directory is the platform's instance list.
type Directory interface {
	// Announce adds or renews this instance in the list.
	Announce(ctx context.Context, self Instance) error
	// List returns the list as the platform knows it, which lags.
	List(ctx context.Context) (MemberList, error)
}
