package prepaid

import (
	"context"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// readWithin bounds the wait for a read of the log that begins now: the one under
	// way may last followWait.
	readWithin = followWait + followPause
	// readLook is the pause between two looks whether it has ended.
	readLook = 20 * time.Millisecond
	// predecessorsEvery is the pause between two calls for the statements of dead
	// processes of this host.
	predecessorsEvery = time.Second
)

// findPredecessors asks the zone's allocators for the statements of dead processes of
// this host, until it knows them or has read the log itself, or ctx ends.
func (k *Keeper) findPredecessors(ctx context.Context) {
	for ctx.Err() == nil && k.lastRead.Load() == 0 {
		logstore.Pause(ctx, predecessorsEvery, nil)
		usable := k.Zone.Usable()
		if k.Book.Role() != allocator.Member || len(usable) == 0 {
			continue
		}
		if k.askPredecessors(ctx, usable[0].Key) {
			return
		}
	}
}

func (k *Keeper) askPredecessors(ctx context.Context, to record.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, readWithin+callWithin)
	defer cancel()
	self := k.Book.self
	var reply PredecessorsReply
	err := k.Peers.caller.Call(ctx, to, ServiceName+".Predecessors", PredecessorsArgs{Node: self.Node, Started: self.Started}, &reply)
	if err != nil {
		k.Logs.Debug().Err(err).Str("allocator", string(to)).Msg("prepaid: earlier processes of this host not known yet")
		return false
	}
	for _, dead := range reply.Statements {
		k.Book.Apply(dead.Key, &dead.Statement, k.Clock())
	}
	return true
}

// awaitRead waits until a read of the log has succeeded that began after the call.
func (k *Keeper) awaitRead() bool {
	called := k.Clock()
	logstore.Kick(k.kickRead)
	for k.Clock()-called < readWithin {
		if time.Duration(k.readBegan.Load()) > called {
			return true
		}
		time.Sleep(readLook)
	}
	return false
}
