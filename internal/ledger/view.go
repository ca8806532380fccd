package ledger

import (
	"context"
	"errors"
	"slices"

	"guavapier/internal/fold"
	"guavapier/internal/peer"
	"guavapier/internal/platform"
	"guavapier/internal/record"
	"guavapier/internal/right"

	"github.com/rotisserie/eris"
)

// budgetView is what the fold says about a budget at one offset.
type budgetView struct {
	row  fold.Budget
	open []fold.Grant
}

func (l *Ledger) view(a *account) (budgetView, error) {
	var v budgetView
	known := false
	a.part.View(func(f *fold.Ledger) {
		v.row, known = f.Budget(a.budget)
		v.open = f.OpenGrants(a.budget)
	})
	if !known {
		return v, ErrNoBudget
	}
	return v, nil
}

// left returns the tokens that are in no grant.
func (v budgetView) left() int64 { return v.row.Prepaid - v.row.Committed }

// others counts the other holders that have tokens unbilled.
func (v budgetView) others(self record.InstanceID) int {
	holders := map[record.InstanceID]struct{}{}
	for _, g := range v.open {
		if g.Holder != self && g.Tokens > g.Billed {
			holders[g.Holder] = struct{}{}
		}
	}
	return len(holders)
}

// validator looks grants up for the witness service.
type validator struct{ partitions Partitions }

// Validate implements right.Validator.
func (v validator) Validate(ctx context.Context, t right.Terms) error {
	part, ok := v.partitions.Stream(t.Stream)
	if !ok {
		return right.ErrUnknownRight
	}
	if err := part.Wait(ctx, t.Offset); err != nil {
		return eris.Wrap(right.ErrNotAdopted, err.Error())
	}
	valid := false
	part.View(func(f *fold.Ledger) {
		g, ok := f.Grant(t.Right)
		valid = ok && !g.Closed && g.Offset == t.Offset && g.Holder == t.Holder && g.Witness == t.Witness
	})
	if !valid {
		return right.ErrUnknownRight
	}
	return nil
}

func (l *Ledger) live() []platform.Instance {
	if l.Members == nil {
		return nil
	}
	return l.Members.Live()
}

// stays says whether an instance is listed and not leaving.
func stays(id record.InstanceID, live []platform.Instance) bool {
	return slices.ContainsFunc(live, func(in platform.Instance) bool { return in.ID == id && !in.Leaving })
}

// witnessLeaves is called with the lock held.
func (a *account) witnessLeaves(live []platform.Instance) bool {
	for _, g := range a.grants {
		if witness := g.held.Terms().Witness; g.usable() && witness != "" && !stays(witness, live) {
			return true
		}
	}
	return false
}

func (l *Ledger) suspect(id record.InstanceID) {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	l.suspects[id] = l.Now().Add(l.Options.SuspectFor)
}

func (l *Ledger) suspected(id record.InstanceID) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	until, ok := l.suspects[id]
	if ok && !l.Now().Before(until) {
		delete(l.suspects, id)
		ok = false
	}
	return ok
}

// chooseWitness applies Options.Spare.
func (l *Ledger) chooseWitness(a *account) record.InstanceID {
	if l.Peers == nil {
		return ""
	}
	live := l.live()
	used := map[record.InstanceID]bool{}
	unwitnessed := 0
	a.mu.Lock()
	for _, g := range a.grants {
		if witness := g.held.Terms().Witness; g.usable() && witness == "" {
			unwitnessed++
		} else if g.usable() {
			used[witness] = true
		}
	}
	a.mu.Unlock()
	if l.Options.Spare == SpareUnwitnessed && len(used) > 0 && unwitnessed == 0 {
		return ""
	}
	if l.Options.Spare == SpareOtherWitness && len(live) >= 3 {
		other := ChooseWitness(l.Self, l.Zone, live, func(id record.InstanceID) bool { return used[id] || l.suspected(id) })
		if other != "" {
			return other
		}
	}
	return ChooseWitness(l.Self, l.Zone, live, l.suspected)
}

func isLost(err error) bool {
	return errors.Is(err, right.ErrLost) || errors.Is(err, right.ErrNotAdopted) || errors.Is(err, peer.ErrUnreachable)
}
