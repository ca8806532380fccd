package ledger_test

import "guavapier/internal/record"

// static splits each top-up equally over the instances.
type static struct {
	free    [zones][perZone]map[record.BudgetID]int64
	away    [zones]bool
	pending [zones]map[record.BudgetID]int64 // Shares that a cut zone has not read.
}

func newStatic() *static {
	s := &static{}
	for zone := range zones {
		s.pending[zone] = map[record.BudgetID]int64{}
		for i := range perZone {
			s.free[zone][i] = map[record.BudgetID]int64{}
		}
	}
	return s
}

func (s *static) topUp(b record.BudgetID, _ string, tokens int64) {
	for zone := range zones {
		for i := range perZone {
			share := tokens / (zones * perZone)
			if s.away[zone] {
				s.pending[zone][b] = share
				continue
			}
			s.free[zone][i][b] += share
		}
	}
}

func (s *static) reserve(zone, i int, j *job) bool {
	if s.free[zone][i][j.budget] < worstCase {
		return false
	}
	s.free[zone][i][j.budget] -= worstCase
	return true
}

func (s *static) settle(j *job) { s.free[j.zone][j.instance][j.budget] += worstCase - j.used }
func (s *static) outage(bool)   {}
func (s *static) step()         {}
func (s *static) cut(zone int, on bool) {
	s.away[zone] = on
	for b, share := range s.pending[zone] {
		for i := range perZone {
			s.free[zone][i][b] += share
		}
	}
	clear(s.pending[zone])
}

// kill loses the share, as nothing of it is on the log.
func (s *static) kill(zone, i int) { s.free[zone][i] = map[record.BudgetID]int64{} }
func (s *static) replace(int, int) {}
func (s *static) cost() (int, int) { return 0, 0 }

// central counts on the log: one append to reserve, one to settle.
type central struct {
	free    map[record.BudgetID]int64
	away    [zones]bool
	late    []*job
	appends int
}

func newCentral() *central { return &central{free: map[record.BudgetID]int64{}} }

func (c *central) topUp(b record.BudgetID, _ string, tokens int64) { c.free[b] += tokens }

func (c *central) reserve(zone, _ int, j *job) bool {
	if c.away[zone] || c.free[j.budget] < worstCase {
		return false
	}
	c.appends++
	c.free[j.budget] -= worstCase
	return true
}

func (c *central) settle(j *job) {
	if c.away[j.zone] {
		c.late = append(c.late, j)
		return
	}
	c.appends++
	c.free[j.budget] += worstCase - j.used
}

func (c *central) step() {
	late := c.late
	c.late = nil
	for _, j := range late {
		c.settle(j)
	}
}

func (c *central) cut(zone int, on bool) { c.away[zone] = on }
func (c *central) outage(on bool) {
	for zone := range zones {
		c.away[zone] = on
	}
}

func (c *central) kill(int, int)    {}
func (c *central) replace(int, int) {}
func (c *central) cost() (int, int) { return c.appends, c.appends * centralBytes }

// centralBytes is the size of one batch with one bill.
const centralBytes = 130
