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
	// rolesEvery is how often the instance's part in its zone is looked at.
	rolesEvery = 100 * time.Millisecond
	// announcementsWait is the longest wait of one read of the announcements. They
	// change seldom, and an instance that is cut from them goes on.
	announcementsWait = 10 * time.Second
	// tryEvery is the pause between two calls to allocators that were not reached.
	tryEvery = 500 * time.Millisecond
	// returnEvery is the pause between two returns to an allocator. Tokens that a
	// member doesn't need are lost if it is killed, and are missed by others.
	returnEvery = time.Second
	// drawWithin bounds one call for tokens: what an allocator does for them takes
	// lendWithin and askWithin.
	drawWithin = 300 * time.Millisecond
	// lendWithin is how long an allocator waits for a claim before it answers.
	lendWithin = claimTrips
	// askWithin is how long it asks other allocators then.
	askWithin = 100 * time.Millisecond
	// lookWithin bounds the look at the slots before one is taken. A link on which that
	// takes longer is full: the allocators that seem gone may be out of reach from here
	// only, and this instance would serve the zone no better.
	lookWithin = 250 * time.Millisecond
	// drawAgain is the pause before a request asks again.
	drawAgain = 30 * time.Millisecond
)

// errNoAllocator says that the called instance is no allocator (any more).
var errNoAllocator = eris.New("prepaid: not an allocator")

// errNotRead says that the called instance has not read the log yet.
var errNotRead = eris.New("prepaid: log not read yet")

// followAllocators keeps the zone's allocators current until ctx ends.
func (k *Keeper) followAllocators(ctx context.Context) {
	away := false
	follower := &logstore.Follower{
		Log: k.Log, Topic: logstore.TopicAllocators, Wait: announcementsWait, Pause: rolesEvery,
		Reset: func() {}, Loaded: func() { k.Zone.MarkLoaded(k.Clock()) },
		Outcome: func(err error) {
			if err != nil && !away {
				k.Logs.Warn().Err(err).Msg("prepaid: announcements of allocators lost; drawing from those known")
			}
			away = err != nil
		},
		Record: func(r logstore.KeyedRecord) {
			if err := k.Zone.Observe(r.Key, r.Value, k.Clock()); err != nil {
				k.Logs.Error().Err(err).Msg("prepaid: unreadable announcement passed over")
			}
		},
	}
	follower.Run(ctx)
}

// roles takes up the instance's part in its zone, and reads the log unless it is a
// member, until ctx ends.
func (k *Keeper) roles(ctx context.Context) {
	for !k.Zone.IsLoaded() && ctx.Err() == nil {
		logstore.Pause(ctx, rolesEvery/10, nil)
	}
	stop := func() {}
	if k.Zone.HasAllocators() {
		k.Book.SetRole(allocator.Member)
	} else {
		stop = k.startReading(ctx)
	}
	for ctx.Err() == nil {
		logstore.Pause(ctx, rolesEvery, nil)
		pooled := k.Book.Pooled() && k.Loaded()
		k.Book.SetAllocators(k.Zone.Announced())
		if was, is := k.Book.Role(), k.Zone.Role(pooled, k.Clock()); was != is {
			k.Logs.Info().Stringer("was", was).Stringer("is", is).Int("instances", k.Book.Instances()).Msg("prepaid: part in the zone changed")
			stop = k.become(ctx, is, stop)
		}
		if slot, ok := k.Zone.SlotToTake(pooled, k.Clock()); ok && !k.leaving.Load() {
			k.announce(ctx, slot)
		}
	}
	stop()
}

// become takes up a part. stop ends the reading of the log, if it goes on.
func (k *Keeper) become(ctx context.Context, role allocator.Role, stop func()) func() {
	if role == allocator.Member {
		stop()
		k.Book.SetRole(role)
		return func() {}
	}
	reading := k.Book.Role() != allocator.Member
	k.Book.SetRole(role)
	if reading {
		return stop
	}
	return k.startReading(ctx)
}

// startReading reads the log from its newest records on until the returned function
// is called.
func (k *Keeper) startReading(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.follower().Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// announce takes a slot of the zone, if it is still free and the log answers at once.
func (k *Keeper) announce(ctx context.Context, slot int) {
	if err := k.lookAtSlots(ctx); err != nil {
		k.Logs.Info().Err(err).Int("slot", slot).Msg("prepaid: slot left to others, the log does not answer at once")
		return
	}
	if !k.Zone.IsSlotFree(slot, k.Clock()) {
		return
	}
	value, err := k.Zone.EncodeAnnouncement()
	if err != nil {
		k.Logs.Error().Err(err).Msg("prepaid: announcement not written")
		return
	}
	// An epoch of its own needs no count of what the log has taken.
	k.announced++
	w := logstore.Write{Writer: string(k.Book.self.Key), Epoch: k.announced}
	records := []logstore.KeyedRecord{{Key: allocator.SlotKey(k.Book.self.Zone, slot), Value: value}}
	err = k.Log.Put(ctx, logstore.TopicAllocators, w, records)
	k.Logs.Info().AnErr("error", err).Int("slot", slot).Msg("prepaid: allocator of the zone announced")
}

// lookAtSlots hears the announcements that are on the log now.
func (k *Keeper) lookAtSlots(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, lookWithin)
	defer cancel()
	page, err := k.Log.Newest(ctx, logstore.TopicAllocators)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		if err := k.Zone.Observe(r.Key, r.Value, k.Clock()); err != nil {
			return err
		}
	}
	return nil
}

// returns brings the zone's allocator what this member doesn't need, and hears of the
// fleet, until ctx ends.
func (k *Keeper) returns(ctx context.Context) {
	lost := map[record.InstanceID]bool{}
	for ctx.Err() == nil {
		logstore.Pause(ctx, returnEvery, nil)
		usable := k.Zone.Usable()
		if k.Book.Role() != allocator.Member || len(usable) == 0 {
			continue
		}
		to := usable[0].Key
		lost[to] = !k.bring(ctx, to, k.Book.Spare(to, lost[to], k.Clock()))
	}
}

// reach calls allocators that have not answered, until ctx ends.
func (k *Keeper) reach(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, tryEvery, nil)
		if !k.Book.Pooled() && !k.Zone.HasAllocators() {
			continue
		}
		for _, unreached := range k.Zone.NotReachable() {
			k.bring(ctx, unreached.Key, nil)
		}
	}
}

// bring tells an allocator what it has been given, and hears of the fleet.
func (k *Keeper) bring(ctx context.Context, to record.InstanceID, totals map[record.Team]int64) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callWithin)
	defer cancel()
	var reply HandReply
	err := k.Peers.caller.Call(ctx, to, ServiceName+".Return", HandArgs{From: k.Book.self.Key, Totals: totals}, &reply)
	k.heard(to, err, reply.Status)
	return err == nil
}

// heard notes how a call to an allocator went.
func (k *Keeper) heard(to record.InstanceID, err error, status FleetStatus) {
	if err == nil {
		k.Zone.MarkReachable(to)
		k.Book.HearStatus(status, k.Clock())
		return
	}
	var refused rpc.ServerError
	gone := errors.As(err, &refused) || errors.Is(err, peer.ErrOtherInstance)
	if !k.Zone.MarkFailing(to, gone, k.Clock()) {
		return
	}
	k.Logs.Warn().Err(err).Str("allocator", string(to)).Bool("gone", gone).Msg("prepaid: allocator not reached")
}

// draw gets tokens from the zone's allocators for a request that waits.
func (k *Keeper) draw(ctx context.Context, team record.Team, tokens int64) error {
	k.Book.Want(team, tokens)
	defer k.Book.Want(team, -tokens)
	began := k.Clock()
	for {
		reply := k.drawOnce(ctx, team, tokens)
		err := k.Book.Reserve(team, tokens, k.Clock())
		switch {
		case !errors.Is(err, ErrShort):
			return err
		case k.Book.Exceeds(team, reply.Spent, tokens):
			return ErrExhausted
		case reply.None || k.Clock()-began > WaitForClaim || ctx.Err() != nil || k.Book.Role() != allocator.Member:
			return ErrShort
		}
		logstore.Pause(ctx, drawAgain, nil)
	}
}

// drawOnce asks once; requests of one budget ask together.
func (k *Keeper) drawOnce(ctx context.Context, team record.Team, tokens int64) DrawReply {
	shared, _, _ := k.Peers.asking.Do("draw/"+string(team), func() (any, error) {
		need := k.Book.Drawing(team, tokens, k.Clock())
		for _, a := range k.Zone.Usable() {
			if reply, ok := k.drawFrom(ctx, a.Key, team, need); ok {
				return reply, nil
			}
		}
		return DrawReply{}, nil
	})
	reply, _ := shared.(DrawReply)
	return reply
}

// drawFrom asks one allocator. The call outlives the request that wants it, and a
// reply that is lost is asked for again by Resolve.
func (k *Keeper) drawFrom(ctx context.Context, to record.InstanceID, team record.Team, need Need) (DrawReply, bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawWithin)
	defer cancel()
	var reply DrawReply
	err := k.Peers.caller.Call(ctx, to, ServiceName+".Draw", DrawArgs{From: k.Book.self.Key, Team: team, Need: need}, &reply)
	k.Peers.note(unresolved{to, team}, err != nil && !errors.Is(err, peer.ErrNotSent))
	k.heard(to, err, reply.Status)
	if err != nil {
		return DrawReply{}, false
	}
	k.Book.Take(to, team, reply.Total)
	k.Book.SetLead(team, reply.Lead)
	return reply, true
}

// allocates says whether members of the zone can draw here. An instance that ends
// sends them to another one.
func (k *Keeper) allocates() bool {
	return k.Book.Role() == allocator.Allocator && !k.leaving.Load()
}

// lend serves a member's call for tokens: from what is at hand, or what a claim or
// another allocator brings within a moment.
func (k *Keeper) lend(from record.InstanceID, team record.Team, need Need) (total int64, ok bool) {
	if total, ok = k.Book.Lend(from, team, need, k.Clock()); ok || !k.Book.Findable(team) {
		return total, ok
	}
	k.Book.Want(team, need.All)
	defer k.Book.Want(team, -need.All)
	if k.inTouch() {
		k.awaitAtHand(team, need.Least)
	}
	if total, ok = k.Book.Lend(from, team, need, k.Clock()); ok {
		return total, ok
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	k.Peers.Ask(ctx, k.Book, team, need.Least, k.Clock())
	return k.Book.Lend(from, team, need, k.Clock())
}

// awaitAtHand waits until so many tokens are at hand, for lendWithin.
func (k *Keeper) awaitAtHand(team record.Team, tokens int64) {
	limit := time.NewTimer(lendWithin)
	defer limit.Stop()
	for {
		changed := k.Book.Changed()
		if k.Book.AtHand(team, k.Clock()) >= tokens {
			return
		}
		logstore.Kick(k.kickWrite)
		select {
		case <-changed:
		case <-limit.C:
			return
		}
	}
}
