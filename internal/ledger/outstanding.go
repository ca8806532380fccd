package ledger

// Outstanding returns how many reservations in this instance's grants have not
// been settled, those of other instances' requests included.
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
