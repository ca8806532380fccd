package fold

import (
	"cmp"
	"maps"
	"slices"

	"guavapier/internal/record"
)

// maxListedSessions bounds the open sessions that a partition lists. The oldest
// are removed first; they stay valid, since validity depends on a session's
// token alone.
const maxListedSessions = 1 << 16

// sessionTable lists the sessions that were opened and have not been ended.
type sessionTable struct {
	rows map[identityHash]record.SessionOpened
	// order holds the keys in the order of opening, including those of ended
	// sessions.
	order []identityHash
}

func newSessionTable() sessionTable {
	return sessionTable{rows: map[identityHash]record.SessionOpened{}}
}

// add lists a session. A copy of the record of a listed session has no effect.
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

// remove removes a session from the list; its key stays in order.
func (t *sessionTable) remove(key identityHash) { delete(t.rows, key) }

// keysInOrder returns the keys of the listed sessions in the order of opening.
func (t *sessionTable) keysInOrder() []identityHash {
	out := make([]identityHash, 0, len(t.rows))
	for _, key := range t.order {
		if _, ok := t.rows[key]; ok {
			out = append(out, key)
		}
	}
	return out
}

// OpenSessions returns the listed sessions of a team, by time of opening,
// oldest first.
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
