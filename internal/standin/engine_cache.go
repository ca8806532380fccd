package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockBytes is the size of a block of the prefix cache, in bytes of the
	// prompt.
	blockBytes     = 64
	blockTokens    = blockBytes / 4 // As PromptTokens counts.
	maxCacheEvents = 4096
	// lostEventInterval simulates lost cache events: readers don't get the events
	// whose sequence number is a multiple of it.
	lostEventInterval = 7
)

// CacheEvent records that a block was added to the prefix cache or evicted.
// Block is the hash of the prompt's prefix up to the block's end.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // "stored" or "removed".
	Block  uint64 `json:"block"`
	Tokens int    `json:"tokens"`
}

// timedEvent is an event with the time from which CacheLag is counted.
type timedEvent struct {
	CacheEvent
	recordedAt time.Time
}

// prefixCache is an LRU cache of the blocks of prompts, which it knows by hash
// only. Engine.mu guards it.
type prefixCache struct {
	maxBlocks int
	lru       *list.List
	elements  map[uint64]*list.Element
	events    []timedEvent
	seq       uint64
}

// newPrefixCache returns an empty cache with a capacity in tokens.
func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxBlocks: max(tokens/blockTokens, 1), lru: list.New(), elements: map[uint64]*list.Element{}}
}

// prefixBlocks returns one hash for each full block of a prompt. Each hash
// covers the prompt from its start to the end of the block.
func prefixBlocks(prompt []byte) []uint64 {
	var out []uint64
	h := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = h.Write(prompt[end-blockBytes : end])
		out = append(out, h.Sum64())
	}
	return out
}

// cachedTokens returns how many leading tokens of a prompt are in the cache, and
// marks their blocks as recently used.
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

// add stores blocks and evicts the least recently used ones beyond maxBlocks.
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

// recordEvent keeps the event for readers, at most maxCacheEvents of them.
func (c *prefixCache) recordEvent(kind string, block uint64) {
	c.seq++
	c.events = append(c.events, timedEvent{CacheEvent{Seq: c.seq, Kind: kind, Block: block, Tokens: blockTokens}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the kept events with a sequence number above after that
// are at least lag old, without those that are lost by lostEventInterval.
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
