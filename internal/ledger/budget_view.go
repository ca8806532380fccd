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

// budgetView is the state of a budget and its open grants in the fold at one
// offset.
type budgetView struct {
	budget     fold.Budget
	openGrants []fold.Grant
}

// viewBudget reads a budget's state from the fold. Its error is ErrNoBudget.
func (l *Ledger) viewBudget(a *account) (budgetView, error) {
	var v budgetView
	known := false
	a.partition.View(func(f *fold.Ledger) {
		v.budget, known = f.Budget(a.budget)
		v.openGrants = f.OpenGrants(a.budget)
	})
	if !known {
		return v, ErrNoBudget
	}
	return v, nil
}

// ungrantedTokens returns the budget's tokens that are in no grant.
func (v budgetView) ungrantedTokens() int64 { return v.budget.Prepaid - v.budget.Committed }

// otherHolders returns the number of other instances with unbilled tokens in
// open grants.
func (v budgetView) otherHolders(self record.InstanceID) int {
	holders := map[record.InstanceID]struct{}{}
	for _, g := range v.openGrants {
		if g.Holder != self && g.Tokens > g.Billed {
			holders[g.Holder] = struct{}{}
		}
	}
	return len(holders)
}

// validator checks grants against the fold, for the witness service.
type validator struct{ partitions Partitions }

// Validate implements right.Validator.
func (v validator) Validate(ctx context.Context, t right.Terms) error {
	part, ok := v.partitions.ByStream(t.Stream)
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

// liveInstances returns the listed instances, or none without Members.
func (l *Ledger) liveInstances() []logstore.Instance {
	if l.Members == nil {
		return nil
	}
	return l.Members.Live()
}

// isStaying reports whether an instance is listed and not leaving.
func isStaying(id record.InstanceID, live []logstore.Instance) bool {
	return slices.ContainsFunc(live, func(in logstore.Instance) bool { return in.ID == id && !in.Leaving })
}

// hasLeavingWitness reports whether the witness of a usable grant is leaving
// or no longer listed. The caller holds a.mu.
func (a *account) hasLeavingWitness(live []logstore.Instance) bool {
	for _, g := range a.grants {
		if witness := g.held.Terms().Witness; g.isUsable() && witness != "" && !isStaying(witness, live) {
			return true
		}
	}
	return false
}

// markSuspected excludes an instance as witness and owner for SuspicionTTL.
func (l *Ledger) markSuspected(id record.InstanceID) {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	l.suspectedUntil[id] = l.Now().Add(l.Options.SuspicionTTL)
}

// isSuspected reports whether an instance is excluded as witness and owner.
func (l *Ledger) isSuspected(id record.InstanceID) bool {
	l.peersMu.Lock()
	defer l.peersMu.Unlock()
	until, ok := l.suspectedUntil[id]
	if ok && !l.Now().Before(until) {
		delete(l.suspectedUntil, id)
		ok = false
	}
	return ok
}

// chooseWitness returns the witness for the next grant, or "" for none,
// according to Options.SparePolicy. otherZone requests a witness in another
// zone.
func (l *Ledger) chooseWitness(a *account, otherZone bool) record.InstanceID {
	if l.Peers == nil {
		return ""
	}
	if l.Options.SparePolicy == SpareUnwitnessed && a.countUnwitnessed() == 0 && a.countUsable() > 0 {
		return ""
	}
	live := l.liveInstances()
	if otherZone {
		sameZone := instancesInZone(live, l.Zone)
		return ChooseWitness(l.Self, l.Zone, live, func(id record.InstanceID) bool { return sameZone[id] || l.isSuspected(id) })
	}
	return ChooseWitness(l.Self, l.Zone, live, l.isSuspected)
}

// instancesInZone returns the IDs of a zone's instances.
func instancesInZone(live []logstore.Instance, zone record.Zone) map[record.InstanceID]bool {
	out := map[record.InstanceID]bool{}
	for _, in := range live {
		if in.Zone == zone {
			out[in.ID] = true
		}
	}
	return out
}

// keepsRemoteSpare reports whether this instance should keep spare grants with
// a witness in another zone: the policy asks for them, and both this zone and
// another one have a candidate.
func (l *Ledger) keepsRemoteSpare(live []logstore.Instance) bool {
	if l.Options.SparePolicy != SpareOtherZone {
		return false
	}
	hasNear, hasFar := false, false
	for _, in := range live {
		if in.ID == l.Self || in.Leaving {
			continue
		}
		hasNear, hasFar = hasNear || in.Zone == l.Zone, hasFar || in.Zone != l.Zone
	}
	return hasNear && hasFar
}

// countUnwitnessed returns the number of usable grants without a witness.
func (a *account) countUnwitnessed() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, g := range a.grants {
		if g.isUsable() && g.held.Terms().Witness == "" {
			n++
		}
	}
	return n
}

// countUsable returns the number of usable grants.
func (a *account) countUsable() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, g := range a.grants {
		if g.isUsable() {
			n++
		}
	}
	return n
}

// isWitnessUnavailable reports whether err means that the witness couldn't be
// reached or hasn't adopted the right, as opposed to having sealed it.
func isWitnessUnavailable(err error) bool {
	return errors.Is(err, right.ErrLost) || errors.Is(err, right.ErrNotAdopted) || errors.Is(err, peer.ErrUnreachable)
}
