// Package quarantine keeps back requests under which endpoints end.
//
// A request that crashes the process that runs it comes again, at any instance, and would
// take one endpoint after the other with it. An instance that sees an endpoint end with
// requests under way reports each of them on the platform's log, by a hash of its
// content and caller. Under the one that is to blame more endpoints end, one after the
// other; the others are answered when they come again, which clears them. From
// endsToHold ends on the request is held: it is refused without being sent. When a hold
// ends, one instance may try it once, for the whole fleet; an answer clears it, anything
// else leaves it held, for longer.
//
// Table decides, without input and output and without a clock. Keeper runs it against the
// log.
package quarantine

import (
	"fmt"
	"time"
)

// QuarantinedError says that a request is held back.
type QuarantinedError struct {
	Fingerprint Fingerprint
	// Crashes is how many endpoints ended under it, one after the other.
	Crashes int
	// RetryAfter is when it may be tried again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("quarantine: content %s held for %s, %d endpoints ended under it", e.Fingerprint, e.RetryAfter, e.Crashes)
}
