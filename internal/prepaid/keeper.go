package prepaid

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// maxReadWait is the longest wait of one read. Short: a connection that
	// fell silent without an error is noticed after it.
	maxReadWait = time.Second
	// readInterval spaces reads, since every instance's statement ends every
	// read of all others.
	readInterval = 250 * time.Millisecond
	// reloadThreshold is how long the log may be out of reach before its newest
	// records are read in place of all that came meanwhile: what a fleet states in some
	// seconds takes a small link longer to carry than one call may last.
	reloadThreshold = 2 * time.Second
	// publishCheckInterval is how often it is looked whether there is something to state.
	publishCheckInterval = 100 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
	// LogReachableTTL is how old the last read may be for a request to wait for a
	// claim; without the log it would wait in vain.
	LogReachableTTL = 1500 * time.Millisecond
	// resolveInterval is the pause between two rounds of asking again.
	resolveInterval = 500 * time.Millisecond
	// claimTimeout is how long a claim takes, with two round trips to the log,
	// and room for one that collides with another's.
	claimTimeout = 60 * time.Millisecond
	// MaxClaimWait is the longest that a request waits for a claim: some round
	// trips to the log, while another instance gives back.
	MaxClaimWait = 400 * time.Millisecond
)

// Controller runs a Book against the log.
type Controller struct {
	Accounts  *Accounts
	Directory *allocator.Directory
	Peers     *Peers
	Store     logstore.Keyed
	Clock     func() time.Duration
	Logger    zerolog.Logger

	triggerRead       chan struct{}
	triggerPublish    chan struct{}
	lastReadAt        atomic.Int64 // Clock at the last read, in nanoseconds; 0 for none.
	readStartedAt     atomic.Int64 // Clock at the begin of the last read, and of the last that succeeded.
	lastReadStartedAt atomic.Int64
	nextSequence      uint64 // Of the next write.
	announcementEpoch uint64 // Announcements written.
	epoch             uint64
	logUnavailable    bool // The reads fail.
	leaving           atomic.Bool
	reclaimedTokens   atomic.Int64
	reclaimedSequence map[record.InstanceID]uint64 // Sequences of the dead's statements that were made final.
}

// NewController returns a Keeper; Run makes it work.
func NewController(accounts *Accounts, directory *allocator.Directory, peers *Peers, log logstore.Keyed, clock func() time.Duration, logger zerolog.Logger) *Controller {
	return &Controller{
		Accounts: accounts, Directory: directory, Peers: peers, Store: log, reclaimedSequence: map[record.InstanceID]uint64{}, Clock: clock, Logger: logger, epoch: 1,
		triggerRead: make(chan struct{}, 1), triggerPublish: make(chan struct{}, 1),
	}
}

// Run follows the log and writes statements until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { c.followAllocators(ctx); return nil })
	group.Go(func() error { c.maintainRole(ctx); return nil })
	group.Go(func() error { c.returnExcess(ctx); return nil })
	group.Go(func() error { c.findPredecessors(ctx); return nil })
	group.Go(func() error { c.probeAllocators(ctx); return nil })
	group.Go(func() error { c.publishRecords(ctx); return nil })
	group.Go(func() error { c.resolveLostReplies(ctx); return nil })
	_ = group.Wait()
}

// Reservation is a request's part of a budget, at its most.
type Reservation struct {
	controller *Controller
	team       record.Team
	tokens     int64
}

// Tokens returns the size of the reservation.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle ends the reservation: used tokens stay spent. Call it once.
func (r *Reservation) Settle(used int64) { r.controller.Accounts.Settle(r.team, r.tokens, used) }

// Reserve sets tokens aside. If too little is held here, it waits a moment for
// a claim while the log answers, and asks other instances.
func (c *Controller) Reserve(ctx context.Context, team record.Team, tokens int64) (*Reservation, error) {
	err := c.Accounts.Reserve(team, tokens, c.Clock())
	if errors.Is(err, ErrInsufficient) && c.Accounts.Role() == allocator.Member {
		err = c.withdraw(ctx, team, tokens)
	}
	if errors.Is(err, ErrInsufficient) && c.Accounts.Role() != allocator.Member {
		err = c.findTokens(ctx, team, tokens)
	}
	if err != nil {
		return nil, err
	}
	return &Reservation{controller: c, team: team, tokens: tokens}, nil
}

// findTokens looks for tokens: on the log first, then at other instances.
func (c *Controller) findTokens(ctx context.Context, team record.Team, tokens int64) error {
	if !c.Accounts.MayFindTokens(team) {
		return ErrInsufficient
	}
	c.Accounts.AddShortfall(team, tokens)
	defer c.Accounts.AddShortfall(team, -tokens)
	startedAt := c.Clock()
	if c.isLogReachable() {
		if err := c.awaitTokens(ctx, team, tokens, claimTimeout); !errors.Is(err, ErrInsufficient) {
			return err
		}
	}
	c.Peers.RequestTokens(ctx, c.Accounts, team, tokens, c.Clock())
	if !c.isLogReachable() {
		return c.Accounts.Reserve(team, tokens, c.Clock())
	}
	return c.awaitTokens(ctx, team, tokens, MaxClaimWait-(c.Clock()-startedAt))
}

// awaitTokens tries again whenever more may be at hand, for that long.
func (c *Controller) awaitTokens(ctx context.Context, team record.Team, tokens int64, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		changed := c.Accounts.Changed()
		err := c.Accounts.Reserve(team, tokens, c.Clock())
		if !errors.Is(err, ErrInsufficient) {
			return err
		}
		logstore.Kick(c.triggerPublish)
		select {
		case <-changed:
		case <-timer.C:
			return c.Accounts.Reserve(team, tokens, c.Clock())
		case <-ctx.Done():
			return ErrInsufficient
		}
	}
}

func (c *Controller) isLogReachable() bool {
	at := c.lastReadAt.Load()
	return at != 0 && c.Clock()-time.Duration(at) < LogReachableTTL
}

// newFollower applies the log to the book.
func (c *Controller) newFollower() *logstore.Follower {
	return &logstore.Follower{
		Log: c.Store, Topic: logstore.TopicBudgets, Wait: maxReadWait, Pause: readInterval, Kick: c.triggerRead, Afresh: reloadThreshold,
		Begin: func() { c.readStartedAt.Store(int64(c.Clock())) }, Reset: c.Accounts.ResetOthers, Record: c.applyRecord, Loaded: func() {}, Outcome: c.recordRead,
	}
}

// recordRead notes how old the book is, and logs when reading begins to fail and
// when it works again.
func (c *Controller) recordRead(err error) {
	if err == nil {
		c.lastReadAt.Store(int64(c.Clock()))
		c.lastReadStartedAt.Store(c.readStartedAt.Load())
		c.Accounts.MarkCaughtUp(c.Clock())
	}
	switch {
	case err != nil && !c.logUnavailable:
		c.Logger.Warn().Err(err).Msg("prepaid: budgets log lost; spending what is held")
	case err == nil && c.logUnavailable:
		c.Logger.Info().Msg("prepaid: budgets log regained")
	}
	c.logUnavailable = err != nil
}

func (c *Controller) applyRecord(r logstore.KeyedRecord) {
	var rec *ClaimRecord
	if r.Value != nil {
		rec = &ClaimRecord{}
		if err := cbor.Unmarshal(r.Value, rec); err != nil {
			c.Logger.Error().Err(err).Str("key", r.Key).Msg("prepaid: unreadable statement passed over")
			return
		}
	}
	c.Accounts.Apply(record.InstanceID(r.Key), rec, c.Clock())
}

// publishRecords states claims while ctx lasts. It begins once the log has been read.
func (c *Controller) publishRecords(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, publishCheckInterval, c.triggerPublish)
		if !c.IsLoaded() {
			continue
		}
		if c.leaving.Load() && (c.isLogReachable() || c.Accounts.Role() == allocator.Member) {
			c.Accounts.Leave()
		}
		if rec := c.Accounts.NextRecord(c.Clock()); rec != nil {
			if c.putRecord(ctx, c.Accounts.self.Key, rec) {
				c.Accounts.MarkAcknowledged(rec, c.Clock())
			}
		}
		c.reclaim(ctx)
	}
}

// Leave says that the instance ends soon: what no request has or waits for is given
// back to the log already now. While the log is away it stays here, for Close to
// hand over.
func (c *Controller) Leave() { c.leaving.Store(true) }

// resolveLostReplies makes good what lost replies of other instances hold back.
func (c *Controller) resolveLostReplies(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, resolveInterval, nil)
		c.Peers.ResolveLostReplies(ctx, c.Accounts)
	}
}

// reclaim gives back what dead processes of this host did not use.
func (c *Controller) reclaim(ctx context.Context) {
	for _, r := range c.Accounts.Reclaims(c.Clock()) {
		if c.reclaimedSequence[r.Key] == r.Statement.Sequence {
			continue // Written, but not read back yet.
		}
		if c.putRecord(ctx, r.Key, &r.Statement) {
			c.reclaimedSequence[r.Key] = r.Statement.Sequence
			c.reclaimedTokens.Add(r.Tokens)
			c.Logger.Info().Str("dead", string(r.Key)).Int64("tokens", r.Tokens).Dur("age", r.Age).Msg("prepaid: unused tokens of a dead process given back")
		}
	}
}

// putRecord writes a statement until the log has taken it, and says whether it has.
// The repeats are the same write, so one that arrives late has no second effect.
func (c *Controller) putRecord(ctx context.Context, key record.InstanceID, rec *ClaimRecord) bool {
	value, err := cbor.Marshal(rec)
	if err != nil {
		c.Logger.Error().Err(err).Msg("prepaid: encode statement")
		return false
	}
	records := []logstore.KeyedRecord{{Key: string(key), Value: value}}
	for ctx.Err() == nil {
		w := logstore.Write{Writer: string(c.Accounts.self.Key), Epoch: c.epoch, Sequence: c.nextSequence}
		err := c.Store.Put(ctx, logstore.TopicBudgets, w, records)
		if err == nil {
			c.nextSequence++
			logstore.Kick(c.triggerRead)
			return true
		}
		if eris.Is(err, logstore.ErrSequence) || eris.Is(err, logstore.ErrFenced) {
			// Only this process writes under its name: the log has lost count.
			c.Logger.Error().Err(err).Msg("prepaid: statement out of sequence, writing in a new epoch")
			c.epoch++
			continue
		}
		logstore.Pause(ctx, retryInterval, nil)
	}
	return false
}

// Close gives back what is not used, as long as ctx lasts: to the log, or to
// another instance if the log is away. Run must have ended.
//
// The epoch is a new one: a write that Run left unanswered may still arrive, and
// must not come after this one.
func (c *Controller) Close(ctx context.Context) {
	c.epoch++
	handedOver := !c.isLogReachable() && c.Peers.HandOver(ctx, c.Accounts, c.Clock())
	if handedOver {
		// Nothing is left that would be worth waiting for the log.
		shortCtx, cancel := context.WithTimeout(ctx, retryInterval)
		defer cancel()
		ctx = shortCtx
	}
	if !c.putRecord(ctx, c.Accounts.self.Key, c.Accounts.Close(c.Clock())) && !handedOver {
		c.Logger.Warn().Msg("prepaid: unused tokens not given back")
	}
}

// Reclaimed returns how many tokens of dead processes were given back.
func (c *Controller) Reclaimed() int64 { return c.reclaimedTokens.Load() }

// IsLoaded says whether the log has been read, or an allocator answers that does so.
func (c *Controller) IsLoaded() bool {
	return c.lastReadAt.Load() != 0 || len(c.Directory.Usable()) > 0
}
