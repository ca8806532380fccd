package prepaid

import (
	"context"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// freshReadTimeout bounds the wait for a read of the log that begins now: the one under
	// way may last followWait.
	freshReadTimeout = maxReadWait + readInterval
	// readPollInterval is the pause between two looks whether it has ended.
	readPollInterval = 20 * time.Millisecond
	// predecessorsInterval is the pause between two calls for the statements of dead
	// processes of this host.
	predecessorsInterval = time.Second
)

// findPredecessors asks the zone's allocators for the statements of dead processes of
// this host, until it knows them or has read the log itself, or ctx ends.
func (c *Controller) findPredecessors(ctx context.Context) {
	for ctx.Err() == nil && c.lastReadAt.Load() == 0 {
		logstore.Pause(ctx, predecessorsInterval, nil)
		usable := c.Directory.Usable()
		if c.Accounts.Role() != allocator.Member || len(usable) == 0 {
			continue
		}
		if c.requestPredecessors(ctx, usable[0].Key) {
			return
		}
	}
}

func (c *Controller) requestPredecessors(ctx context.Context, to record.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, freshReadTimeout+callTimeout)
	defer cancel()
	self := c.Accounts.self
	var reply PredecessorsReply
	err := c.Peers.caller.Call(ctx, to, ServiceName+".Predecessors", PredecessorsArgs{Node: self.Node, Started: self.Started}, &reply)
	if err != nil {
		c.Logger.Debug().Err(err).Str("allocator", string(to)).Msg("prepaid: earlier processes of this host not known yet")
		return false
	}
	for _, dead := range reply.Statements {
		c.Accounts.Apply(dead.Key, &dead.Statement, c.Clock())
	}
	return true
}

// awaitRead waits until a read of the log has succeeded that began after the call.
func (c *Controller) awaitRead() bool {
	startedAt := c.Clock()
	logstore.Kick(c.triggerRead)
	for c.Clock()-startedAt < freshReadTimeout {
		if time.Duration(c.lastReadStartedAt.Load()) > startedAt {
			return true
		}
		time.Sleep(readPollInterval)
	}
	return false
}
