package prepaid

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/tokenwait"
)

const (
	// roleCheckInterval is how often the instance's role in its zone is re-evaluated.
	roleCheckInterval = 100 * time.Millisecond
	// maxAnnouncementsWait is the maximum time that the log holds a read of the
	// announcements open. They change rarely, and an instance cut off from them
	// continues with those it knows.
	maxAnnouncementsWait = 10 * time.Second
	// probeInterval is the pause between two calls to unreachable allocators.
	probeInterval = 500 * time.Millisecond
	// returnInterval is the pause between two returns to an allocator. Tokens that a
	// member holds without need are unavailable to others, and lost if it is killed.
	returnInterval = time.Second
	// returnTimeout limits a return or a probe. It allows for the queue on a congested link,
	// behind which an allocator must not seem lost.
	returnTimeout = 400 * time.Millisecond
	// memberClaimTimeout is how long an allocator waits for a claim during a withdrawal.
	memberClaimTimeout = claimTimeout
	// memberRequestTimeout is how long it then requests tokens from other processes.
	memberRequestTimeout = 100 * time.Millisecond
	// slotReadTimeout limits the read of the slots before one is taken. If the read takes
	// longer, the link of this instance is saturated: the allocators may be unreachable
	// only from here, and this instance would serve the zone no better.
	slotReadTimeout = 250 * time.Millisecond
)

// errNotAllocator reports that the called instance does not serve members as an allocator.
var errNotAllocator = eris.New("prepaid: not an allocator")

// errLogNotRead reports that the called instance has no recent read of the log.
var errLogNotRead = eris.New("prepaid: log not read yet")

// followAllocators keeps the directory of the zone's allocators up to date until ctx ends.
func (c *Controller) followAllocators(ctx context.Context) {
	unavailable := false
	follower := &logstore.Follower{
		Log: c.Store, Topic: logstore.TopicAllocators, PollTimeout: maxAnnouncementsWait, ReadInterval: roleCheckInterval,
		OnReset: func() {}, OnLoaded: func() { c.Directory.MarkLoaded(c.Clock()) },
		OnReadEnd: func(err error) {
			if err != nil && !unavailable {
				c.Logger.Warn().Err(err).Msg("prepaid: announcements of allocators lost; drawing from those known")
			}
			unavailable = err != nil
		},
		OnRecord: func(r logstore.KeyedRecord) {
			if err := c.Directory.Observe(r.Key, r.Value, c.Clock()); err != nil {
				c.Logger.Error().Err(err).Msg("prepaid: undecodable announcement skipped")
			}
		},
	}
	follower.Run(ctx)
}

// maintainRole keeps the instance's role up to date, and reads the log while it is not a
// member, until ctx ends.
func (c *Controller) maintainRole(ctx context.Context) {
	for !c.Directory.IsLoaded() && ctx.Err() == nil {
		logstore.Pause(ctx, roleCheckInterval/10, nil)
	}
	stop := func() {}
	if c.Directory.HasAllocators() {
		c.Accounts.SetRole(allocator.Member)
	} else {
		stop = c.startReading(ctx)
	}
	for ctx.Err() == nil {
		logstore.Pause(ctx, roleCheckInterval, nil)
		useAllocators := c.Accounts.NeedsAllocators() && c.IsLoaded()
		c.Accounts.SetAllocators(c.Directory.ListAnnounced())
		if was, is := c.Accounts.Role(), c.Directory.Role(useAllocators, c.Clock()); was != is {
			c.Logger.Info().Stringer("was", was).Stringer("is", is).Int("instances", c.Accounts.Instances()).Msg("prepaid: part in the zone changed")
			stop = c.switchRole(ctx, is, stop)
			c.waits.Reset()
		}
		if slot, ok := c.Directory.SlotToTake(useAllocators, c.Clock()); ok && !c.leaving.Load() {
			c.takeSlot(ctx, slot)
		}
	}
	stop()
}

// switchRole assumes a role. stop ends the reading of the log; switchRole returns the function
// that does so from now on.
func (c *Controller) switchRole(ctx context.Context, role allocator.Role, stop func()) func() {
	if role == allocator.Member {
		stop()
		c.Accounts.SetRole(role)
		return func() {}
	}
	reading := c.Accounts.Role() != allocator.Member
	c.Accounts.SetRole(role)
	if reading {
		return stop
	}
	return c.startReading(ctx)
}

// startReading reads the log, starting with its newest records, until the returned function is
// called.
func (c *Controller) startReading(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.newFollower().Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// takeSlot announces this instance as an allocator if the slot is still free and the log
// answers within slotReadTimeout.
func (c *Controller) takeSlot(ctx context.Context, slot int) {
	if err := c.readSlots(ctx); err != nil {
		c.Logger.Info().Err(err).Int("slot", slot).Msg("prepaid: slot left to others, the log does not answer at once")
		return
	}
	if !c.Directory.IsSlotFree(slot, c.Clock()) {
		return
	}
	value, err := c.Directory.EncodeAnnouncement()
	if err != nil {
		c.Logger.Error().Err(err).Msg("prepaid: announcement not encoded")
		return
	}
	// A new epoch for each announcement needs no sequence numbers.
	c.announcementEpoch++
	w := logstore.WriteID{Writer: string(c.Accounts.self.Key), Epoch: c.announcementEpoch}
	records := []logstore.KeyedRecord{{Key: allocator.SlotKey(c.Accounts.self.Zone, slot), Value: value}}
	err = c.Store.Put(ctx, logstore.TopicAllocators, w, records)
	c.Logger.Info().AnErr("error", err).Int("slot", slot).Msg("prepaid: allocator of the zone announced")
}

// readSlots applies the announcements that are on the log now.
func (c *Controller) readSlots(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, slotReadTimeout)
	defer cancel()
	page, err := c.Store.Newest(ctx, logstore.TopicAllocators)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		if err := c.Directory.Observe(r.Key, r.Value, c.Clock()); err != nil {
			return err
		}
	}
	return nil
}

// returnExcess returns tokens that this member does not need to an allocator of the zone, and
// updates the fleet status, until ctx ends.
func (c *Controller) returnExcess(ctx context.Context) {
	replyLost := map[record.InstanceID]bool{}
	for ctx.Err() == nil {
		logstore.Pause(ctx, returnInterval, nil)
		usable := c.Directory.ListReachable()
		if c.Accounts.Role() != allocator.Member || len(usable) == 0 {
			continue
		}
		to := usable[0].Key
		replyLost[to] = !c.callReturn(ctx, to, c.Accounts.TransferExcess(to, replyLost[to], c.Clock()))
	}
}

// probeAllocators calls allocators that are not reachable, until ctx ends.
func (c *Controller) probeAllocators(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, probeInterval, nil)
		if !c.Accounts.NeedsAllocators() && !c.Directory.HasAllocators() {
			continue
		}
		for _, unreached := range c.Directory.ListUnreachable() {
			c.callReturn(ctx, unreached.Key, nil)
		}
	}
}

// callReturn reports the cumulative amounts returned to an allocator, updates the fleet status
// from the reply and reports whether the call succeeded.
func (c *Controller) callReturn(ctx context.Context, to record.InstanceID, totals map[record.Team]int64) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
	defer cancel()
	var reply HandReply
	err := c.Peers.caller.Call(ctx, to, ServiceName+".Return", HandArgs{From: c.Accounts.self.Key, Totals: totals}, &reply)
	c.recordCall(to, err, reply.Status)
	return err == nil
}

// recordCall records the outcome of a call to an allocator.
func (c *Controller) recordCall(to record.InstanceID, err error, status FleetStatus) {
	if err == nil {
		if len(c.Directory.ListReachable()) == 0 {
			c.waits.Reset()
		}
		c.Directory.MarkReachable(to)
		c.Accounts.ObserveStatus(status, c.Clock())
		return
	}
	var refused rpc.ServerError
	retired := errors.As(err, &refused) || errors.Is(err, peer.ErrOtherInstance)
	if !c.Directory.MarkFailing(to, retired, c.Clock()) {
		return
	}
	c.Logger.Warn().Err(err).Str("allocator", string(to)).Bool("gone", retired).Msg("prepaid: allocator not reached")
}

// servesMembers reports whether members of the zone can withdraw tokens here. A terminating
// allocator refers them to another one.
func (c *Controller) servesMembers() bool {
	return c.Accounts.Role() == allocator.Allocator && !c.leaving.Load()
}

// serveWithdrawal serves a member's withdrawal from spendable tokens, or from what a claim or
// another process provides within a short time.
func (c *Controller) serveWithdrawal(from record.InstanceID, team record.Team, need Need) (total int64, ok bool) {
	if total, ok = c.Accounts.TransferToMember(from, team, need, c.Clock()); ok {
		c.waits.RecordServed(team, need.Least, c.Clock())
		return total, true
	}
	if !c.Accounts.MayFindTokens(team) {
		return total, false
	}
	w := c.waits.Join(tokenwait.Request{Team: team, Tokens: need.Least, Total: c.Accounts.PrepaidTotal(team)}, c.Clock())
	if w == nil {
		c.keepShortfall(team, need.All, memberClaimTimeout+memberRequestTimeout)
		return total, false
	}
	total, ok = c.findForMember(from, team, need)
	outcome := tokenwait.Served
	if !ok {
		outcome = tokenwait.Refused
	}
	c.endWait(w, outcome)
	return total, ok
}

// findForMember serves a withdrawal from what a claim or another process provides.
func (c *Controller) findForMember(from record.InstanceID, team record.Team, need Need) (total int64, ok bool) {
	c.Accounts.AddShortfall(team, need.All)
	defer c.Accounts.AddShortfall(team, -need.All)
	if c.isLogReachable() {
		c.awaitSpendable(team, need.Least)
	}
	if total, ok = c.Accounts.TransferToMember(from, team, need, c.Clock()); ok {
		return total, ok
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberRequestTimeout)
	defer cancel()
	c.Peers.RequestTokens(ctx, c.Accounts, team, need.Least, c.Clock())
	return c.Accounts.TransferToMember(from, team, need, c.Clock())
}

// awaitSpendable waits up to memberClaimTimeout until that many tokens are spendable.
func (c *Controller) awaitSpendable(team record.Team, tokens int64) {
	limit := time.NewTimer(memberClaimTimeout)
	defer limit.Stop()
	for {
		changed := c.Accounts.Changed()
		if c.Accounts.Spendable(team, c.Clock()) >= tokens {
			return
		}
		logstore.Notify(c.triggerPublish)
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}
