// Package membership keeps an instance's view of the fleet: the platform's
// instance list, which may lag, and which peers answer heartbeats. Either may
// be wrong. They decide which instances to contact first, never who holds a
// right.
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
	// AnnounceInterval is the longest time between two announcements of this
	// instance. The platform drops an instance that was silent for 5 s, so one
	// announcement may be lost.
	AnnounceInterval = 2 * time.Second
	// ProbeInterval is the time between two rounds of heartbeats.
	ProbeInterval = 500 * time.Millisecond
	// maxProbesPerRound bounds the heartbeats of one round, so that their cost
	// does not grow with the fleet. The rounds cover the peers in turn. Peers that
	// this instance exchanges calls with are also watched by their connections.
	maxProbesPerRound = 4
	// probeTimeout bounds the wait for the answers to one round of heartbeats.
	probeTimeout = 500 * time.Millisecond
	// platformUpTimeout is how long the platform counts as up after an answer.
	platformUpTimeout = 2 * time.Second
)

// Pinger sends a heartbeat to a peer and returns an error if it is not answered
// before ctx ends; see peer.Pool.
type Pinger interface {
	Ping(ctx context.Context, to record.InstanceID) error
}

// Members is an instance's view of the fleet. It is safe for concurrent use.
type Members struct {
	directory logstore.Directory
	self      func() logstore.Instance
	log       zerolog.Logger

	mu sync.Mutex
	// list is the latest list that was read. It is kept while the platform is
	// unavailable.
	list           logstore.List
	hasList        bool
	lastAnswerAt   time.Time // Time of the platform's latest answer.
	addresses      map[record.InstanceID]string
	unreachable    map[record.InstanceID]struct{}
	probeRound     int
	lastProbeRound map[record.InstanceID]int // Round of each peer's latest heartbeat.
	listeners      []func(logstore.List)

	// announced is the latest successful announcement of this instance, and
	// announcedAt its time. Only the goroutine that runs refresh uses them.
	announced   logstore.Instance
	announcedAt time.Time
}

var _ peer.Addresses = (*Members)(nil)

// New returns a view without a list. Each announcement calls self for this
// instance's current state.
func New(directory logstore.Directory, self func() logstore.Instance, log zerolog.Logger) *Members {
	return &Members{
		directory: directory, self: self, log: log,
		addresses: map[record.InstanceID]string{}, unreachable: map[record.InstanceID]struct{}{},
		lastProbeRound: map[record.InstanceID]int{},
	}
}

// OnList adds a function that is called with each list that is read. All
// functions must be added before Run.
func (m *Members) OnList(f func(logstore.List)) { m.listeners = append(m.listeners, f) }

// Run announces this instance, reads the instance list and sends heartbeats
// until ctx ends.
func (m *Members) Run(ctx context.Context, pinger Pinger) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { runPeriodically(ctx, ListInterval, func() { m.refresh(ctx) }) })
	running.Go(func() { runPeriodically(ctx, ProbeInterval, func() { m.probe(ctx, pinger) }) })
}

// runPeriodically calls do at once and then in each period until ctx ends.
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

// announce announces this instance to the platform if its state has changed or
// AnnounceInterval has passed. Only refresh calls it.
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

// refresh announces this instance and reads the list. If reading fails, the
// previous list stays.
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

// setList replaces the list and drops the state of peers that are not on it.
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

// List returns the latest list that was read.
func (m *Members) List() logstore.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// HasList reports whether a list has been read.
func (m *Members) HasList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList
}

// PlatformUp reports whether the platform answered within platformUpTimeout.
func (m *Members) PlatformUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList && time.Since(m.lastAnswerAt) < platformUpTimeout
}

// ZoneListed reports whether the list has an instance of the zone that is not
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

// Live returns the listed instances that are neither leaving nor known to be
// unreachable, including this one: those of its own zone first, then zone by
// zone, and by ID within a zone.
func (m *Members) Live() []logstore.Instance {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	return liveInstances(m.list.Instances, self, m.unreachable)
}

// Reachable reports whether an instance is listed and its latest heartbeat was
// answered or none has been sent yet.
func (m *Members) Reachable(id record.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, isUnreachable := m.unreachable[id]
	_, listed := m.addresses[id]
	return listed && !isUnreachable
}

// SetReachable records whether a peer answered, and logs a change.
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

// probe sends one round of heartbeats and waits for it.
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
