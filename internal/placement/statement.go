package placement

// Statement is what an endpoint states of itself in an answer. The zero value states nothing.
type Statement struct {
	// RejectionLimit is the number of requests that the endpoint can reject in a second
	// without crashing; 0 for any number.
	RejectionLimit int
	// LimitsRequests reports whether the endpoint takes at most RequestLimit requests a second
	// from all instances together.
	LimitsRequests bool
	RequestLimit   float64
}

// onStatement records what the endpoint has stated in its latest answer, and reports whether
// that is not what it stated before.
func (c *condition) onStatement(s Statement) (changed bool) {
	changed = c.stated != s
	c.stated = s
	return changed
}
