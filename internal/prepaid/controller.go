package prepaid

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/tokenwait"
)

const (
	// maxReadWait is the maximum time that the log holds a read open for new records. It
	// is short so that a connection that fell silent without an error is noticed.
	maxReadWait = time.Second
	// readInterval is the pause between two reads. Without it, each record of any
	// instance would end a read at all others.
	readInterval = 250 * time.Millisecond
	// reloadThreshold is how long the log may be unreachable before the newest records
	// are read instead of all that were written meanwhile. Over a slow link, the records
	// that a fleet writes in some seconds take longer than one call may last.
	reloadThreshold = 2 * time.Second
	// publishCheckInterval is how often the controller checks whether a record is due.
	publishCheckInterval = 100 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
	// LogReachableTTL is how long after the last read the log counts as reachable.
	// Requests wait for a claim only while it does.
	LogReachableTTL = 1500 * time.Millisecond
	// lostReplyRetryInterval is the pause between two rounds of repeating calls to other
	// instances whose replies were lost.
	lostReplyRetryInterval = 500 * time.Millisecond
	// claimTimeout is how long a request waits for a claim before it asks other
	// instances: two round trips to the log, and time for one claim that collides with
	// another instance's.
	claimTimeout = 60 * time.Millisecond
	// MaxClaimWait is the maximum time that a request waits for tokens: some round trips
	// to the log, during which another instance returns tokens.
	MaxClaimWait = 400 * time.Millisecond
)

// Controller synchronises Accounts with the log and serves reservations.
type Controller struct {
	Accounts  *Accounts
	Directory *allocator.Directory
	Peers     *Peers
	Store     logstore.KeyedLog
	Clock     func() time.Duration
	Logger    zerolog.Logger

	waits             *tokenwait.Queue
	triggerRead       chan struct{}
	triggerPublish    chan struct{}
	lastReadAt        atomic.Int64 // Clock at the end of the last successful read, in nanoseconds; 0 if none.
	readStartedAt     atomic.Int64 // Clock at the start of the current read and, below, of the last successful one.
	lastReadStartedAt atomic.Int64
	nextSequence      uint64 // Sequence number of the next write.
	announcementEpoch uint64 // Number of announcements written, used as their epoch.
	epoch             uint64
	logUnavailable    bool // The last read failed.
	leaving           atomic.Bool
	reclaimedTokens   atomic.Int64
	refusedAtOnce     atomic.Int64
	reclaimedSequence map[record.InstanceID]uint64 // By process: sequence of the dead process's record that was reclaimed.
}

// NewController returns a Controller, which does nothing until Run is called.
func NewController(accounts *Accounts, directory *allocator.Directory, peers *Peers, log logstore.KeyedLog, clock func() time.Duration, logger zerolog.Logger) *Controller {
	return &Controller{
		Accounts: accounts, Directory: directory, Peers: peers, Store: log, reclaimedSequence: map[record.InstanceID]uint64{}, Clock: clock, Logger: logger, epoch: 1, waits: tokenwait.New(MaxClaimWait),
		triggerRead: make(chan struct{}, 1), triggerPublish: make(chan struct{}, 1),
	}
}

// Run reads the log and publishes records until ctx ends.
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

// Reservation is the maximum that one request may use of a budget.
type Reservation struct {
	controller *Controller
	team       record.Team
	tokens     int64
}

// Tokens returns the number of reserved tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle ends the reservation; used tokens stay spent. It must be called once.
func (r *Reservation) Settle(used int64) { r.controller.Accounts.Settle(r.team, r.tokens, used) }

// isLogReachable reports whether the log was read within LogReachableTTL.
func (c *Controller) isLogReachable() bool {
	at := c.lastReadAt.Load()
	return at != 0 && c.Clock()-time.Duration(at) < LogReachableTTL
}

// newFollower returns the follower that applies the budgets topic of the log to the accounts.
func (c *Controller) newFollower() *logstore.Follower {
	return &logstore.Follower{
		Log: c.Store, Topic: logstore.TopicBudgets, PollTimeout: maxReadWait, ReadInterval: readInterval, Trigger: c.triggerRead, ReloadThreshold: reloadThreshold,
		OnReadStart: func() { c.readStartedAt.Store(int64(c.Clock())) }, OnReset: c.Accounts.ResetOthers, OnRecord: c.applyRecord, OnLoaded: func() {}, OnReadEnd: c.recordRead,
	}
}

// recordRead records the outcome of a read and logs when reads begin to fail and when they
// succeed again.
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
		c.Logger.Info().Msg("prepaid: budgets log recovered")
	}
	c.logUnavailable = err != nil
}

// applyRecord applies one record of the log; records that cannot be decoded are skipped.
func (c *Controller) applyRecord(r logstore.KeyedRecord) {
	var rec *ClaimRecord
	if r.Value != nil {
		rec = &ClaimRecord{}
		if err := cbor.Unmarshal(r.Value, rec); err != nil {
			c.Logger.Error().Err(err).Str("key", r.Key).Msg("prepaid: undecodable claim record skipped")
			return
		}
	}
	c.Accounts.Apply(record.InstanceID(r.Key), rec, c.Clock())
}

// publishRecords publishes claim records until ctx ends. It starts once the log has been read.
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

// Leave announces that the instance terminates soon. Tokens that no request has reserved or
// waits for are returned to the log from now on. While the log is unavailable they stay here,
// and Close transfers them to another instance.
func (c *Controller) Leave() { c.leaving.Store(true) }

// resolveLostReplies periodically repeats calls to other instances whose replies were lost.
func (c *Controller) resolveLostReplies(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, lostReplyRetryInterval, nil)
		c.Peers.ResolveLostReplies(ctx, c.Accounts)
	}
}

// reclaim returns to the log what dead processes of this host cannot have used.
func (c *Controller) reclaim(ctx context.Context) {
	for _, r := range c.Accounts.Reclaims(c.Clock()) {
		if c.reclaimedSequence[r.Key] == r.Statement.Sequence {
			continue // Written, but not yet read back.
		}
		if c.putRecord(ctx, r.Key, &r.Statement) {
			c.reclaimedSequence[r.Key] = r.Statement.Sequence
			c.reclaimedTokens.Add(r.Tokens)
			c.Logger.Info().Str("dead", string(r.Key)).Int64("tokens", r.Tokens).Dur("age", r.Age).Msg("prepaid: unused tokens of a dead process reclaimed")
		}
	}
}

// putRecord writes a record until the log acknowledges it, and reports whether it has. Retries
// repeat the same write, so a delayed one has no second effect.
func (c *Controller) putRecord(ctx context.Context, key record.InstanceID, rec *ClaimRecord) bool {
	value, err := cbor.Marshal(rec)
	if err != nil {
		c.Logger.Error().Err(err).Msg("prepaid: claim record not encoded")
		return false
	}
	records := []logstore.KeyedRecord{{Key: string(key), Value: value}}
	for ctx.Err() == nil {
		w := logstore.WriteID{Writer: string(c.Accounts.self.Key), Epoch: c.epoch, Sequence: c.nextSequence}
		err := c.Store.Put(ctx, logstore.TopicBudgets, w, records)
		if err == nil {
			c.nextSequence++
			logstore.Notify(c.triggerRead)
			return true
		}
		if eris.Is(err, logstore.ErrSequence) || eris.Is(err, logstore.ErrFenced) {
			// Only this process writes under its name, so the log has lost its sequence state.
			c.Logger.Error().Err(err).Msg("prepaid: claim record out of sequence, continuing in a new epoch")
			c.epoch++
			continue
		}
		logstore.Pause(ctx, retryInterval, nil)
	}
	return false
}

// Close returns all unused tokens to the log, or transfers them to another instance if the log
// is unavailable, until ctx ends. Run must have returned.
//
// Close writes in a new epoch: an unacknowledged write of Run may still arrive and must not
// be applied after the final record.
func (c *Controller) Close(ctx context.Context) {
	c.epoch++
	handedOver := !c.isLogReachable() && c.Peers.HandOver(ctx, c.Accounts, c.Clock())
	if handedOver {
		// No tokens are left that would justify waiting for the log.
		shortCtx, cancel := context.WithTimeout(ctx, retryInterval)
		defer cancel()
		ctx = shortCtx
	}
	if !c.putRecord(ctx, c.Accounts.self.Key, c.Accounts.Close(c.Clock())) && !handedOver {
		c.Logger.Warn().Msg("prepaid: unused tokens not given back")
	}
}

// ReclaimedTokens returns the number of tokens of dead processes that this process has reclaimed.
func (c *Controller) ReclaimedTokens() int64 { return c.reclaimedTokens.Load() }

// IsLoaded reports whether the log has been read, or an allocator that reads it is reachable.
func (c *Controller) IsLoaded() bool {
	return c.lastReadAt.Load() != 0 || len(c.Directory.ListReachable()) > 0
}
