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

	// maxRingEntries and ringBytes bound the recent entries kept of one stream.
	maxRingEntries = 256
	maxRingBytes   = 512 << 10
	// maxReplyBytes bounds one answer; see peer.MaxMessageBytes.
	maxReplyBytes = 1 << 20
	// platformProbeInterval is how often a platform that failed is tried again.
	platformProbeInterval = time.Second
	// emptyReadPause is the pause after a look at peers that brought nothing.
	emptyReadPause = 300 * time.Millisecond
	// maxPeersPerRead is how many peers are asked in one read.
	maxPeersPerRead = 2
	// peerReadTimeout bounds asking one peer, and a peer's read of the platform.
	peerReadTimeout = time.Second
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

	mu          sync.Mutex // Guards all below.
	rings       map[record.Stream]*ring
	lastFailure time.Time // Last failure of the platform; zero while it answers.
	readCount   int
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
	tryPlatform, unavailable := l.planRead(time.Now())
	if unavailable {
		wait = 0
	}
	err := logstore.ErrUnavailable
	if tryPlatform {
		var page logstore.Page
		page, err = l.platform.Read(ctx, stream, from, wait)
		l.recordPlatformRead(stream, from, page, err)
		if !errors.Is(err, logstore.ErrUnavailable) {
			return page, err
		}
	}
	if page, ok := l.readFromPeers(ctx, stream, from); ok {
		return page, nil
	}
	sleep(ctx, emptyReadPause)
	return logstore.Page{}, eris.Wrap(err, "relay: nothing new from peers")
}

// planRead decides whether a read tries the platform. Load: a platform out of
// reach, many streams. Harm prevented: each stream waiting out the platform's
// timeout before it asks a peer that has the entry. Limit: one try each
// probeEvery, so that its return is seen soon.
func (l *Log) planRead(now time.Time) (tryPlatform, unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastFailure.IsZero() {
		return true, false
	}
	if now.Sub(l.lastFailure) < platformProbeInterval {
		return false, true
	}
	l.lastFailure = now // The other streams wait for this try.
	return true, true
}

func (l *Log) recordPlatformRead(stream record.Stream, from uint64, page logstore.Page, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, logstore.ErrUnavailable):
		l.lastFailure = time.Now()
	case err == nil:
		l.lastFailure = time.Time{}
		l.ringFor(stream).add(from, page.Entries)
	}
}

// ringFor is called with the lock held.
func (l *Log) ringFor(stream record.Stream) *ring {
	r, ok := l.rings[stream]
	if !ok {
		r = &ring{}
		l.rings[stream] = r
	}
	return r
}

func (l *Log) readFromPeers(ctx context.Context, stream record.Stream, from uint64) (logstore.Page, bool) {
	for _, id := range l.selectPeers() {
		callCtx, cancel := context.WithTimeout(ctx, peerReadTimeout)
		var reply ReadReply
		err := l.caller.Call(callCtx, id, ServiceName+".Read", ReadArgs{Stream: stream, From: from}, &reply)
		cancel()
		if err != nil || len(reply.Entries) == 0 || reply.Entries[0].Offset < from {
			continue
		}
		l.mu.Lock()
		l.ringFor(stream).add(from, reply.Entries)
		l.mu.Unlock()
		return logstore.Page{Entries: reply.Entries, Next: reply.Entries[len(reply.Entries)-1].Offset + 1}, true
	}
	return logstore.Page{}, false
}

// selectPeers returns the peers to ask, others with each read.
func (l *Log) selectPeers() []record.InstanceID {
	var ids []record.InstanceID
	for _, instance := range l.peers.Live() {
		if instance.ID != l.self {
			ids = append(ids, instance.ID)
		}
	}
	l.mu.Lock()
	l.readCount++
	first := l.readCount
	l.mu.Unlock()
	selected := make([]record.InstanceID, 0, maxPeersPerRead)
	for i := range min(maxPeersPerRead, len(ids)) {
		selected = append(selected, ids[(first+i)%len(ids)])
	}
	return selected
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
