package prepaid

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/tokenwait"
)

const (
	// withdrawTimeout is how long a withdrawal is waited for. The allocator may spend
	// memberClaimTimeout and memberRequestTimeout on it, and the link of a loaded instance as
	// much.
	withdrawTimeout = 600 * time.Millisecond
	// lateReplyTimeout is how long its reply is accepted, which tells of tokens that the
	// allocator has transferred.
	lateReplyTimeout = 2 * time.Second
	// withdrawHedgeDelay is how long an allocator may take until the other one is called too.
	withdrawHedgeDelay = 300 * time.Millisecond
	// withdrawRetryInterval is the pause before a request repeats a withdrawal.
	withdrawRetryInterval = 30 * time.Millisecond
	// withdrawalGrace is how long a request waits beyond MaxClaimWait for a withdrawal in
	// progress.
	withdrawalGrace = 100 * time.Millisecond
)

// errSlowAllocator reports that an allocator has not answered within withdrawTimeout, or not before
// the other one that was called later.
var errSlowAllocator = eris.New("prepaid: allocator slow to answer")

// withdraw obtains tokens from the zone's allocators for a waiting request.
func (c *Controller) withdraw(ctx context.Context, w *tokenwait.Waiter) (tokenwait.Outcome, error) {
	c.Accounts.AddShortfall(w.Team, w.Tokens)
	defer c.Accounts.AddShortfall(w.Team, -w.Tokens)
	startedAt := c.Clock()
	for {
		reply, ok := c.awaitWithdrawal(ctx, w, startedAt+MaxClaimWait+withdrawalGrace)
		if !ok {
			return tokenwait.Abandoned, ErrInsufficient
		}
		err := c.Accounts.Reserve(w.Team, w.Tokens, c.Clock())
		switch {
		case !errors.Is(err, ErrInsufficient):
			return outcomeOf(err), err
		case c.Accounts.ExceedsTotal(w.Team, reply.Spent, w.Tokens):
			return tokenwait.Abandoned, ErrExhausted
		case reply.None || c.Accounts.Role() != allocator.Member:
			return tokenwait.Abandoned, ErrInsufficient
		case reply.ShortFor >= MaxClaimWait:
			return tokenwait.Unsupplied, ErrInsufficient
		case c.Clock()-startedAt > MaxClaimWait:
			return tokenwait.Refused, ErrInsufficient
		}
		logstore.Pause(ctx, withdrawRetryInterval, nil)
	}
}

// awaitWithdrawal makes one withdrawal; concurrent requests of one budget share it. It returns an
// empty reply if the withdrawal lasts until the given time, and ok is false if the request should
// wait no longer.
func (c *Controller) awaitWithdrawal(ctx context.Context, w *tokenwait.Waiter, until time.Duration) (reply DrawReply, ok bool) {
	limit := time.NewTimer(until - c.Clock())
	defer limit.Stop()
	shared := c.Peers.inFlight.DoChan("draw/"+string(w.Team), func() (any, error) { return c.withdrawOnce(ctx, w), nil })
	select {
	case result := <-shared:
		reply, _ = result.Val.(DrawReply)
	case <-limit.C:
	case <-w.Refused():
		return DrawReply{}, false
	case <-ctx.Done():
		return DrawReply{}, false
	}
	return reply, true
}

// withdrawOnce withdraws tokens for the waiting requests. The smallest of them decides how little
// helps: it may still fit into what is left.
func (c *Controller) withdrawOnce(ctx context.Context, w *tokenwait.Waiter) DrawReply {
	need := c.Accounts.WithdrawalNeed(w.Team, c.waits.Smallest(w.Team, w.Tokens), c.Clock())
	return c.withdrawFromAny(ctx, w.Team, need)
}

// withdrawal is the outcome of a call to one allocator.
type withdrawal struct {
	from  record.InstanceID
	reply DrawReply
	ok    bool
}

// withdrawFromAny withdraws from the first allocator that answers. The second one is called if the
// first has not answered within withdrawHedgeDelay, or at once if its call fails.
//
// A slow answer is still accepted: behind a full link both allocators are slow, and giving up on both
// would leave the instance without tokens that they have.
func (c *Controller) withdrawFromAny(ctx context.Context, team record.Team, need Need) DrawReply {
	allocators := c.Directory.ListReachable()
	results := make(chan withdrawal, len(allocators))
	hedge, limit := time.NewTimer(0), time.NewTimer(withdrawTimeout)
	defer hedge.Stop()
	defer limit.Stop()
	called, ended := 0, 0
	for ended < len(allocators) {
		select {
		case <-hedge.C:
			if called < len(allocators) {
				go c.withdrawFrom(ctx, allocators[called].Key, team, need, results)
				called++
				hedge.Reset(withdrawHedgeDelay)
			}
		case result := <-results:
			ended++
			if result.ok {
				c.markSlow(allocators[:called], result.from, ended)
				return result.reply
			}
			hedge.Reset(0)
		case <-limit.C:
			for _, slow := range allocators[:called] {
				c.recordCall(slow.Key, errSlowAllocator, FleetStatus{})
			}
			return DrawReply{}
		}
	}
	return DrawReply{}
}

// markSlow records that the allocators called before one that answered have not.
func (c *Controller) markSlow(called []allocator.Announcement, answered record.InstanceID, ended int) {
	if ended == len(called) || called[0].Key == answered {
		return
	}
	c.recordCall(called[0].Key, errSlowAllocator, FleetStatus{})
}

// withdrawFrom withdraws tokens from one allocator. The call outlives the request that caused
// it, and ResolveLostReplies makes up for a lost reply.
func (c *Controller) withdrawFrom(ctx context.Context, to record.InstanceID, team record.Team, need Need, result chan<- withdrawal) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateReplyTimeout)
	defer cancel()
	startedAt := c.Clock()
	var reply DrawReply
	err := c.Peers.caller.Call(ctx, to, ServiceName+".Draw", DrawArgs{From: c.Accounts.self.Key, Team: team, Need: need}, &reply)
	c.Peers.recordOutcome(lostReply{to, team}, err != nil && !errors.Is(err, peer.ErrNotSent))
	if err == nil || c.Clock()-startedAt < withdrawTimeout {
		c.recordCall(to, err, reply.Status) // A later failure has been recorded by withdrawFromAny.
	}
	if err == nil {
		c.Accounts.Receive(to, team, reply.Total)
		c.Accounts.SetHeadroom(team, reply.Lead)
		c.Accounts.ObserveSpent(team, reply.Spent, c.Clock())
	}
	result <- withdrawal{to, reply, err == nil}
}
