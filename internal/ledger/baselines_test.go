package ledger_test

import "guavapier/internal/record"

// staticSplit is the baseline policy that splits each top-up equally among the
// instances.
type staticSplit struct {
	free         [zones][instancesPerZone]map[record.BudgetID]int64
	isolated     [zones]bool                      // Zones cut off from the others.
	unreadShares [zones]map[record.BudgetID]int64 // Shares that an isolated zone hasn't read yet.
}

func newStaticSplit() *staticSplit {
	s := &staticSplit{}
	for zone := range zones {
		s.unreadShares[zone] = map[record.BudgetID]int64{}
		for i := range instancesPerZone {
			s.free[zone][i] = map[record.BudgetID]int64{}
		}
	}
	return s
}

func (s *staticSplit) topUp(b record.BudgetID, _ string, tokens int64) {
	for zone := range zones {
		for i := range instancesPerZone {
			share := tokens / (zones * instancesPerZone)
			if s.isolated[zone] {
				s.unreadShares[zone][b] = share
				continue
			}
			s.free[zone][i][b] += share
		}
	}
}

func (s *staticSplit) reserve(zone, i int, j *simRequest) bool {
	if s.free[zone][i][j.budget] < reservedTokens {
		return false
	}
	s.free[zone][i][j.budget] -= reservedTokens
	return true
}

func (s *staticSplit) settle(j *simRequest) {
	s.free[j.zone][j.instance][j.budget] += reservedTokens - j.used
}
func (s *staticSplit) outage(bool) {}
func (s *staticSplit) step()       {}
func (s *staticSplit) cut(zone int, on bool) {
	s.isolated[zone] = on
	for b, share := range s.unreadShares[zone] {
		for i := range instancesPerZone {
			s.free[zone][i][b] += share
		}
	}
	clear(s.unreadShares[zone])
}

// kill loses the instance's share, since none of it is on the log.
func (s *staticSplit) kill(zone, i int) { s.free[zone][i] = map[record.BudgetID]int64{} }
func (s *staticSplit) replace(int, int) {}
func (s *staticSplit) cost() (int, int) { return 0, 0 }

// centralCounter is the baseline policy that counts on the log: one append to
// reserve and one to settle.
type centralCounter struct {
	free      map[record.BudgetID]int64
	away      [zones]bool
	unsettled []*simRequest // Settlements of isolated zones, tried again each step.
	appends   int
}

func newCentralCounter() *centralCounter { return &centralCounter{free: map[record.BudgetID]int64{}} }

func (c *centralCounter) topUp(b record.BudgetID, _ string, tokens int64) { c.free[b] += tokens }

func (c *centralCounter) reserve(zone, _ int, j *simRequest) bool {
	if c.away[zone] || c.free[j.budget] < reservedTokens {
		return false
	}
	c.appends++
	c.free[j.budget] -= reservedTokens
	return true
}

func (c *centralCounter) settle(j *simRequest) {
	if c.away[j.zone] {
		c.unsettled = append(c.unsettled, j)
		return
	}
	c.appends++
	c.free[j.budget] += reservedTokens - j.used
}

func (c *centralCounter) step() {
	unsettled := c.unsettled
	c.unsettled = nil
	for _, j := range unsettled {
		c.settle(j)
	}
}

func (c *centralCounter) cut(zone int, on bool) { c.away[zone] = on }
func (c *centralCounter) outage(on bool) {
	for zone := range zones {
		c.away[zone] = on
	}
}

func (c *centralCounter) kill(int, int)    {}
func (c *centralCounter) replace(int, int) {}
func (c *centralCounter) cost() (int, int) { return c.appends, c.appends * batchBytesOneBill }

// batchBytesOneBill is the size in bytes of a batch with one bill.
const batchBytesOneBill = 130
