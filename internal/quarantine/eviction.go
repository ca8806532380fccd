package quarantine

import "guavapier/internal/record"

// evictIfFull removes an entry if the team or the table has reached its bound: the team's
// least relevant entry or, if the table is full, that of the team with the most entries, so
// that no organisation can displace another's entries.
func (t *Table) evictIfFull(team record.Team) {
	evictFrom := team
	switch {
	case t.countByTeam[team] >= maxEntriesPerTeam:
	case len(t.entries) < maxEntries:
		return
	default:
		for other, n := range t.countByTeam {
			if n > t.countByTeam[evictFrom] {
				evictFrom = other
			}
		}
	}
	var victim Fingerprint
	var victimEntry *entry
	for f, e := range t.entries {
		if e.team == evictFrom && (victimEntry == nil || e.isLessRelevant(victimEntry)) {
			victim, victimEntry = f, e
		}
	}
	t.remove(victim)
}

// isLessRelevant reports whether e has fewer crashes than other, or as many and an older
// last one.
func (e *entry) isLessRelevant(other *entry) bool {
	if e.crashes != other.crashes {
		return e.crashes < other.crashes
	}
	return e.lastCrash.Before(other.lastCrash)
}
