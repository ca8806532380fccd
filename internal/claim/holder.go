package claim

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

// The net/rpc service names that instances register for each other.
const (
	ServiceName        = "claim.Service"
	WitnessServiceName = "claim.Witness"
)

// maxAcknowledgeAttempts is how often a batch is sent to the witness before the
// acknowledgement counts as lost. The witness ignores duplicates, and callers
// wait only Options.AcknowledgeTimeout, so a short interruption between holder
// and witness does not cost the holder the shard.
const maxAcknowledgeAttempts = 30

// Dependencies are the components that a Holder and its Client use.
type Dependencies struct {
	Self    logstore.Instance
	Log     Appender
	Caller  peer.Caller
	Members Members
	// Partitions are the replicas of the ledger partitions, indexed by partition
	// number.
	Partitions []*Replica
	Logger     zerolog.Logger
}

// Holder manages the claim shards that this instance holds or witnesses. It is
// safe for concurrent use.
type Holder struct {
	deps    Dependencies
	opts    Options
	batcher *right.Batcher[Use]
	witness *right.Service[Use]
	runs    *runTable // The runs that this instance executes.

	ctx        context.Context // Canceled by Close.
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu               sync.Mutex // Guards all below.
	shards           map[shardID]*shard
	actionInProgress map[shardID]bool
	unreachableSince map[record.InstanceID]time.Time // Start of the outage, for each unreachable instance.
	closed           bool
}

// NewHolder returns a Holder that holds no shards yet. Run acquires them.
func NewHolder(deps Dependencies, opts Options) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	opts = opts.withDefaults()
	h := &Holder{
		deps: deps, opts: opts, ctx: ctx, cancel: cancel,
		batcher: right.NewBatcher[Use](deps.Caller, right.BatcherOptions{
			WitnessService: WitnessServiceName, CallTimeout: opts.AcknowledgeTimeout, MaxAttempts: maxAcknowledgeAttempts,
		}),
		runs:   newRunTable(deps.Self.ID, opts.Now),
		shards: map[shardID]*shard{}, actionInProgress: map[shardID]bool{}, unreachableSince: map[record.InstanceID]time.Time{},
	}
	h.witness = right.NewService[Use](deps.Self.ID, validator{deps.Partitions}, opts.AcknowledgeTimeout)
	return h
}

// Witness returns the service to register as WitnessServiceName.
func (h *Holder) Witness() *right.Service[Use] { return h.witness }

// Run checks all shards every Options.TickInterval until ctx ends, and beside that
// the ends of this instance's runs.
func (h *Holder) Run(ctx context.Context) {
	var ends sync.WaitGroup
	defer ends.Wait()
	ends.Go(func() {
		for ctx.Err() == nil {
			h.logLostEnds(endLogDelay)
			sleep(ctx, endCheckInterval)
		}
	})
	ticker := time.NewTicker(h.opts.TickInterval)
	defer ticker.Stop()
	for {
		h.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// HandOver closes all held shards together with their claims, so that other
// instances can acquire them at once. Call it when no run is left at this
// instance. If ctx ends first, the remaining shards are left to their
// witnesses.
func (h *Holder) HandOver(ctx context.Context) {
	h.mu.Lock()
	h.closed = true
	held := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		held = append(held, s)
	}
	h.mu.Unlock()
	var running sync.WaitGroup
	for _, s := range held {
		running.Go(func() { h.closeOwn(ctx, s) })
	}
	running.Wait()
}

// Close stops all background work. Shards that were not handed over are left to
// their witnesses.
func (h *Holder) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.background.Wait()
}

// tick checks each shard that has an epoch, and those that this instance could
// acquire.
func (h *Holder) tick() {
	live := h.deps.Members.Live()
	h.updateUnreachable()
	for n, partition := range h.deps.Partitions {
		for _, id := range h.shardsToCheck(n, partition) {
			h.checkShard(id, partition, live)
		}
	}
}

// shardsToCheck returns the shards of partition n that have an epoch, and those
// of sessions without a home zone and of this instance's zone.
func (h *Holder) shardsToCheck(n int, partition *Replica) []shardID {
	ids := []shardID{{Zone: "", Shard: n}, {Zone: h.deps.Self.Zone, Shard: n}}
	partition.View(func(f *fold.Ledger) {
		for _, s := range f.ClaimShards() {
			id := shardID{Zone: s.Zone, Shard: s.Shard.Shard}
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// checkShard starts the action that a shard needs, if any, unless one is
// already in progress for it. All actions append to the log. While the log is
// unavailable none starts: an open epoch can still count claims by its witness,
// a closed one cannot.
func (h *Holder) checkShard(id shardID, partition *Replica, live []logstore.Instance) {
	latest, hasEpoch := latestEpoch(partition, id)
	self := h.deps.Self.ID
	h.dropEnded(id, latest)
	if hasEpoch && !latest.Supersedable() && latest.Holder != self && latest.Witness != self {
		return
	}
	if latest.Holder == self {
		h.startShard(id, partition, latest.Shard)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.actionInProgress[id] || !h.deps.Members.PlatformUp() {
		return
	}
	view := shardView{self: self, hasEpoch: hasEpoch, latest: latest, isGone: h.isGone}
	view.holders, view.witnesses = rankCandidates(id, live, h.deps.Members.ZoneListed)
	held := h.shards[id]
	view.witnessLost = held != nil && held.heldRight.Err() != nil
	act := nextAction(view)
	if act == actNone || act == actClose && held == nil {
		return
	}
	h.actionInProgress[id] = true
	h.background.Go(func() {
		h.execute(act, id, partition, view, held)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.actionInProgress, id)
	})
}

func (h *Holder) execute(a action, id shardID, partition *Replica, view shardView, held *shard) {
	switch a {
	case actAcquire:
		h.acquire(id, partition, view)
	case actClose:
		h.closeOwn(h.ctx, held)
	case actSeal:
		h.sealAndClose(id, partition, view.latest)
	case actNone:
	}
}

// dropEnded stops using a held shard whose epoch has ended in the fold.
func (h *Holder) dropEnded(id shardID, latest fold.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.shards[id]
	if !ok || latest.Right == held.terms.Right && !latest.Closed {
		return
	}
	held.retire()
	delete(h.shards, id)
	h.deps.Logger.Info().Str("zone", string(id.Zone)).Int("shard", id.Shard).Msg("claim: shard released")
}

// acquire begins the next epoch of a shard with this instance as holder. The
// fold rejects it if another instance was first.
func (h *Holder) acquire(id shardID, partition *Replica, view shardView) {
	ctx, cancel := context.WithTimeout(h.ctx, h.opts.AppendTimeout)
	defer cancel()
	r := record.Shard{
		Right: record.NewRightID(), Zone: id.Zone, Shard: id.Shard, Epoch: view.latest.Epoch + 1,
		Holder: view.self, Witness: view.bestWitness(),
	}
	offset, err := h.deps.Log.Append(ctx, partition.Stream(), r)
	if err == nil && partition.AwaitOffset(ctx, offset) == nil {
		h.startShard(id, partition, r)
	}
	// After an error the record may still reach the log; a later tick then finds
	// it.
}

// startShard starts to serve a shard if this instance is the holder of its
// latest epoch in the fold and that epoch is r. It does nothing if the shard is
// served already.
func (h *Holder) startShard(id shardID, partition *Replica, r record.Shard) {
	latest, ok := latestEpoch(partition, id)
	if !ok || latest.Closed || latest.Right != r.Right || latest.Holder != h.deps.Self.ID {
		return
	}
	terms := termsOf(latest)
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, wasHeld := h.shards[id]; wasHeld && old.terms.Right == r.Right || h.closed {
		return
	}
	s := newShard(h.ctx, terms, right.NewHeldRight(terms, h.batcher), partition, h.deps.Log, h.opts)
	h.shards[id] = s
	h.background.Go(s.runLogWriter)
	h.deps.Logger.Debug().Str("zone", string(id.Zone)).Int("shard", id.Shard).Uint64("epoch", latest.Epoch).
		Str("witness", string(latest.Witness)).Msg("claim: shard acquired")
}

// closeOwn closes an epoch that this instance holds.
func (h *Holder) closeOwn(ctx context.Context, s *shard) {
	h.appendClose(ctx, s.partition, s.terms.Right, s.close())
}

// sealAndClose ends an epoch whose holder is unreachable. After the seal, the
// holder can count no claim by its witness, whenever it resumes.
func (h *Holder) sealAndClose(id shardID, partition *Replica, latest fold.Shard) {
	terms := termsOf(latest)
	uses, err := h.witness.SealLocal(terms)
	if err != nil {
		return
	}
	bodies := make([]Use, 0, len(uses))
	for _, u := range uses {
		bodies = append(bodies, u.Body)
	}
	h.deps.Logger.Info().Str("zone", string(id.Zone)).Int("shard", id.Shard).Int("claims", len(bodies)).
		Str("holder", string(latest.Holder)).Msg("claim: shard sealed")
	if h.appendClose(h.ctx, partition, terms.Right, bodies) {
		h.witness.Forget(terms.Right)
	}
}

// appendClose appends the claims that the log lacks and closes the epoch.
// Claims that exceed the size of one batch are appended before the close.
func (h *Holder) appendClose(ctx context.Context, partition *Replica, id record.RightID, uses []Use) bool {
	claims, ends := missingFromLog(partition, uses)
	for len(claims) > maxAppendEntries {
		if _, err := h.deps.Log.Append(ctx, partition.Stream(), asRecords(claims[:maxAppendEntries])...); err != nil {
			return false
		}
		claims = claims[maxAppendEntries:]
	}
	out := append([]record.Record{record.Close{Right: id, By: h.deps.Self.ID, Claims: claims}}, ends...)
	offset, err := h.deps.Log.Append(ctx, partition.Stream(), out...)
	return err == nil && partition.AwaitOffset(ctx, offset) == nil
}

// missingFromLog returns the claims that the fold lacks, and the ends of all
// uses that have an outcome.
func missingFromLog(partition *Replica, uses []Use) (claims []record.Claim, ends []record.Record) {
	partition.View(func(f *fold.Ledger) {
		for _, u := range uses {
			if u.Claim.Run == "" {
				continue // A probe of witnessConfirms.
			}
			if c, ok := f.Claim(u.Claim.Key); !ok || c.Run != u.Claim.Run {
				claims = append(claims, u.Claim)
			}
			if u.Outcome != 0 {
				ends = append(ends, record.ClaimEnd{Key: u.Claim.Key, Run: u.Claim.Run, Outcome: u.Outcome})
			}
		}
	})
	return claims, ends
}

// asRecords converts claims for an append.
func asRecords(claims []record.Claim) []record.Record {
	out := make([]record.Record, 0, len(claims))
	for _, c := range claims {
		out = append(out, c)
	}
	return out
}

// updateUnreachable records since when each holder and witness of a shard has
// been unreachable.
func (h *Holder) updateUnreachable() {
	now := h.opts.Now()
	watched := map[record.InstanceID]struct{}{}
	for _, partition := range h.deps.Partitions {
		partition.View(func(f *fold.Ledger) {
			for _, s := range f.ClaimShards() {
				watched[s.Holder] = struct{}{}
				watched[s.Witness] = struct{}{}
			}
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.unreachableSince {
		if _, ok := watched[id]; !ok {
			delete(h.unreachableSince, id)
		}
	}
	for id := range watched {
		if h.deps.Members.Reachable(id) {
			delete(h.unreachableSince, id)
		} else if _, known := h.unreachableSince[id]; !known {
			h.unreachableSince[id] = now
		}
	}
}

// isGone reports whether another instance has been unreachable for
// Options.UnreachableGracePeriod. The caller holds h.mu.
func (h *Holder) isGone(id record.InstanceID) bool {
	since, isUnreachable := h.unreachableSince[id]
	return isUnreachable && id != h.deps.Self.ID && h.opts.Now().Sub(since) >= h.opts.UnreachableGracePeriod
}

// shard returns a shard that this instance holds, errNotHolder if it does not.
func (h *Holder) shard(id shardID) (*shard, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return nil, errNotHolder
	}
	return s, nil
}

// begin handles an attempt's Begin for a shard that this instance holds.
func (h *Holder) begin(ctx context.Context, r Request, attempt string, runner record.InstanceID) (Ticket, error) {
	s, err := h.shard(h.shardIDOf(r))
	if err != nil {
		return Ticket{}, err
	}
	ticket, err := s.begin(ctx, r, attempt, runner)
	if errors.Is(err, right.ErrSealed) || errors.Is(err, right.ErrClosed) {
		err = errNotHolder
	}
	ticket.RunnerGone = ticket.Join && ticket.Runner != h.deps.Self.ID && !h.deps.Members.Reachable(ticket.Runner)
	isLost := err == nil && ticket.Join && ticket.Outcome == 0 && r.Lost == ticket.Run
	switch {
	case !isLost:
	case !r.Repeatable:
		return h.resolveLostRun(ctx, s, r, attempt, runner, ticket)
	case ticket.RunnerGone || !h.mayStillRun(ctx, ticket.Runner, r.Key, ticket.Run):
		return s.takeOver(r, attempt, runner, ticket), nil
	}
	return ticket, err
}

// foldClaim returns this instance's fold's claim of a key.
func (h *Holder) foldClaim(key record.RequestKey) (c fold.Claim, ok bool) {
	h.deps.Partitions[record.ClaimPartition(key, len(h.deps.Partitions))].View(func(f *fold.Ledger) { c, ok = f.Claim(key) })
	return c, ok
}

// shardIDOf returns the shard of a request, by its home zone and key.
func (h *Holder) shardIDOf(r Request) shardID {
	return shardID{Zone: r.Home, Shard: record.ClaimPartition(r.Key, len(h.deps.Partitions))}
}

// latestEpoch returns the latest epoch of a shard in the fold, open or closed; ok
// is false if it never had one.
func latestEpoch(partition *Replica, id shardID) (s fold.Shard, ok bool) {
	partition.View(func(f *fold.Ledger) { s, ok = f.ClaimShard(id.Zone, id.Shard) })
	return s, ok
}

// termsOf returns the terms of the right that an epoch is for its holder.
func termsOf(s fold.Shard) right.Terms {
	return right.Terms{Right: s.Right, Holder: s.Holder, Witness: s.Witness, Offset: s.Offset}
}
