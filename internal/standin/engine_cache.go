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
	blockBytes  = 64
	blockTokens = blockBytes / 4
	keepEvents  = 4096
	// everyLost is which cache events get lost: each one whose number it divides.
	everyLost = 7
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
	at time.Time
}

// prefixCache holds hashes of prompt prefixes, the least recently used block
// leaves first. It is guarded by Engine.mu.
type prefixCache struct {
	limit  int // In blocks.
	order  *list.List
	at     map[uint64]*list.Element
	events []timedEvent
	seq    uint64
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limit: max(tokens/blockTokens, 1), order: list.New(), at: map[uint64]*list.Element{}}
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

// cached returns how many leading tokens of a prompt are in the cache.
func (c *prefixCache) cached(blocks []uint64) int {
	for n, block := range blocks {
		element, ok := c.at[block]
		if !ok {
			return n * blockTokens
		}
		c.order.MoveToFront(element)
	}
	return len(blocks) * blockTokens
}

func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		if element, ok := c.at[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.at[block] = c.order.PushFront(block)
		c.tell("stored", block)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		block, _ := c.order.Remove(oldest).(uint64)
		delete(c.at, block)
		c.tell("removed", block)
	}
}

func (c *prefixCache) tell(kind string, block uint64) {
	c.seq++
	c.events = append(c.events, timedEvent{CacheEvent{Seq: c.seq, Kind: kind, Block: block, Tokens: blockTokens}, time.Now()})
	if len(c.events) > keepEvents {
		c.events = c.events[len(c.events)-keepEvents:]
	}
}

// since returns the events after a number that are older than lag, less the
// ones that get lost.
func (c *prefixCache) since(after uint64, now time.Time, lag time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, event := range c.events {
		if event.Seq <= after || event.Seq%everyLost == 0 || now.Sub(event.at) < lag {
			continue
		}
		out = append(out, event.CacheEvent)
	}
	return out
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.since(after, time.Now(), e.opts.CacheLag)
	e.mu.Unlock()
	writeJSON(w, events)
}
