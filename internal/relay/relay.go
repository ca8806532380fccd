// Package relay reads the platform's log through a peer when this instance
// cannot reach the platform but can reach other instances. Peers return the
// log's entries under their original offsets, so a relayed read is
// indistinguishable from a direct one.
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
	// ServiceName is the net/rpc service name under which an instance serves
	// log entries to its peers.
	ServiceName = "relay.Service"

	// maxRingEntries and maxRingBytes bound the recent entries that are cached
	// per stream.
	maxRingEntries = 256
	maxRingBytes   = 512 << 10
	// maxReplyBytes bounds the entry data of one reply. It must stay below
	// peer.MaxMessageBytes.
	maxReplyBytes = 1 << 20
	// platformProbeInterval is the time between two reads from the platform
	// while it is unavailable.
	platformProbeInterval = time.Second
	// emptyReadPause delays the return of a read for which no peer had entries,
	// so that callers that poll do not spin.
	emptyReadPause = 300 * time.Millisecond
	// maxPeersPerRead is the number of peers that one read calls at most.
	maxPeersPerRead = 2
	// peerReadTimeout bounds the call to one peer, and the platform read that
	// a peer makes to serve such a call.
	peerReadTimeout = time.Second
)

// Peers lists the live instances, nearest first; see package membership.
type Peers interface {
	Live() []logstore.Instance
}

// Log is the platform's log with reads that fall back to peers. Appends always
// go to the platform. It is safe for concurrent use.
type Log struct {
	platform logstore.Log
	self     record.InstanceID
	caller   peer.Caller
	peers    Peers

	mu          sync.Mutex // Guards all below.
	rings       map[record.Stream]*ring
	lastFailure time.Time // Last failed platform read or probe start; zero while the platform is available.
	readCount   int       // Reads from peers so far; rotates the choice of peers.
}

var _ logstore.Log = (*Log)(nil)

// New returns a Log that reads from log and falls back to peers. self is
// excluded from the peers.
func New(log logstore.Log, self record.InstanceID, caller peer.Caller, peers Peers) *Log {
	return &Log{platform: log, self: self, caller: caller, peers: peers, rings: map[record.Stream]*ring{}}
}

// Append implements logstore.Log.
func (l *Log) Append(ctx context.Context, stream record.Stream, data []byte) (uint64, error) {
	return l.platform.Append(ctx, stream, data)
}

// Read implements logstore.Log. While the platform is unavailable, entries are
// read from peers, and one read in each platformProbeInterval tries the platform
// first. The error wraps logstore.ErrUnavailable when neither had an answer.
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
	return logstore.Page{}, eris.Wrap(err, "relay: no peer returned entries at or after the requested offset")
}

// planRead decides whether a read tries the platform, and reports whether the
// platform is known to be unavailable. With many streams and an unreachable
// platform, every stream would wait for the platform's timeout before it called
// a peer that has the entry. So only one read per platformProbeInterval tries
// the platform, which still detects its recovery soon.
func (l *Log) planRead(now time.Time) (tryPlatform, unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastFailure.IsZero() {
		return true, false
	}
	if now.Sub(l.lastFailure) < platformProbeInterval {
		return false, true
	}
	l.lastFailure = now // Reads of the other streams skip the platform meanwhile.
	return true, true
}

// recordPlatformRead updates the platform's availability after a read from it
// and caches the entries of a successful one.
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

// ringFor returns the cache of a stream, creating it if needed. l.mu must be
// held.
func (l *Log) ringFor(stream record.Stream) *ring {
	r, ok := l.rings[stream]
	if !ok {
		r = &ring{}
		l.rings[stream] = r
	}
	return r
}

// readFromPeers returns the entries from an offset on as the first peer that has
// any returns them, and false if no selected peer does.
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

// selectPeers returns the peers to call for one read. Successive reads start at
// successive peers, so that the load is spread and a dead peer is passed over.
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

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
