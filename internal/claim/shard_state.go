package claim

import (
	"context"

	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// ErrNoShard reports that no open claim shard has the given right.
var ErrNoShard = eris.New("claim: no open shard has this right")

// ShardState is one claim shard in a state dump.
type ShardState struct {
	fold.Shard
	// HeldHere reports that this instance is using the epoch as its holder.
	HeldHere bool `json:"held_here"`
	// Rows is the number of claims in this instance's memory; Open is the number
	// of those that have not ended or are not on the log yet.
	Rows int `json:"rows"`
	Open int `json:"open"`
}

// State returns the latest epoch of every claim shard in the fold, for a state
// dump.
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

// ForceClose closes the epoch of the right id, whose holder and witness are
// both permanently lost, without their claims. The risk: a claim that only
// these two stored is forgotten, so its call can run again if the caller
// retries; and if one of the two is still alive behind a network partition, it
// goes on counting claims. Teams whose calls count by the log alone
// (ModeRefuse) lose nothing. It returns ErrNoShard if no open shard has the
// right, and any other error if the close is not confirmed; it may still take
// effect then.
func (h *Holder) ForceClose(ctx context.Context, id record.RightID) (fold.Shard, error) {
	for _, partition := range h.deps.Partitions {
		var s fold.Shard
		var ok bool
		partition.View(func(f *fold.Ledger) { s, ok = f.ShardByRight(id) })
		if !ok || s.Closed {
			continue
		}
		offset, err := h.deps.Log.Append(ctx, partition.Stream(), record.Close{Right: id, By: h.deps.Self.ID, Forced: true})
		if err != nil {
			return s, err
		}
		return s, partition.AwaitOffset(ctx, offset)
	}
	return fold.Shard{}, ErrNoShard
}
