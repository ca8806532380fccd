package claim

import (
	"context"

	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// ErrNoShard says that no open claim shard has the right.
var ErrNoShard = eris.New("claim: no open shard of this right")

// ShardState is one claim shard in a state dump.
type ShardState struct {
	fold.Shard
	// HeldHere says that this instance uses the epoch.
	HeldHere bool `json:"held_here"`
	// Rows and Open are the claims in this instance's memory: all, and those
	// that have not ended or are not on the log.
	Rows int `json:"rows"`
	Open int `json:"open"`
}

// State returns all claim shards that the fold knows, for a state dump.
func (h *Holder) State() []ShardState {
	out := []ShardState{}
	for _, partition := range h.deps.Partitions {
		partition.View(func(f *fold.Ledger) {
			for _, s := range f.ClaimShards() {
				out = append(out, ShardState{Shard: s})
			}
		})
	}
	for n := range out {
		held, err := h.shard(shardID{Zone: out[n].Zone, Shard: out[n].Shard.Shard.Shard})
		if err != nil || held.terms.Right != out[n].Right {
			continue
		}
		held.mu.Lock()
		out[n].HeldHere, out[n].Rows, out[n].Open = true, len(held.table.entries), held.table.openCount()
		held.mu.Unlock()
	}
	return out
}

// ForceClose closes a shard whose holder and witness are both gone for good.
// The risk: claims that only these two had are forgotten, so a call that ran
// under one of them can run again if its caller retries; and if one of the two
// is alive behind a partition, it goes on counting. Teams whose calls count by
// the log alone (Refuse) lose nothing.
func (h *Holder) ForceClose(ctx context.Context, id record.RightID) (fold.Shard, error) {
	for _, partition := range h.deps.Partitions {
		var s fold.Shard
		var ok bool
		partition.View(func(f *fold.Ledger) { s, ok = f.ClaimRight(id) })
		if !ok || s.Closed {
			continue
		}
		offset, err := h.deps.Log.Append(ctx, partition.Stream(), record.Close{Right: id, By: h.deps.Self.ID, Forced: true})
		if err != nil {
			return s, err
		}
		return s, partition.Wait(ctx, offset)
	}
	return fold.Shard{}, ErrNoShard
}
