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
)

const (
	// roleCheckInterval is how often the instance's part in its zone is looked at.
	roleCheckInterval = 100 * time.Millisecond
	// maxAnnouncementsWait is the longest wait of one read of the announcements. They
	// change seldom, and an instance that is cut from them goes on.
	maxAnnouncementsWait = 10 * time.Second
	// probeInterval is the pause between two calls to allocators that were not reached.
	probeInterval = 500 * time.Millisecond
	// returnInterval is the pause between two returns to an allocator. Tokens that a
	// member doesn't need are lost if it is killed, and are missed by others.
	returnInterval = time.Second
	// withdrawTimeout bounds one call for tokens: what an allocator does for them takes
	// lendWithin and askWithin.
	withdrawTimeout = 300 * time.Millisecond
	// memberClaimTimeout is how long an allocator waits for a claim before it answers.
	memberClaimTimeout = claimTimeout
	// memberRequestTimeout is how long it asks other allocators then.
	memberRequestTimeout = 100 * time.Millisecond
	// slotReadTimeout bounds the look at the slots before one is taken. A link on which that
	// takes longer is full: the allocators that seem gone may be out of reach from here
	// only, and this instance would serve the zone no better.
	slotReadTimeout = 250 * time.Millisecond
	// withdrawRetryInterval is the pause before a request asks again.
	withdrawRetryInterval = 30 * time.Millisecond
)

// errNotAllocator says that the called instance is no allocator (any more).
var errNotAllocator = eris.New("prepaid: not an allocator")

// errLogNotRead says that the called instance has not read the log yet.
var errLogNotRead = eris.New("prepaid: log not read yet")

// followAllocators keeps the zone's allocators current until ctx ends.
func (c *Controller) followAllocators(ctx context.Context) {
	unavailable := false
	follower := &logstore.Follower{
		Log: c.Store, Topic: logstore.TopicAllocators, Wait: maxAnnouncementsWait, Pause: roleCheckInterval,
		Reset: func() {}, Loaded: func() { c.Directory.MarkLoaded(c.Clock()) },
		Outcome: func(err error) {
			if err != nil && !unavailable {
				c.Logger.Warn().Err(err).Msg("prepaid: announcements of allocators lost; drawing from those known")
			}
			unavailable = err != nil
		},
		Record: func(r logstore.KeyedRecord) {
			if err := c.Directory.Observe(r.Key, r.Value, c.Clock()); err != nil {
				c.Logger.Error().Err(err).Msg("prepaid: unreadable announcement passed over")
			}
		},
	}
	follower.Run(ctx)
}

// maintainRole takes up the instance's part in its zone, and reads the log unless it is a
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
		c.Accounts.SetAllocators(c.Directory.Announced())
		if was, is := c.Accounts.Role(), c.Directory.Role(useAllocators, c.Clock()); was != is {
			c.Logger.Info().Stringer("was", was).Stringer("is", is).Int("instances", c.Accounts.Instances()).Msg("prepaid: part in the zone changed")
			stop = c.switchRole(ctx, is, stop)
		}
		if slot, ok := c.Directory.SlotToTake(useAllocators, c.Clock()); ok && !c.leaving.Load() {
			c.takeSlot(ctx, slot)
		}
	}
	stop()
}

// switchRole takes up a part. stop ends the reading of the log, if it goes on.
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

// startReading reads the log from its newest records on until the returned function
// is called.
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

// takeSlot takes a slot of the zone, if it is still free and the log answers at once.
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
		c.Logger.Error().Err(err).Msg("prepaid: announcement not written")
		return
	}
	// An epoch of its own needs no count of what the log has taken.
	c.announcementEpoch++
	w := logstore.Write{Writer: string(c.Accounts.self.Key), Epoch: c.announcementEpoch}
	records := []logstore.KeyedRecord{{Key: allocator.SlotKey(c.Accounts.self.Zone, slot), Value: value}}
	err = c.Store.Put(ctx, logstore.TopicAllocators, w, records)
	c.Logger.Info().AnErr("error", err).Int("slot", slot).Msg("prepaid: allocator of the zone announced")
}

// readSlots hears the announcements that are on the log now.
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

// returnExcess brings the zone's allocator what this member doesn't need, and hears of the
// fleet, until ctx ends.
func (c *Controller) returnExcess(ctx context.Context) {
	replyLost := map[record.InstanceID]bool{}
	for ctx.Err() == nil {
		logstore.Pause(ctx, returnInterval, nil)
		usable := c.Directory.Usable()
		if c.Accounts.Role() != allocator.Member || len(usable) == 0 {
			continue
		}
		to := usable[0].Key
		replyLost[to] = !c.callReturn(ctx, to, c.Accounts.TransferExcess(to, replyLost[to], c.Clock()))
	}
}

// probeAllocators calls allocators that have not answered, until ctx ends.
func (c *Controller) probeAllocators(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, probeInterval, nil)
		if !c.Accounts.NeedsAllocators() && !c.Directory.HasAllocators() {
			continue
		}
		for _, unreached := range c.Directory.NotReachable() {
			c.callReturn(ctx, unreached.Key, nil)
		}
	}
}

// callReturn tells an allocator what it has been given, and hears of the fleet.
func (c *Controller) callReturn(ctx context.Context, to record.InstanceID, totals map[record.Team]int64) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var reply HandReply
	err := c.Peers.caller.Call(ctx, to, ServiceName+".Return", HandArgs{From: c.Accounts.self.Key, Totals: totals}, &reply)
	c.recordCall(to, err, reply.Status)
	return err == nil
}

// recordCall notes how a call to an allocator went.
func (c *Controller) recordCall(to record.InstanceID, err error, status FleetStatus) {
	if err == nil {
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

// withdraw gets tokens from the zone's allocators for a request that waits.
func (c *Controller) withdraw(ctx context.Context, team record.Team, tokens int64) error {
	c.Accounts.AddShortfall(team, tokens)
	defer c.Accounts.AddShortfall(team, -tokens)
	startedAt := c.Clock()
	for {
		reply := c.withdrawOnce(ctx, team, tokens)
		err := c.Accounts.Reserve(team, tokens, c.Clock())
		switch {
		case !errors.Is(err, ErrInsufficient):
			return err
		case c.Accounts.ExceedsTotal(team, reply.Spent, tokens):
			return ErrExhausted
		case reply.None || c.Clock()-startedAt > MaxClaimWait || ctx.Err() != nil || c.Accounts.Role() != allocator.Member:
			return ErrInsufficient
		}
		logstore.Pause(ctx, withdrawRetryInterval, nil)
	}
}

// withdrawOnce asks once; requests of one budget ask together.
func (c *Controller) withdrawOnce(ctx context.Context, team record.Team, tokens int64) DrawReply {
	shared, _, _ := c.Peers.inFlight.Do("draw/"+string(team), func() (any, error) {
		need := c.Accounts.WithdrawalNeed(team, tokens, c.Clock())
		for _, a := range c.Directory.Usable() {
			if reply, ok := c.withdrawFrom(ctx, a.Key, team, need); ok {
				return reply, nil
			}
		}
		return DrawReply{}, nil
	})
	reply, _ := shared.(DrawReply)
	return reply
}

// withdrawFrom asks one allocator. The call outlives the request that wants it, and a
// reply that is lost is asked for again by Resolve.
func (c *Controller) withdrawFrom(ctx context.Context, to record.InstanceID, team record.Team, need Need) (DrawReply, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	var reply DrawReply
	err := c.Peers.caller.Call(ctx, to, ServiceName+".Draw", DrawArgs{From: c.Accounts.self.Key, Team: team, Need: need}, &reply)
	c.Peers.recordOutcome(lostReply{to, team}, err != nil && !errors.Is(err, peer.ErrNotSent))
	c.recordCall(to, err, reply.Status)
	if err != nil {
		return DrawReply{}, false
	}
	c.Accounts.Receive(to, team, reply.Total)
	c.Accounts.SetHeadroom(team, reply.Lead)
	return reply, true
}

// servesMembers says whether members of the zone can draw here. An instance that ends
// sends them to another one.
func (c *Controller) servesMembers() bool {
	return c.Accounts.Role() == allocator.Allocator && !c.leaving.Load()
}

// serveWithdrawal serves a member's call for tokens: from what is at hand, or what a claim or
// another allocator brings within a moment.
func (c *Controller) serveWithdrawal(from record.InstanceID, team record.Team, need Need) (total int64, ok bool) {
	if total, ok = c.Accounts.TransferToMember(from, team, need, c.Clock()); ok || !c.Accounts.MayFindTokens(team) {
		return total, ok
	}
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

// awaitSpendable waits until so many tokens are at hand, for lendWithin.
func (c *Controller) awaitSpendable(team record.Team, tokens int64) {
	limit := time.NewTimer(memberClaimTimeout)
	defer limit.Stop()
	for {
		changed := c.Accounts.Changed()
		if c.Accounts.Spendable(team, c.Clock()) >= tokens {
			return
		}
		logstore.Kick(c.triggerPublish)
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}
