// Package membership follows the platform's lagging instance list and knows
// which peers answer. Both are hints: they decide whom to ask first, never who
// holds a right.
package membership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// ListEvery is the time between two reads of the instance list.
	ListEvery = 500 * time.Millisecond
	// AnnounceEvery is the longest time between two announcements. The platform
	// drops an instance that was silent for 5 s, so one may be lost.
	AnnounceEvery = 2 * time.Second
	// ProbeEvery is the time between two rounds of heartbeats.
	ProbeEvery = 500 * time.Millisecond
	// probesPerRound bounds the heartbeats of one round, so that their cost
	// does not grow with the fleet. Peers take turns; peers in use are watched
	// by their own connections.
	probesPerRound = 4
	// probeTimeout is how long a peer has to answer a heartbeat.
	probeTimeout = 500 * time.Millisecond
	// upFor is how long the platform counts as up after it answered.
	upFor = 2 * time.Second
)

// Pinger sends a heartbeat to a peer; see peer.Pool.
type Pinger interface {
	Ping(ctx context.Context, to record.InstanceID) error
}

// Members is this instance's view of the fleet. It is safe for concurrent use.
type Members struct {
	directory logstore.Directory
	self      func() logstore.Instance
	log       zerolog.Logger

	mu sync.Mutex
	// list is the last list that was read; it stays while the platform is away.
	list        logstore.MemberList
	seen        bool
	answered    time.Time // The platform's last answer.
	addresses   map[record.InstanceID]string
	unreachable map[record.InstanceID]struct{}
	turn        int
	lastTurn    map[record.InstanceID]int // Of each peer's last heartbeat.
	watchers    []func(logstore.MemberList)

	// told is what the platform was last told about this instance, at toldAt.
	// Only the goroutine of refresh uses them.
	told   logstore.Instance
	toldAt time.Time
}

var _ peer.Addresses = (*Members)(nil)

// New returns a view without any list. self is announced as it is at the time.
func New(directory logstore.Directory, self func() logstore.Instance, log zerolog.Logger) *Members {
	return &Members{
		directory: directory, self: self, log: log,
		addresses: map[record.InstanceID]string{}, unreachable: map[record.InstanceID]struct{}{},
		lastTurn: map[record.InstanceID]int{},
	}
}

// OnList adds a function that is called with each list that is read. Add all
// of them before Run.
func (m *Members) OnList(f func(logstore.MemberList)) { m.watchers = append(m.watchers, f) }

// Run announces this instance, follows the list and sends heartbeats until ctx
// ends.
func (m *Members) Run(ctx context.Context, pinger Pinger) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { every(ctx, ListEvery, func() { m.refresh(ctx) }) })
	running.Go(func() { every(ctx, ProbeEvery, func() { m.probe(ctx, pinger) }) })
}

func every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announce tells the platform about this instance when there is news, and often
// enough to stay listed. Only refresh calls it.
func (m *Members) announce(ctx context.Context) {
	self := m.self()
	now := time.Now()
	if self == m.told && now.Sub(m.toldAt) < AnnounceEvery {
		return
	}
	if m.directory.Announce(ctx, self) == nil {
		m.told, m.toldAt = self, now
	}
}

// refresh keeps the last list that was read while the platform is away.
func (m *Members) refresh(ctx context.Context) {
	m.announce(ctx)
	list, err := m.directory.List(ctx)
	if err != nil {
		return
	}
	m.take(list)
	for _, watch := range m.watchers {
		watch(list)
	}
}

func (m *Members) take(list logstore.MemberList) {
	addresses := make(map[record.InstanceID]string, len(list.Instances))
	for _, in := range list.Instances {
		addresses[in.ID] = in.Peer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list, m.seen, m.addresses, m.answered = list, true, addresses, time.Now()
	unlisted := func(id record.InstanceID) bool {
		_, listed := addresses[id]
		return !listed
	}
	maps.DeleteFunc(m.unreachable, func(id record.InstanceID, _ struct{}) bool { return unlisted(id) })
	maps.DeleteFunc(m.lastTurn, func(id record.InstanceID, _ int) bool { return unlisted(id) })
}

// List returns the last list that was read.
func (m *Members) List() logstore.MemberList {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// Seen says whether a list has been read.
func (m *Members) Seen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen
}

// PlatformUp says whether the platform answered lately.
func (m *Members) PlatformUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen && time.Since(m.answered) < upFor
}

// ZoneListed says whether the list has an instance of a zone that is not
// leaving, reachable or not.
func (m *Members) ZoneListed(zone record.Zone) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.list.Instances, func(in logstore.Instance) bool {
		return in.Zone == zone && !in.Leaving
	})
}

// PeerAddr implements peer.Addresses.
func (m *Members) PeerAddr(id record.InstanceID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	address, ok := m.addresses[id]
	return address, ok && address != ""
}

// Live returns the listed instances that are not leaving and not known to be
// unreachable, this one included: its own zone first, each zone by identity.
func (m *Members) Live() []logstore.Instance {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	return live(m.list.Instances, self, m.unreachable)
}

// Reachable says whether a listed peer's last heartbeat was answered, or none
// was sent yet.
func (m *Members) Reachable(id record.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, bad := m.unreachable[id]
	_, listed := m.addresses[id]
	return listed && !bad
}

// Mark notes whether a peer answered.
func (m *Members) Mark(id record.InstanceID, reachable bool) {
	m.mu.Lock()
	_, was := m.unreachable[id]
	if reachable {
		delete(m.unreachable, id)
	} else {
		m.unreachable[id] = struct{}{}
	}
	m.mu.Unlock()
	if was == reachable {
		m.log.Info().Str("peer", string(id)).Bool("reachable", reachable).Msg("membership: peer changed")
	}
}

// probe sends one round of heartbeats.
func (m *Members) probe(ctx context.Context, pinger Pinger) {
	self := m.self().ID
	m.mu.Lock()
	targets := pick(m.list.Instances, self, m.unreachable, m.lastTurn)
	m.turn++
	for _, id := range targets {
		m.lastTurn[id] = m.turn
	}
	m.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	for _, id := range targets {
		running.Go(func() {
			err := pinger.Ping(bounded, id)
			if ctx.Err() == nil {
				m.Mark(id, err == nil)
			}
		})
	}
}
