package forward

import "time"

// smallPromptShare and mediumPromptShare are the parts of a route's target up to which
// reading a prompt counts as small and as middling.
const smallPromptShare, mediumPromptShare = 0.2, 0.66

// promptSizeClass is a request's size for its endpoint's queue: 0, 1 or 2, by how long its
// prompt takes to read against the route's target for the first token.
//
// Lengths differ a hundredfold: a short prompt must not be late behind a long one, which
// is late anyway or has time.
func promptSizeClass(readTime, target time.Duration) int {
	switch {
	case target <= 0 || float64(readTime) <= smallPromptShare*float64(target):
		return 0
	case float64(readTime) <= mediumPromptShare*float64(target):
		return 1
	}
	return 2
}
