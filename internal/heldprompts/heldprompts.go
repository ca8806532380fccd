// Package heldprompts estimates which parts of prompts an endpoint still holds. It has no clock and
// does no I/O.
//
// Endpoints keep the parts that they have read until they need the memory for others, least
// recently used parts first. So a part is there until as many tokens have been read since its last
// use as there is room for. That is minutes at an endpoint with much memory and few prompts, and a
// second at one that is full. Where the room is not known, a part is assumed to stay for
// AssumedRetention.
package heldprompts

import "time"

const (
	// AssumedRetention is how long a part is assumed to be held after its last use, if the
	// endpoint's room is unknown.
	AssumedRetention = 10 * time.Second
	// maxRetention bounds for how long uses are remembered.
	maxRetention = time.Minute
	// certainShare is the share of the room from which on a part may have yielded: what is read
	// between is known roughly. At lostShare it has.
	certainShare, lostShare = 0.6, 1.2
)

// Cache is what one process of an endpoint is believed to hold. Parts are identified by a hash.
type Cache struct {
	uses map[uint64]use
	// read is the number of tokens that are known to have been read since the process was first
	// known.
	read      float64
	room      float64 // Tokens that parts may take.
	roomKnown bool
}

// use is the latest use of a part.
type use struct {
	at   time.Duration
	read float64 // Cache.read at that time.
}

// New returns the cache of a process that has just been found.
func New() Cache { return Cache{uses: map[uint64]use{}} }

// SetRoom sets how many tokens the parts of prompts may take.
func (c *Cache) SetRoom(tokens int64) { c.room, c.roomKnown = float64(max(0, tokens)), true }

// Read records that the endpoint has read tokens, which take room from parts that are used less.
func (c *Cache) Read(tokens float64) { c.read += max(0, tokens) }

// Use records that a request which begins with the part has been sent to the endpoint.
func (c *Cache) Use(part uint64, now time.Duration) { c.uses[part] = use{now, c.read} }

// LastUse returns when the part was last used; false if no use is known.
func (c *Cache) LastUse(part uint64) (time.Duration, bool) {
	u, found := c.uses[part]
	return u.at, found
}

// Len returns the number of parts with a known use.
func (c *Cache) Len() int { return len(c.uses) }

// Probability estimates how likely the part is still held, if those before it in the prompt are.
// informed states that what other instances send to the endpoint is known.
func (c *Cache) Probability(part uint64, informed bool, now time.Duration) float64 {
	if len(c.uses) == 0 {
		return 0
	}
	u, found := c.uses[part]
	switch {
	case !found:
		return 0
	case !informed || !c.roomKnown:
		if now-u.at < AssumedRetention {
			return 1
		}
		return 0
	case c.room == 0:
		return 0
	}
	taken := (c.read - u.read) / c.room
	return min(max((lostShare-taken)/(lostShare-certainShare), 0), 1)
}

// Sweep forgets uses of parts that are hardly held any more.
func (c *Cache) Sweep(now time.Duration) {
	retention := AssumedRetention
	if c.roomKnown {
		retention = maxRetention
	}
	for part, u := range c.uses {
		if now-u.at >= retention || c.roomKnown && now-u.at >= AssumedRetention && c.read-u.read > lostShare*c.room {
			delete(c.uses, part)
		}
	}
}
