package prepaid

import (
	"context"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// freshReadTimeout limits the wait for a read of the log that starts from now on. If
	// nothing is written to the log, that read lasts maxReadWait after one in progress that
	// may last as long, and each of the two takes its own round trip.
	freshReadTimeout = 2*(maxReadWait+callTimeout) + readInterval
	// readPollInterval is the interval between two checks whether the read has ended.
	readPollInterval = 20 * time.Millisecond
	// predecessorsInterval is the pause between two requests for the records of dead
	// processes of this host.
	predecessorsInterval = time.Second
)

// findPredecessors requests the records of dead processes of this host from the zone's
// allocators, until it has them, this process has read the log itself, or ctx ends.
func (c *Controller) findPredecessors(ctx context.Context) {
	for ctx.Err() == nil && c.lastReadAt.Load() == 0 {
		logstore.Pause(ctx, predecessorsInterval, nil)
		usable := c.Directory.ListReachable()
		if c.Accounts.Role() != allocator.Member || len(usable) == 0 {
			continue
		}
		if c.requestPredecessors(ctx, usable[0].Key) {
			return
		}
	}
}

// requestPredecessors applies the records returned by one allocator and reports whether the call
// succeeded.
func (c *Controller) requestPredecessors(ctx context.Context, to record.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, freshReadTimeout+callTimeout)
	defer cancel()
	self := c.Accounts.self
	var reply PredecessorsReply
	err := c.Peers.caller.Call(ctx, to, ServiceName+".Predecessors", PredecessorsArgs{Node: self.Node, Started: self.Started}, &reply)
	if err != nil {
		c.Logger.Debug().Err(err).Str("allocator", string(to)).Msg("prepaid: records of earlier processes of this host not received")
		return false
	}
	for _, dead := range reply.Statements {
		c.Accounts.Apply(dead.Key, &dead.Statement, c.Clock())
	}
	return true
}

// awaitRead waits for a successful read of the log that started after the call. It reports
// whether there was one within freshReadTimeout.
func (c *Controller) awaitRead() bool {
	startedAt := c.Clock()
	logstore.Notify(c.triggerRead)
	for c.Clock()-startedAt < freshReadTimeout {
		if time.Duration(c.lastReadStartedAt.Load()) > startedAt {
			return true
		}
		time.Sleep(readPollInterval)
	}
	return false
}
