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

// The names under which instances serve each other.
const (
	ServiceName        = "claim.Service"
	WitnessServiceName = "claim.Witness"
)

// acknowledgeAttempts is how often a batch is sent before it counts as lost.
// The witness takes copies, and callers wait only Options.Acknowledge, so a
// short cut between holder and witness does not cost the shard.
const acknowledgeAttempts = 30

// Parts are what a Holder and a Fleet are made of.
type Parts struct {
	Self    logstore.Instance
	Log     Appender
	Caller  peer.Caller
	Members Members
	// Partitions are the replicas of the ledger partitions, by number.
	Partitions []*Replica
	Logger     zerolog.Logger
}

// Holder holds and witnesses claim shards for this instance. It is safe for
// concurrent use.
type Holder struct {
	parts   Parts
	opts    Options
	batcher *right.Batcher[Use]
	witness *right.Service[Use]
	// running says whether a run is under way at this instance; a Fleet sets it.
	running func(record.RequestKey, record.RunID) bool

	ctx     context.Context // Ends with Close.
	cancel  context.CancelFunc
	working sync.WaitGroup

	mu     sync.Mutex // Guards all below.
	shards map[shardID]*shard
	busy   map[shardID]bool
	away   map[record.InstanceID]time.Time // Out of reach since.
	closed bool
}

// NewHolder returns a holder of nothing.
func NewHolder(parts Parts, opts Options) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	opts = opts.withDefaults()
	h := &Holder{
		parts: parts, opts: opts, ctx: ctx, cancel: cancel,
		batcher: right.NewBatcher[Use](parts.Caller, right.BatcherOptions{
			WitnessService: WitnessServiceName, CallTimeout: opts.Acknowledge, MaxAttempts: acknowledgeAttempts,
		}),
		running: func(record.RequestKey, record.RunID) bool { return false },
		shards:  map[shardID]*shard{}, busy: map[shardID]bool{}, away: map[record.InstanceID]time.Time{},
	}
	h.witness = right.NewService[Use](parts.Self.ID, validator{parts.Partitions}, opts.Acknowledge)
	return h
}

// Witness returns the service to register as WitnessServiceName.
func (h *Holder) Witness() *right.Service[Use] { return h.witness }

// Run looks after the shards until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(h.opts.Tick)
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

// Handover closes all held shards with their claims, so that others can take
// them at once. Call it when no run is left here. It ends with ctx at the
// latest; then the shards are left to their witnesses.
func (h *Holder) Handover(ctx context.Context) {
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

// Close ends all work. Shards that were not handed over stay to their
// witnesses.
func (h *Holder) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.working.Wait()
}

// tick looks at each shard that has an epoch, and at those that this instance
// could begin.
func (h *Holder) tick() {
	live := h.parts.Members.Live()
	h.noteAway()
	for n, part := range h.parts.Partitions {
		for _, id := range h.concerns(n, part) {
			h.look(id, part, live)
		}
	}
}

func (h *Holder) concerns(n int, part *Replica) []shardID {
	ids := []shardID{{Zone: "", Shard: n}, {Zone: h.parts.Self.Zone, Shard: n}}
	part.View(func(f *fold.Ledger) {
		for _, s := range f.ClaimShards() {
			id := shardID{Zone: s.Zone, Shard: s.Shard.Shard}
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	})
	return ids
}

// look acts on one shard, one action at a time. All actions need the log:
// while it is away an epoch is worth more than a closed one.
func (h *Holder) look(id shardID, part *Replica, live []logstore.Instance) {
	last, known := shardOf(part, id)
	self := h.parts.Self.ID
	h.forgetHeld(id, last)
	if known && !last.Supersedable() && last.Holder != self && last.Witness != self {
		return
	}
	if last.Holder == self {
		h.hold(id, part, last.Shard)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.busy[id] || !h.parts.Members.PlatformUp() {
		return
	}
	o := outlook{self: self, known: known, last: last, gone: h.gone}
	o.holders, o.witnesses = rank(id, live, h.parts.Members.ZoneListed)
	held := h.shards[id]
	o.broken = held != nil && held.held.Err() != nil
	act := plan(o)
	if act == actNone || act == actClose && held == nil {
		return
	}
	h.busy[id] = true
	h.working.Go(func() {
		h.act(act, id, part, o, held)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.busy, id)
	})
}

func (h *Holder) act(a action, id shardID, part *Replica, o outlook, held *shard) {
	switch a {
	case actTake:
		h.take(id, part, o)
	case actClose:
		h.closeOwn(h.ctx, held)
	case actSeal:
		h.sealAndClose(id, part, o.last)
	case actNone:
	}
}

// forgetHeld drops a held shard whose epoch has ended in the fold.
func (h *Holder) forgetHeld(id shardID, last fold.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.shards[id]
	if !ok || last.Right == held.terms.Right && !last.Closed {
		return
	}
	held.retire()
	delete(h.shards, id)
	h.parts.Logger.Info().Str("zone", string(id.Zone)).Int("shard", id.Shard).Msg("claim: shard given up")
}

// take begins the next epoch of a shard, if the fold says so.
func (h *Holder) take(id shardID, part *Replica, o outlook) {
	ctx, cancel := context.WithTimeout(h.ctx, h.opts.Append)
	defer cancel()
	r := record.Shard{
		Right: record.NewRightID(), Zone: id.Zone, Shard: id.Shard, Epoch: o.last.Epoch + 1,
		Holder: o.self, Witness: o.witness(),
	}
	offset, err := h.parts.Log.Append(ctx, part.Stream(), r)
	if err == nil && part.Wait(ctx, offset) == nil {
		h.hold(id, part, r)
	}
	// Else it may reach the log later; a later tick then finds it.
}

// hold starts using an epoch that the fold has given to this instance.
func (h *Holder) hold(id shardID, part *Replica, r record.Shard) {
	last, ok := shardOf(part, id)
	if !ok || last.Closed || last.Right != r.Right || last.Holder != h.parts.Self.ID {
		return
	}
	terms := termsOf(last)
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, has := h.shards[id]; has && old.terms.Right == r.Right || h.closed {
		return
	}
	s := newShard(h.ctx, terms, right.NewHeldRight(terms, h.batcher), part, h.parts.Log, h.opts)
	h.shards[id] = s
	h.working.Go(s.writeLazily)
	h.parts.Logger.Info().Str("zone", string(id.Zone)).Int("shard", id.Shard).Uint64("epoch", last.Epoch).
		Str("witness", string(last.Witness)).Msg("claim: shard held")
}

// closeOwn closes an epoch that this instance holds.
func (h *Holder) closeOwn(ctx context.Context, s *shard) {
	h.appendClose(ctx, s.part, s.terms.Right, s.close())
}

// sealAndClose ends an epoch whose holder is gone. After the seal the holder
// can count nothing by its witness, whenever it wakes up.
func (h *Holder) sealAndClose(id shardID, part *Replica, last fold.Shard) {
	terms := termsOf(last)
	uses, err := h.witness.SealLocal(terms)
	if err != nil {
		return
	}
	bodies := make([]Use, 0, len(uses))
	for _, u := range uses {
		bodies = append(bodies, u.Body)
	}
	h.parts.Logger.Info().Str("zone", string(id.Zone)).Int("shard", id.Shard).Int("claims", len(bodies)).
		Str("holder", string(last.Holder)).Msg("claim: shard sealed")
	if h.appendClose(h.ctx, part, terms.Right, bodies) {
		h.witness.Forget(terms.Right)
	}
}

// appendClose puts the claims that the log lacks on it and closes the epoch.
// The claims go first, in batches: one batch has a largest size.
func (h *Holder) appendClose(ctx context.Context, part *Replica, id record.RightID, uses []Use) bool {
	claims, ends := missing(part, uses)
	for len(claims) > maxGroup {
		if _, err := h.parts.Log.Append(ctx, part.Stream(), records(claims[:maxGroup])...); err != nil {
			return false
		}
		claims = claims[maxGroup:]
	}
	out := append([]record.Record{record.Close{Right: id, By: h.parts.Self.ID, Claims: claims}}, ends...)
	offset, err := h.parts.Log.Append(ctx, part.Stream(), out...)
	return err == nil && part.Wait(ctx, offset) == nil
}

// missing returns the claims that the fold lacks, and all outcomes.
func missing(part *Replica, uses []Use) (claims []record.Claim, ends []record.Record) {
	part.View(func(f *fold.Ledger) {
		for _, u := range uses {
			if u.Claim.Run == "" {
				continue // A probe.
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

func records(claims []record.Claim) []record.Record {
	out := make([]record.Record, 0, len(claims))
	for _, c := range claims {
		out = append(out, c)
	}
	return out
}

// noteAway keeps since when each instance has been out of reach.
func (h *Holder) noteAway() {
	now := h.opts.Now()
	concerned := map[record.InstanceID]struct{}{}
	for _, part := range h.parts.Partitions {
		part.View(func(f *fold.Ledger) {
			for _, s := range f.ClaimShards() {
				concerned[s.Holder] = struct{}{}
				concerned[s.Witness] = struct{}{}
			}
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.away {
		if _, ok := concerned[id]; !ok {
			delete(h.away, id)
		}
	}
	for id := range concerned {
		if h.parts.Members.Reachable(id) {
			delete(h.away, id)
		} else if _, known := h.away[id]; !known {
			h.away[id] = now
		}
	}
}

// gone is called with the lock held.
func (h *Holder) gone(id record.InstanceID) bool {
	since, away := h.away[id]
	return away && id != h.parts.Self.ID && h.opts.Now().Sub(since) >= h.opts.Gone
}

// shard returns a shard that this instance holds.
func (h *Holder) shard(id shardID) (*shard, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[id]
	if !ok {
		return nil, errNotHolder
	}
	return s, nil
}

// begin answers an attempt's Begin for a shard held here.
func (h *Holder) begin(ctx context.Context, r Request, attempt string, runner record.InstanceID) (Ticket, error) {
	s, err := h.shard(h.shardOf(r))
	if err != nil {
		return Ticket{}, err
	}
	ticket, err := s.begin(ctx, r, attempt, runner)
	if errors.Is(err, right.ErrSealed) || errors.Is(err, right.ErrClosed) {
		err = errNotHolder
	}
	ticket.RunnerGone = ticket.Join && ticket.Runner != h.parts.Self.ID && !h.parts.Members.Reachable(ticket.Runner)
	lost := err == nil && ticket.Join && ticket.Outcome == 0 && r.Repeatable && r.Lost == ticket.Run
	if lost && (ticket.RunnerGone || !h.runs(ctx, ticket.Runner, r.Key, ticket.Run)) {
		return s.takeOver(r, attempt, runner, ticket), nil
	}
	return ticket, err
}

func (h *Holder) shardOf(r Request) shardID {
	return shardID{Zone: r.Home, Shard: record.ClaimPartition(r.Key, len(h.parts.Partitions))}
}

func shardOf(part *Replica, id shardID) (s fold.Shard, ok bool) {
	part.View(func(f *fold.Ledger) { s, ok = f.ClaimShard(id.Zone, id.Shard) })
	return s, ok
}

func termsOf(s fold.Shard) right.Terms {
	return right.Terms{Right: s.Right, Holder: s.Holder, Witness: s.Witness, Offset: s.Offset}
}
