// Package processcheck asks other instances whether an endpoint still is the process that this instance's endpoint list
// shows.
//
// An endpoint may start again under its ID and address with another software version. An instance that is cut off from
// the store, or was paused, does not see that, and would continue a stream there. As long as its list is current it asks
// nobody.
package processcheck

import "time"

// Process is a process of an endpoint, as an endpoint list shows it.
type Process struct {
	Endpoint string // Its ID.
	Born     int64  // Start time in Unix milliseconds; 0 if unknown.
	Version  string // Of its software; "" if not stated.
}

// Report is what an instance knows of an endpoint.
type Report struct {
	Process // Zero if the endpoint is not listed.
	// Age is the time within which a change of the list may have gone unseen.
	Age time.Duration
	// Doubted reports whether connections have failed since the list was last seen to be right.
	Doubted bool
}

// Verdict is what a report says of a process.
type Verdict uint8

// The verdicts.
const (
	Unknown  Verdict = iota // The reporting instance may be out of step itself.
	Current                 // The process still was listed maxAge ago.
	Replaced                // The process has ended, or may have.
)

// judge returns what a report of another instance says of a process. A list that is not older than maxAge tells for sure; an
// older one tells no more than that a later process is known.
func judge(p Process, r Report, maxAge time.Duration) Verdict {
	switch {
	case r.Doubted:
		return Replaced
	case r.Age <= maxAge && r.Process == p:
		return Current
	case r.Age <= maxAge, r.Endpoint == p.Endpoint && r.Born > p.Born:
		return Replaced
	}
	return Unknown
}
