package ledger

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/right"
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
	if err := part.AwaitOffset(ctx, t.Offset); err != nil {
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

func (l *Ledger) live() []logstore.Instance {
	if l.Members == nil {
		return nil
	}
	return l.Members.Live()
}

// stays says whether an instance is listed and not leaving.
func stays(id record.InstanceID, live []logstore.Instance) bool {
	return slices.ContainsFunc(live, func(in logstore.Instance) bool { return in.ID == id && !in.Leaving })
}

// witnessLeaves is called with the lock held.
func (a *account) witnessLeaves(live []logstore.Instance) bool {
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

// chooseWitness applies Options.Spare: far asks for a witness in another zone.
func (l *Ledger) chooseWitness(a *account, far bool) record.InstanceID {
	if l.Peers == nil {
		return ""
	}
	if l.Options.Spare == SpareUnwitnessed && a.unwitnessed() == 0 && a.usable() > 0 {
		return ""
	}
	live := l.live()
	if far {
		near := zonesOf(live, l.Zone)
		return ChooseWitness(l.Self, l.Zone, live, func(id record.InstanceID) bool { return near[id] || l.suspected(id) })
	}
	return ChooseWitness(l.Self, l.Zone, live, l.suspected)
}

// zonesOf returns the instances of a zone.
func zonesOf(live []logstore.Instance, zone record.Zone) map[record.InstanceID]bool {
	out := map[record.InstanceID]bool{}
	for _, in := range live {
		if in.Zone == zone {
			out[in.ID] = true
		}
	}
	return out
}

// keepsFar says whether a spare in another zone is wanted and possible: there
// is a witness in this zone, and one elsewhere.
func (l *Ledger) keepsFar(live []logstore.Instance) bool {
	if l.Options.Spare != SpareOtherZone {
		return false
	}
	near, far := false, false
	for _, in := range live {
		if in.ID == l.Self || in.Leaving {
			continue
		}
		near, far = near || in.Zone == l.Zone, far || in.Zone != l.Zone
	}
	return near && far
}

func (a *account) unwitnessed() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, g := range a.grants {
		if g.usable() && g.held.Terms().Witness == "" {
			n++
		}
	}
	return n
}

func (a *account) usable() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, g := range a.grants {
		if g.usable() {
			n++
		}
	}
	return n
}

func isLost(err error) bool {
	return errors.Is(err, right.ErrLost) || errors.Is(err, right.ErrNotAdopted) || errors.Is(err, peer.ErrUnreachable)
}
