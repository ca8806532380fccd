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
	fleetSize      = 3
	homeZone       = record.Zone("z")
	followInterval = 10 * time.Millisecond
	deadCallWait   = time.Hour // Calls of a dead instance return only once the simulation is stopped.
)

// simFleet is a simulated fleet of a few instances over one log. A test can cut
// links, lose answers, freeze instances and kill them. It runs in a synctest
// bubble.
type simFleet struct {
	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup
	activeDefects defects

	mu                sync.Mutex // Guards all below.
	entries           []logstore.Entry
	lostAppendAnswers int // Number of appends to take effect without an answer.
	instances         [fleetSize]*simInstance
	started           int
	cutLinks          map[[2]int]bool // Calls do not arrive. Keys: calling slot, called slot.
	slowLinks         map[[2]int]bool // Calls arrive after their caller's timeout.
	answerLossLinks   map[[2]int]bool // Answers do not arrive.
	platformCut       [fleetSize]bool // The instance cannot reach the platform.
	suspected         [fleetSize]bool // The other instances wrongly consider it unreachable.
	checker           checker
}

// defects enables deliberate faults that the checker must detect.
type defects struct {
	sealedWitnessAcknowledges bool // A sealed witness still acknowledges.
	closeOnSuspicion          bool // An instance closes the shard of a holder that it suspects, without a seal.
	unknownAsNotRun           bool // ErrUnknown is reported as ErrNotCounted.
	ignoreDigest              bool // Request bodies are not compared.
	rerunJoined               bool // A joined run is run again.
	unknownFreesKey           bool // A run of unknown outcome frees its key.
	runnerDeniesRuns          bool // A runner says of each run that it has not started it.
}

// simInstance is one instance of a simFleet, with its log replica and claim
// components.
type simInstance struct {
	sim       *simFleet
	slot      int
	id        record.InstanceID
	partition *claim.Replica
	log       *logstore.Publisher
	holder    *claim.Holder
	client    *claim.Client
	witness   *right.Service[claim.Use]
	cancel    context.CancelFunc

	mu     sync.Mutex
	dead   bool
	frozen chan struct{} // Not nil while frozen; closed to resume.
}

func newSimFleet(enabled defects, modes claim.Mode) *simFleet {
	sim := &simFleet{activeDefects: enabled, cutLinks: map[[2]int]bool{}, slowLinks: map[[2]int]bool{}, answerLossLinks: map[[2]int]bool{}, checker: newChecker()}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	for slot := range sim.instances {
		sim.start(slot, modes)
	}
	return sim
}

func (sim *simFleet) start(slot int, mode claim.Mode) {
	sim.started++
	n := &simInstance{sim: sim, slot: slot, id: record.InstanceID(fmt.Sprintf("i%d.%d", slot, sim.started))}
	ctx, cancel := context.WithCancel(sim.ctx)
	n.cancel = cancel
	n.partition = replica.New(record.LedgerStream(0), fold.NewLedger())
	n.log = logstore.NewPublisher(n, n.id, logstore.PublisherOptions{
		Linger: 5 * time.Millisecond, RetryInterval: 50 * time.Millisecond, MaxRecords: 100,
	})
	n.holder = claim.NewHolder(claim.Dependencies{
		Self: logstore.Instance{ID: n.id, Zone: homeZone}, Log: n.log, Caller: n, Members: n,
		Partitions: []*claim.Replica{n.partition}, Logger: zerolog.Nop(),
	}, claim.Options{Modes: fixedMode(mode)})
	n.client = claim.NewClient(n.holder)
	n.witness = n.holder.Witness()
	sim.mu.Lock()
	sim.instances[slot] = n
	sim.mu.Unlock()
	sim.running.Go(func() { n.followLog(ctx) })
	sim.running.Go(func() { n.holder.Run(ctx) })
}

type fixedMode claim.Mode

func (m fixedMode) WhenLogUnavailable(record.Team) claim.Mode { return claim.Mode(m) }

// kill stops an instance for good: its further calls have no effect.
func (sim *simFleet) kill(slot int) *simInstance {
	n := sim.instance(slot)
	n.mu.Lock()
	n.dead = true
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
	n.mu.Unlock()
	n.cancel()
	return n
}

func (sim *simFleet) stop() {
	sim.cancel()
	for slot := range sim.instances {
		n := sim.kill(slot)
		n.holder.Close()
		_ = n.log.Close()
	}
	sim.running.Wait()
}

func (sim *simFleet) instance(slot int) *simInstance {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.instances[slot]
}

// alive blocks while the instance is frozen and then reports whether it has not
// been killed.
func (n *simInstance) alive() bool {
	n.mu.Lock()
	frozen, dead := n.frozen, n.dead
	n.mu.Unlock()
	if frozen != nil && !dead {
		<-frozen
		return n.alive()
	}
	return !dead
}

func (n *simInstance) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil && !n.dead {
		n.frozen = make(chan struct{})
	}
}

func (n *simInstance) unfreeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

// Append implements logstore.Log.
func (n *simInstance) Append(_ context.Context, _ record.Stream, data []byte) (uint64, error) {
	if !n.alive() {
		return 0, logstore.ErrUnavailable
	}
	sim := n.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.platformCut[n.slot] {
		return 0, logstore.ErrUnavailable
	}
	offset := sim.appendLocked(data)
	if sim.lostAppendAnswers > 0 {
		sim.lostAppendAnswers--
		return 0, logstore.ErrUnavailable
	}
	return offset, nil
}

func (sim *simFleet) appendLocked(data []byte) uint64 {
	offset := uint64(len(sim.entries))
	sim.entries = append(sim.entries, logstore.Entry{Offset: offset, Data: data})
	return offset
}

// Read implements logstore.Log.
func (n *simInstance) Read(_ context.Context, _ record.Stream, from uint64, _ time.Duration) (logstore.Page, error) {
	if !n.alive() {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	if n.sim.platformCut[n.slot] {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	from = min(from, uint64(len(n.sim.entries)))
	return logstore.Page{Entries: n.sim.entries[from:len(n.sim.entries):len(n.sim.entries)], Next: uint64(len(n.sim.entries))}, nil
}

// followLog applies new log entries to the instance's fold while it can reach
// the platform.
func (n *simInstance) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := n.Read(ctx, "", n.partition.NextOffset(), 0)
		for _, entry := range page.Entries {
			if err == nil {
				_ = n.partition.Apply(entry)
			}
		}
		sleep(ctx, followInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Live implements claim.Members.
func (n *simInstance) Live() []logstore.Instance {
	var out []logstore.Instance
	for slot := range fleetSize {
		other := n.sim.instance(slot)
		if other != nil && (other == n || n.Reachable(other.id)) {
			out = append(out, logstore.Instance{ID: other.id, Zone: homeZone})
		}
	}
	return out
}

// Reachable implements claim.Members. It is wrong about suspected instances.
func (n *simInstance) Reachable(id record.InstanceID) bool {
	if !n.alive() {
		return false
	}
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	for slot, other := range n.sim.instances {
		if other == nil || other.id != id {
			continue
		}
		link := [2]int{n.slot, slot}
		other.mu.Lock()
		defer other.mu.Unlock()
		return !other.dead && other.frozen == nil && !n.sim.cutLinks[link] && !n.sim.answerLossLinks[link] && !n.sim.suspected[slot]
	}
	return false
}

// ZoneListed implements claim.Members.
func (n *simInstance) ZoneListed(record.Zone) bool { return true }

// PlatformUp implements claim.Members.
func (n *simInstance) PlatformUp() bool {
	if !n.alive() {
		return false
	}
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return !n.sim.platformCut[n.slot]
}

// Call implements peer.Caller.
func (n *simInstance) Call(ctx context.Context, to record.InstanceID, method string, args, reply any) error {
	if !n.alive() {
		sleep(n.sim.ctx, deadCallWait)
		return peer.ErrUnreachable
	}
	target, link := n.sim.findInstance(n.slot, to)
	n.sim.mu.Lock()
	cut, slow, deaf := n.sim.cutLinks[link], n.sim.slowLinks[link], n.sim.answerLossLinks[link]
	n.sim.mu.Unlock()
	if target == nil {
		return errors.Join(peer.ErrUnreachable, peer.ErrNotSent)
	}
	if cut {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	done := make(chan func(), 1)
	n.sim.running.Go(func() {
		if slow {
			sleep(n.sim.ctx, 3*time.Second)
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

func (sim *simFleet) findInstance(from int, to record.InstanceID) (*simInstance, [2]int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for slot, n := range sim.instances {
		if n != nil && n.id == to {
			return n, [2]int{from, slot}
		}
	}
	return nil, [2]int{}
}

// serve runs a method and returns a function that delivers its reply to the
// caller.
func (n *simInstance) serve(method string, args, reply any) func() {
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
		if n.sim.activeDefects.runnerDeniesRuns {
			out = claim.RunningReply{NotStarted: true}
		}
		return func() { *reply.(*claim.RunningReply) = out }
	case right.AcknowledgeArgs[claim.Use]:
		var out right.AcknowledgeReply
		_ = n.witness.Acknowledge(a, &out)
		if n.sim.activeDefects.sealedWitnessAcknowledges {
			out.Results = make([]right.Result, len(a.Batches))
		}
		return func() { *reply.(*right.AcknowledgeReply) = out }
	default:
		panic("no such method: " + method)
	}
	return func() {}
}

// closeSuspected implements the defect closeOnSuspicion: each running instance
// closes the shards whose holder it considers unreachable.
func (sim *simFleet) closeSuspected() {
	for slot := range fleetSize {
		n := sim.instance(slot)
		n.mu.Lock()
		isFrozen := n.frozen != nil
		n.mu.Unlock()
		if isFrozen {
			continue
		}
		n.partition.View(func(f *fold.Ledger) {
			for _, s := range f.ClaimShards() {
				if s.Closed || s.Holder == n.id || n.Reachable(s.Holder) || !n.PlatformUp() {
					continue
				}
				env, _ := record.Encode(record.Close{Right: s.Right, Forced: true})
				data, _ := record.EncodeBatch(record.Batch{Writer: record.InstanceID("forced-" + s.Right), Seq: 1, Records: []record.Envelope{env}})
				sim.mu.Lock()
				sim.appendLocked(data)
				sim.mu.Unlock()
			}
		})
	}
}
