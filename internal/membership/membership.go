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
	// ListInterval is the time between two reads of the instance list.
	ListInterval = 500 * time.Millisecond
	// AnnounceInterval is the longest time between two announcements. The platform
	// drops an instance that was silent for 5 s, so one may be lost.
	AnnounceInterval = 2 * time.Second
	// ProbeInterval is the time between two rounds of heartbeats.
	ProbeInterval = 500 * time.Millisecond
	// maxProbesPerRound bounds the heartbeats of one round, so that their cost
	// does not grow with the fleet. Peers take turns; peers in use are watched
	// by their own connections.
	maxProbesPerRound = 4
	// probeTimeout is how long a peer has to answer a heartbeat.
	probeTimeout = 500 * time.Millisecond
	// platformUpTimeout is how long the platform counts as up after it answered.
	platformUpTimeout = 2 * time.Second
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
	list           logstore.List
	hasList        bool
	lastAnswerAt   time.Time // The platform's last answer.
	addresses      map[record.InstanceID]string
	unreachable    map[record.InstanceID]struct{}
	probeRound     int
	lastProbeRound map[record.InstanceID]int // Of each peer's last heartbeat.
	listeners      []func(logstore.List)

	// announced is what the platform was last announced about this instance, at toldAt.
	// Only the goroutine of refresh uses them.
	announced   logstore.Instance
	announcedAt time.Time
}

var _ peer.Addresses = (*Members)(nil)

// New returns a view without any list. self is announced as it is at the time.
func New(directory logstore.Directory, self func() logstore.Instance, log zerolog.Logger) *Members {
	return &Members{
		directory: directory, self: self, log: log,
		addresses: map[record.InstanceID]string{}, unreachable: map[record.InstanceID]struct{}{},
		lastProbeRound: map[record.InstanceID]int{},
	}
}

// OnList adds a function that is called with each list that is read. Add all
// of them before Run.
func (m *Members) OnList(f func(logstore.List)) { m.listeners = append(m.listeners, f) }

// Run announces this instance, follows the list and sends heartbeats until ctx
// ends.
func (m *Members) Run(ctx context.Context, pinger Pinger) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { runPeriodically(ctx, ListInterval, func() { m.refresh(ctx) }) })
	running.Go(func() { runPeriodically(ctx, ProbeInterval, func() { m.probe(ctx, pinger) }) })
}

func runPeriodically(ctx context.Context, period time.Duration, do func()) {
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
	if self == m.announced && now.Sub(m.announcedAt) < AnnounceInterval {
		return
	}
	if m.directory.Announce(ctx, self) == nil {
		m.announced, m.announcedAt = self, now
	}
}

// refresh keeps the last list that was read while the platform is away.
func (m *Members) refresh(ctx context.Context) {
	m.announce(ctx)
	list, err := m.directory.List(ctx)
	if err != nil {
		return
	}
	m.setList(list)
	for _, listener := range m.listeners {
		listener(list)
	}
}

func (m *Members) setList(list logstore.List) {
	addresses := make(map[record.InstanceID]string, len(list.Instances))
	for _, in := range list.Instances {
		addresses[in.ID] = in.Peer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list, m.hasList, m.addresses, m.lastAnswerAt = list, true, addresses, time.Now()
	unlisted := func(id record.InstanceID) bool {
		_, listed := addresses[id]
		return !listed
	}
	maps.DeleteFunc(m.unreachable, func(id record.InstanceID, _ struct{}) bool { return unlisted(id) })
	maps.DeleteFunc(m.lastProbeRound, func(id record.InstanceID, _ int) bool { return unlisted(id) })
}

// List returns the last list that was read.
func (m *Members) List() logstore.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// HasList says whether a list has been read.
func (m *Members) HasList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList
}

// PlatformUp says whether the platform answered lately.
func (m *Members) PlatformUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList && time.Since(m.lastAnswerAt) < platformUpTimeout
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
	return liveInstances(m.list.Instances, self, m.unreachable)
}

// Reachable says whether a listed peer's last heartbeat was answered, or none
// was sent yet.
func (m *Members) Reachable(id record.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, isUnreachable := m.unreachable[id]
	_, listed := m.addresses[id]
	return listed && !isUnreachable
}

// SetReachable notes whether a peer answered.
func (m *Members) SetReachable(id record.InstanceID, reachable bool) {
	m.mu.Lock()
	_, wasUnreachable := m.unreachable[id]
	if reachable {
		delete(m.unreachable, id)
	} else {
		m.unreachable[id] = struct{}{}
	}
	m.mu.Unlock()
	if wasUnreachable == reachable {
		m.log.Info().Str("peer", string(id)).Bool("reachable", reachable).Msg("membership: peer changed")
	}
}

// probe sends one round of heartbeats.
func (m *Members) probe(ctx context.Context, pinger Pinger) {
	self := m.self().ID
	m.mu.Lock()
	targets := selectProbeTargets(m.list.Instances, self, m.unreachable, m.lastProbeRound)
	m.probeRound++
	for _, id := range targets {
		m.lastProbeRound[id] = m.probeRound
	}
	m.mu.Unlock()
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	for _, id := range targets {
		running.Go(func() {
			err := pinger.Ping(probeCtx, id)
			if ctx.Err() == nil {
				m.SetReachable(id, err == nil)
			}
		})
	}
}
