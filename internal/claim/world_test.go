package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

const (
	worldSize = 3
	homeZone  = record.Zone("z")
	followGap = 10 * time.Millisecond
	dyingWait = time.Hour // A dead instance's calls end when the world does.
)

// world is a small fleet over one log. Its adversary switches cut links, lose
// answers, hold instances still and kill them. It runs in a synctest bubble.
type world struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	broken  breakage

	mu      sync.Mutex // Guards all below.
	entries []logstore.Entry
	lose    int // Appends whose answer gets lost.
	nodes   [worldSize]*node
	started int
	cut     map[[2]int]bool // Calls vanish.
	slow    map[[2]int]bool // Calls arrive after their caller gave up.
	deaf    map[[2]int]bool // Answers vanish.
	offline [worldSize]bool // The platform is out of reach.
	wrongly [worldSize]bool // The others believe it gone.
	checks  checker
}

// breakage switches deliberate faults of the code under test on.
type breakage struct {
	ackSealed   bool // A sealed witness goes on acknowledging.
	forceClose  bool // A shard whose holder seems gone is closed by a timeout.
	neverKnown  bool // "unknown" becomes "not run".
	noDigest    bool // Bodies are not compared.
	blindRetry  bool // A joined run is run again.
	forgetEnded bool // A run of unknown outcome frees its key.
}

// node is one instance's parts.
type node struct {
	w       *world
	slot    int
	id      record.InstanceID
	part    *claim.Replica
	log     *logstore.Publisher
	holder  *claim.Holder
	fleet   *claim.Fleet
	witness *right.Service[claim.Use]
	cancel  context.CancelFunc

	mu    sync.Mutex
	dead  bool
	still chan struct{} // Not nil while held still.
}

func newWorld(b breakage, modes claim.Mode) *world {
	w := &world{broken: b, cut: map[[2]int]bool{}, slow: map[[2]int]bool{}, deaf: map[[2]int]bool{}, checks: newChecker()}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for slot := range w.nodes {
		w.start(slot, modes)
	}
	return w
}

func (w *world) start(slot int, mode claim.Mode) {
	w.started++
	n := &node{w: w, slot: slot, id: record.InstanceID(fmt.Sprintf("i%d.%d", slot, w.started))}
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	n.part = replica.New(record.LedgerStream(0), fold.NewLedger())
	n.log = logstore.NewPublisher(n, n.id, logstore.PublisherOptions{
		Linger: 5 * time.Millisecond, RetryInterval: 50 * time.Millisecond, MaxRecords: 100,
	})
	n.holder = claim.NewHolder(claim.Parts{
		Self: logstore.Instance{ID: n.id, Zone: homeZone}, Log: n.log, Caller: n, Members: n,
		Partitions: []*claim.Replica{n.part}, Logger: zerolog.Nop(),
	}, claim.Options{Modes: modeOf(mode)})
	n.fleet = claim.NewFleet(n.holder)
	n.witness = n.holder.Witness()
	w.mu.Lock()
	w.nodes[slot] = n
	w.mu.Unlock()
	w.running.Go(func() { n.follow(ctx) })
	w.running.Go(func() { n.holder.Run(ctx) })
}

type modeOf claim.Mode

func (m modeOf) WhenLogAway(record.Team) claim.Mode { return claim.Mode(m) }

// kill ends an instance for good: nothing it does has an effect any more.
func (w *world) kill(slot int) *node {
	n := w.at(slot)
	n.mu.Lock()
	n.dead = true
	if n.still != nil {
		close(n.still)
		n.still = nil
	}
	n.mu.Unlock()
	n.cancel()
	return n
}

func (w *world) stop() {
	w.cancel()
	for slot := range w.nodes {
		n := w.kill(slot)
		n.holder.Close()
		_ = n.log.Close()
	}
	w.running.Wait()
}

func (w *world) at(slot int) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[slot]
}

// alive waits while the instance is held still; it returns false once the
// instance is dead.
func (n *node) alive() bool {
	n.mu.Lock()
	still, dead := n.still, n.dead
	n.mu.Unlock()
	if still != nil && !dead {
		<-still
		return n.alive()
	}
	return !dead
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.still == nil && !n.dead {
		n.still = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.still != nil {
		close(n.still)
		n.still = nil
	}
}

// Append implements logstore.Log.
func (n *node) Append(_ context.Context, _ record.Stream, data []byte) (uint64, error) {
	if !n.alive() {
		return 0, logstore.ErrUnavailable
	}
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.offline[n.slot] {
		return 0, logstore.ErrUnavailable
	}
	offset := w.appendLocked(data)
	if w.lose > 0 {
		w.lose--
		return 0, logstore.ErrUnavailable
	}
	return offset, nil
}

func (w *world) appendLocked(data []byte) uint64 {
	offset := uint64(len(w.entries))
	w.entries = append(w.entries, logstore.Entry{Offset: offset, Data: data})
	return offset
}

// Read implements logstore.Log.
func (n *node) Read(_ context.Context, _ record.Stream, from uint64, _ time.Duration) (logstore.Page, error) {
	if !n.alive() {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.offline[n.slot] {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	from = min(from, uint64(len(n.w.entries)))
	return logstore.Page{Entries: n.w.entries[from:len(n.w.entries):len(n.w.entries)], Next: uint64(len(n.w.entries))}, nil
}

// follow keeps the instance's fold current while it reaches the platform.
func (n *node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := n.Read(ctx, "", n.part.Next(), 0)
		for _, entry := range page.Entries {
			if err == nil {
				_ = n.part.Apply(entry)
			}
		}
		sleep(ctx, followGap)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Live implements claim.Members.
func (n *node) Live() []logstore.Instance {
	var out []logstore.Instance
	for slot := range worldSize {
		other := n.w.at(slot)
		if other != nil && (other == n || n.Reachable(other.id)) {
			out = append(out, logstore.Instance{ID: other.id, Zone: homeZone})
		}
	}
	return out
}

// Reachable implements claim.Members; the adversary makes it wrong.
func (n *node) Reachable(id record.InstanceID) bool {
	if !n.alive() {
		return false
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for slot, other := range n.w.nodes {
		if other == nil || other.id != id {
			continue
		}
		link := [2]int{n.slot, slot}
		other.mu.Lock()
		defer other.mu.Unlock()
		return !other.dead && other.still == nil && !n.w.cut[link] && !n.w.deaf[link] && !n.w.wrongly[slot]
	}
	return false
}

// ZoneListed implements claim.Members.
func (n *node) ZoneListed(record.Zone) bool { return true }

// PlatformUp implements claim.Members.
func (n *node) PlatformUp() bool {
	if !n.alive() {
		return false
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return !n.w.offline[n.slot]
}

// Call implements peer.Caller.
func (n *node) Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error {
	if !n.alive() {
		sleep(n.w.ctx, dyingWait)
		return peer.ErrUnreachable
	}
	target, link := n.w.find(n.slot, to)
	n.w.mu.Lock()
	cut, slow, deaf := n.w.cut[link], n.w.slow[link], n.w.deaf[link]
	n.w.mu.Unlock()
	if target == nil {
		return errors.Join(peer.ErrUnreachable, peer.ErrNotSent)
	}
	if cut {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	done := make(chan func(), 1)
	n.w.running.Go(func() {
		if slow {
			sleep(n.w.ctx, 3*time.Second)
		}
		if target.alive() {
			done <- target.serve(method, args, reply)
		}
	})
	select {
	case deliver := <-done:
		if deaf {
			break
		}
		deliver()
		return nil
	case <-ctx.Done():
	}
	<-ctx.Done()
	return peer.ErrUnreachable
}

func (w *world) find(from int, to record.InstanceID) (*node, [2]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for slot, n := range w.nodes {
		if n != nil && n.id == to {
			return n, [2]int{from, slot}
		}
	}
	return nil, [2]int{}
}

// serve runs a method and returns what hands its reply over.
func (n *node) serve(method string, args, reply any) func() {
	service := claim.NewService(n.holder)
	switch a := args.(type) {
	case claim.BeginArgs:
		var out claim.BeginReply
		_ = service.Begin(a, &out)
		return func() { *reply.(*claim.BeginReply) = out }
	case claim.PlaceArgs:
		_ = service.Place(a, nil)
	case claim.EndArgs:
		var out claim.EndReply
		_ = service.End(a, &out)
		return func() { *reply.(*claim.EndReply) = out }
	case claim.RunningArgs:
		var out claim.RunningReply
		_ = service.Running(a, &out)
		return func() { *reply.(*claim.RunningReply) = out }
	case right.AcknowledgeArgs[claim.Use]:
		var out right.AcknowledgeReply
		_ = n.witness.Acknowledge(a, &out)
		if n.w.broken.ackSealed {
			out.Results = make([]right.Result, len(a.Batches))
		}
		return func() { *reply.(*right.AcknowledgeReply) = out }
	default:
		panic("no such method: " + method)
	}
	return func() {}
}

// closeByTimeout is the broken takeover: whoever believes a holder gone closes
// its shard.
func (w *world) closeByTimeout() {
	for slot := range worldSize {
		n := w.at(slot)
		n.mu.Lock()
		still := n.still != nil
		n.mu.Unlock()
		if still {
			continue
		}
		n.part.View(func(f *fold.Ledger) {
			for _, s := range f.ClaimShards() {
				if s.Closed || s.Holder == n.id || n.Reachable(s.Holder) || !n.PlatformUp() {
					continue
				}
				env, _ := record.Encode(record.Close{Right: s.Right, Forced: true})
				data, _ := record.EncodeBatch(record.Batch{Writer: record.InstanceID("forced-" + s.Right), Seq: 1, Records: []record.Envelope{env}})
				w.mu.Lock()
				w.appendLocked(data)
				w.mu.Unlock()
			}
		})
	}
}
