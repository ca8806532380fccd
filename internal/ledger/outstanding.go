package ledger

// Outstanding returns the number of unsettled reservations in this instance's
// grants, including those for requests of other instances.
func (l *Ledger) Outstanding() int {
	n := 0
	for _, a := range l.allAccounts() {
		a.mu.Lock()
		for _, g := range a.grants {
			n += len(g.reservations)
		}
		a.mu.Unlock()
	}
	return n
}
