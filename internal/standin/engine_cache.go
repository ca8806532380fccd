package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes of a prompt make one block of the prefix cache.
	blockBytes     = 64
	blockTokens    = blockBytes / 4
	maxCacheEvents = 4096
	// lostEventInterval is which cache events get lost: each one whose number it divides.
	lostEventInterval = 7
)

// CacheEvent tells that a block came into the prefix cache or left it.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // stored or removed.
	Block  uint64 `json:"block"`
	Tokens int    `json:"tokens"`
}

type timedEvent struct {
	CacheEvent
	recordedAt time.Time
}

// prefixCache holds hashes of prompt prefixes, the least recently used block
// leaves first. It is guarded by Engine.mu.
type prefixCache struct {
	maxBlocks int // In blocks.
	lru       *list.List
	elements  map[uint64]*list.Element
	events    []timedEvent
	seq       uint64
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxBlocks: max(tokens/blockTokens, 1), lru: list.New(), elements: map[uint64]*list.Element{}}
}

// prefixBlocks returns one hash for each whole block of a prompt; each covers
// the whole prefix up to its block's end.
func prefixBlocks(prompt []byte) []uint64 {
	var out []uint64
	h := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = h.Write(prompt[end-blockBytes : end])
		out = append(out, h.Sum64())
	}
	return out
}

// cachedTokens returns how many leading tokens of a prompt are in the cache.
func (c *prefixCache) cachedTokens(blocks []uint64) int {
	for n, block := range blocks {
		element, ok := c.elements[block]
		if !ok {
			return n * blockTokens
		}
		c.lru.MoveToFront(element)
	}
	return len(blocks) * blockTokens
}

func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.elements[block]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.elements[block] = c.lru.PushFront(block)
		c.recordEvent("stored", block)
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Back()
		block, _ := c.lru.Remove(oldest).(uint64)
		delete(c.elements, block)
		c.recordEvent("removed", block)
	}
}

func (c *prefixCache) recordEvent(kind string, block uint64) {
	c.seq++
	c.events = append(c.events, timedEvent{CacheEvent{Seq: c.seq, Kind: kind, Block: block, Tokens: blockTokens}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a number that are older than lag, less the
// ones that get lost.
func (c *prefixCache) eventsAfter(after uint64, now time.Time, lag time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, event := range c.events {
		if event.Seq <= after || event.Seq%lostEventInterval == 0 || now.Sub(event.recordedAt) < lag {
			continue
		}
		out = append(out, event.CacheEvent)
	}
	return out
}

func (e *Engine) handleListCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.eventsAfter(after, time.Now(), e.opts.CacheLag)
	e.mu.Unlock()
	writeJSON(w, events)
}
