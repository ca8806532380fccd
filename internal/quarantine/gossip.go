package quarantine

import (
	"context"
	"slices"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// ServiceName is under which Exchange is registered, see peer.Server.
	ServiceName = "Quarantine"
	// swapEvery is the pause between two calls to neighbours while the log is away.
	swapEvery = 500 * time.Millisecond
	// swapWithin bounds one call: round trips take a few milliseconds.
	swapWithin = 200 * time.Millisecond
)

// SwapArgs has what the calling instance knows, encoded, by fingerprint.
type SwapArgs struct{ Records map[string][]byte }

// SwapReply has what the called one knows.
type SwapReply struct{ Records map[string][]byte }

// Exchange is the service that other instances of the zone call while the log is away.
type Exchange struct{ keeper *Keeper }

// NewExchange returns the service of a keeper.
func NewExchange(k *Keeper) *Exchange { return &Exchange{keeper: k} }

// Swap takes what the caller knows and answers with what is known here.
func (x *Exchange) Swap(args SwapArgs, reply *SwapReply) error {
	reply.Records = x.keeper.records()
	x.keeper.take(args.Records)
	return nil
}

// swaps exchanges what is known with instances of the own zone, one after the other,
// while the log is away, until ctx ends.
func (k *Keeper) swaps(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		logstore.Pause(ctx, swapEvery, nil)
		neighbours := k.Neighbours()
		if !k.away.Load() || len(neighbours) == 0 {
			continue
		}
		slices.Sort(neighbours) // So that each has its turn.
		k.swap(ctx, neighbours[turn%len(neighbours)])
	}
}

func (k *Keeper) swap(ctx context.Context, with record.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, swapWithin)
	defer cancel()
	var reply SwapReply
	if err := k.Caller.Call(ctx, with, ServiceName+".Swap", SwapArgs{Records: k.records()}, &reply); err != nil {
		k.Busy.Info().Err(err).Str("instance", string(with)).Msg("quarantine: neighbour not reached")
		return
	}
	k.take(reply.Records)
}

// records returns what is known, encoded, by fingerprint.
func (k *Keeper) records() map[string][]byte {
	out := map[string][]byte{}
	for f, r := range k.Table.all() {
		if value, err := r.encode(); err == nil {
			out[f.String()] = value
		} else {
			k.Logs.Error().Err(err).Stringer("content", f).Msg("quarantine: record not sent")
		}
	}
	return out
}

// take takes what another instance knows.
func (k *Keeper) take(records map[string][]byte) {
	for key, value := range records {
		k.hear(logstore.KeyedRecord{Key: key, Value: value}, false)
	}
}
