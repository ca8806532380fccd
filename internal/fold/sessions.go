package fold

import (
	"cmp"
	"maps"
	"slices"

	"guavapier/internal/record"
)

// maxListedSessions bounds the open sessions that a partition lists. A session's
// validity rests on its token alone, so one that left the list is as good as
// before; the oldest leave first.
const maxListedSessions = 1 << 16

// sessionTable lists the sessions that were opened and not ended.
type sessionTable struct {
	rows map[identityHash]record.SessionOpened
	// order has the keys as they were opened, those of ended ones as well.
	order []identityHash
}

func newSessionTable() sessionTable {
	return sessionTable{rows: map[identityHash]record.SessionOpened{}}
}

// add lists a session. A copy of its record has no effect.
func (t *sessionTable) add(r record.SessionOpened) {
	key := hashSession(r.Team, r.Session)
	if _, listed := t.rows[key]; listed {
		return
	}
	t.rows[key] = r
	t.order = append(t.order, key)
	for len(t.rows) > maxListedSessions {
		delete(t.rows, t.order[0])
		t.order = t.order[1:]
	}
	if len(t.order) > 2*maxListedSessions {
		t.order = t.keysInOrder()
	}
}

// remove takes a session off the list.
func (t *sessionTable) remove(key identityHash) { delete(t.rows, key) }

// keysInOrder returns the keys that are still keysInOrder, in the order of opening.
func (t *sessionTable) keysInOrder() []identityHash {
	out := make([]identityHash, 0, len(t.rows))
	for _, key := range t.order {
		if _, ok := t.rows[key]; ok {
			out = append(out, key)
		}
	}
	return out
}

// OpenSessions returns the listed sessions of a team, oldest first.
func (l *Ledger) OpenSessions(team record.Team) []record.SessionOpened {
	var out []record.SessionOpened
	for r := range maps.Values(l.claims.openSessions.rows) {
		if r.Team == team {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b record.SessionOpened) int {
		return cmp.Or(cmp.Compare(a.UnixMilli, b.UnixMilli), cmp.Compare(a.Session, b.Session))
	})
	return out
}
