// Package relay keeps an instance current that is cut off from the platform
// alone: it reads the log's own entries, by their offsets, from a peer.
package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// ServiceName is the name under which instances serve their entries.
	ServiceName = "relay.Service"

	// ringEntries and ringBytes bound the recent entries kept of one stream.
	ringEntries = 256
	ringBytes   = 512 << 10
	// replyBytes bounds one answer; see peer.MaxMessageBytes.
	replyBytes = 1 << 20
	// probeEvery is how often a platform that failed is tried again.
	probeEvery = time.Second
	// relayPoll is the pause after a look at peers that brought nothing.
	relayPoll = 300 * time.Millisecond
	// askPeers is how many peers are asked in one read.
	askPeers = 2
	// askTimeout bounds asking one peer, and a peer's read of the platform.
	askTimeout = time.Second
)

// Peers gives the live instances, nearest first; see package membership.
type Peers interface {
	Live() []logstore.Instance
}

// Log is the platform's log with reads that fall back to peers. Appends go to
// the platform only. It is safe for concurrent use.
type Log struct {
	platform logstore.Log
	self     record.InstanceID
	caller   peer.Caller
	peers    Peers

	mu     sync.Mutex // Guards all below.
	rings  map[record.Stream]*ring
	failed time.Time // Last failure of the platform; zero while it answers.
	turn   int
}

var _ logstore.Log = (*Log)(nil)

// New returns a log over the platform's.
func New(log logstore.Log, self record.InstanceID, caller peer.Caller, peers Peers) *Log {
	return &Log{platform: log, self: self, caller: caller, peers: peers, rings: map[record.Stream]*ring{}}
}

// Append implements logstore.Log.
func (l *Log) Append(ctx context.Context, stream record.Stream, data []byte) (uint64, error) {
	return l.platform.Append(ctx, stream, data)
}

// Read implements logstore.Log. While the platform fails, peers are asked
// first and the platform is tried again each probeEvery.
func (l *Log) Read(ctx context.Context, stream record.Stream, from uint64, wait time.Duration) (logstore.Page, error) {
	try, away := l.plan(time.Now())
	if away {
		wait = 0
	}
	err := logstore.ErrUnavailable
	if try {
		var page logstore.Page
		page, err = l.platform.Read(ctx, stream, from, wait)
		l.note(stream, from, page, err)
		if !errors.Is(err, logstore.ErrUnavailable) {
			return page, err
		}
	}
	if page, ok := l.askPeers(ctx, stream, from); ok {
		return page, nil
	}
	pause(ctx, relayPoll)
	return logstore.Page{}, eris.Wrap(err, "relay: nothing new from peers")
}

// plan decides whether a read tries the platform. Load: a platform out of
// reach, many streams. Harm prevented: each stream waiting out the platform's
// timeout before it asks a peer that has the entry. Limit: one try each
// probeEvery, so that its return is seen soon.
func (l *Log) plan(now time.Time) (try, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed.IsZero() {
		return true, false
	}
	if now.Sub(l.failed) < probeEvery {
		return false, true
	}
	l.failed = now // The other streams wait for this try.
	return true, true
}

func (l *Log) note(stream record.Stream, from uint64, page logstore.Page, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, logstore.ErrUnavailable):
		l.failed = time.Now()
	case err == nil:
		l.failed = time.Time{}
		l.ring(stream).add(from, page.Entries)
	}
}

// ring is called with the lock held.
func (l *Log) ring(stream record.Stream) *ring {
	r, ok := l.rings[stream]
	if !ok {
		r = &ring{}
		l.rings[stream] = r
	}
	return r
}

func (l *Log) askPeers(ctx context.Context, stream record.Stream, from uint64) (logstore.Page, bool) {
	for _, id := range l.choose() {
		ask, cancel := context.WithTimeout(ctx, askTimeout)
		var reply ReadReply
		err := l.caller.Call(ask, id, ServiceName+".Read", ReadArgs{Stream: stream, From: from}, &reply)
		cancel()
		if err != nil || len(reply.Entries) == 0 || reply.Entries[0].Offset < from {
			continue
		}
		l.mu.Lock()
		l.ring(stream).add(from, reply.Entries)
		l.mu.Unlock()
		return logstore.Page{Entries: reply.Entries, Next: reply.Entries[len(reply.Entries)-1].Offset + 1}, true
	}
	return logstore.Page{}, false
}

// choose returns the peers to ask, others with each read.
func (l *Log) choose() []record.InstanceID {
	var ids []record.InstanceID
	for _, in := range l.peers.Live() {
		if in.ID != l.self {
			ids = append(ids, in.ID)
		}
	}
	l.mu.Lock()
	l.turn++
	turn := l.turn
	l.mu.Unlock()
	out := make([]record.InstanceID, 0, askPeers)
	for i := range min(askPeers, len(ids)) {
		out = append(out, ids[(turn+i)%len(ids)])
	}
	return out
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
