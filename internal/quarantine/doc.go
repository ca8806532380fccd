// Package quarantine refuses requests that crash the endpoints that serve them.
//
// A request that crashes the process serving it is repeated, through any instance, and
// would crash one endpoint after the other. An instance that sees an endpoint crash
// writes a record to the platform's log for each request that was in progress there,
// under a hash of the request's content and caller. The request to blame accumulates
// crashes, one after the other; the others are answered when they are repeated, which
// clears them. A request with crashesToQuarantine crashes is quarantined: it is refused
// without being sent. When its quarantine ends, one instance may send it once on behalf
// of the whole fleet, as a retest. An answer clears it, anything else leaves it
// quarantined, for longer.
//
// Table decides, without I/O and without a clock. Syncer synchronises it with the log.
package quarantine

import (
	"fmt"
	"time"
)

// QuarantinedError is the error for a request that is quarantined.
type QuarantinedError struct {
	Fingerprint Fingerprint
	// Crashes is the number of endpoints that crashed while serving the request, one
	// after the other.
	Crashes int
	// RetryAfter is the time until the quarantine ends; 0 if it has ended and the
	// request has not been retested.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("quarantine: content %s is quarantined for %s after %d endpoint crashes", e.Fingerprint, e.RetryAfter, e.Crashes)
}
