package forward

import "time"

// A prompt is small or medium if reading it takes at most smallPromptShare or
// mediumPromptShare of the route's latency target.
const smallPromptShare, mediumPromptShare = 0.2, 0.66

// promptSizeClass returns the size class of a prompt in an endpoint's queue: 0 for small,
// 1 for medium and 2 for large, by the time to read it relative to the route's latency
// target for the first token. Without a target every prompt is small.
//
// Prompt lengths differ by a factor of a hundred. A short prompt must not miss the target
// because it waits behind a long one, which either misses it anyway or has time left.
func promptSizeClass(readTime, target time.Duration) int {
	switch {
	case target <= 0 || float64(readTime) <= smallPromptShare*float64(target):
		return 0
	case float64(readTime) <= mediumPromptShare*float64(target):
		return 1
	}
	return 2
}
