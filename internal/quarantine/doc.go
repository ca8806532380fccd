// Package quarantine refuses requests that crash the endpoints that serve them.
//
// What crashes an endpoint is repeated, through any instance, and would crash one endpoint
// after the other. It is either the content of one request, sent again, or a part of the
// prompt that many different requests share. Both are subjects: a request has a subject for
// its content and one for each part that other requests may share.
//
// An instance that sees an endpoint crash writes a record to the platform's log for each
// subject of each request that was in progress there. The subject to blame accumulates
// crashes; the others occur in requests that are answered, which clears them.
//
// A subject with crashesToQuarantine crashes that no other subject explains better is
// quarantined: requests with it are refused without being sent. A part with one crash less, or
// one that can't be told apart from another subject, is suspected: requests with it are sent one
// at a time in the whole fleet, as canaries, until an answer clears it or a crash decides. When a quarantine ends, one instance may send a request with the subject once on
// behalf of the whole fleet, as a retest. An answer clears the subject, anything else leaves
// it quarantined, for longer.
//
// Table decides, without I/O and without a clock. Syncer synchronises it with the log.
package quarantine

import (
	"fmt"
	"time"
)

// QuarantinedError is the error for a request that must not be sent now.
type QuarantinedError struct {
	// Fingerprint identifies the subject for which the request is refused.
	Fingerprint Fingerprint
	// Part is the ID of the part of the prompt that is the subject; "" if it is the request's
	// content.
	Part string
	// Suspected reports that the part is not quarantined, but that another request with it is
	// being sent to find out whether it crashes endpoints.
	Suspected bool
	// Crashes is the number of endpoints that crashed while serving requests with the
	// subject, one after the other.
	Crashes int
	// Endpoints are the latest of these endpoints, the last crash last.
	Endpoints []string
	// RetryAfter is the time until the quarantine or the canary ends; 0 if it has ended and the
	// subject has not been retested.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	subject, state := "content "+e.Fingerprint.String(), "is quarantined"
	if e.Part != "" {
		subject = "prompt part " + e.Part
	}
	if e.Suspected {
		state = "is suspected"
	}
	return fmt.Sprintf("quarantine: %s %s for %s after %d endpoint crashes", subject, state, e.RetryAfter, e.Crashes)
}
