package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"guavapier/internal/ledger"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// The load that the policies are driven with. Time is virtual, a second a
// step; everything else is the real ledger, fold and right code.
const (
	zones         = 4
	perZone       = 2
	steps         = 6000
	faultFrom     = 1200
	faultUntil    = 4800
	arrivals      = 4 // Requests a step, all zones together.
	worstCase     = 1000
	meanUsed      = 400
	runSteps      = 5   // A run's length.
	demandOfFunds = 0.9 // Part of the prepaid tokens that the load would use.
	teams         = 10
	hotTeam       = 0.8 // Part of the load that one team draws.
	replaceAfter  = 30  // Steps until a dead instance is replaced.
)

// zoneShare is the part of the load that each zone draws.
var zoneShare = [zones]float64{0.55, 0.25, 0.15, 0.05}

type fault int

const (
	noFault fault = iota
	zoneCut
	holderDies
	farTopUp
	oneTeam
	deadInOutage
)

var faultNames = map[fault]string{
	noFault: "none", zoneCut: "cut", holderDies: "death", farTopUp: "far-topup", oneTeam: "team80",
	deadInOutage: "outage+death",
}

// policy admits requests to budgets.
type policy interface {
	// topUp adds prepaid tokens.
	topUp(budget record.BudgetID, id string, tokens int64)
	// reserve returns false if it refuses.
	reserve(zone, instance int, o *job) bool
	settle(o *job)
	// step ends a second.
	step()
	cut(zone int, on bool)
	// outage takes the log away from everybody.
	outage(on bool)
	kill(zone, instance int)
	replace(zone, instance int)
	// cost returns appends and bytes so far.
	cost() (appends, bytes int)
}

// job is one request.
type job struct {
	key            record.RequestKey
	budget         record.BudgetID
	used           int64
	end            int
	zone, instance int
	r              ledger.Reservation
	lost           bool // Its instance died: nobody settles it.
}

// result is what one run of the driver measured.
type result struct {
	requests, falseRefusals   int
	faultRequests, faultFalse int
	overspend                 int64
	appends, bytes            int
}

// truth is the omniscient count that says which refusals are false.
type truth struct{ prepaid, spent, reserved map[record.BudgetID]int64 }

func (t truth) has(b record.BudgetID) bool {
	return t.prepaid[b]-t.spent[b]-t.reserved[b] >= worstCase
}

type driver struct {
	p       policy
	fault   fault
	rng     *rand.Rand
	truth   truth
	running []*job
	turn    int
	dead    map[[2]int]bool
	out     result
}

func drive(p policy, f fault) result {
	d := &driver{p: p, fault: f, rng: rand.New(rand.NewPCG(1, 2)), dead: map[[2]int]bool{}, truth: truth{
		prepaid: map[record.BudgetID]int64{}, spent: map[record.BudgetID]int64{}, reserved: map[record.BudgetID]int64{},
	}}
	d.fund(0, 1)
	for step := range steps {
		d.inject(step)
		for range arrivals {
			d.arrive(step)
		}
		d.settle(step)
		p.step()
	}
	for b, prepaid := range d.truth.prepaid {
		d.out.overspend += max(0, d.truth.spent[b]-prepaid)
	}
	d.out.appends, d.out.bytes = p.cost()
	return d.out
}

// fund tops all budgets up; part is 1 for a whole run's need. At a top-up on
// the far side the first funds are enough until the fault only.
func (d *driver) fund(step int, part float64) {
	if d.fault == farTopUp {
		part = 0.3
		if step > 0 {
			part = 0.7
		}
	}
	total := float64(steps*arrivals*meanUsed) / demandOfFunds * part
	for team := range teams {
		b := budgetOf(team)
		tokens := int64(total / teams)
		if d.fault == oneTeam && team == 0 {
			tokens = int64(total * hotTeam)
		} else if d.fault == oneTeam {
			tokens = int64(total * (1 - hotTeam) / (teams - 1))
		}
		d.truth.prepaid[b] += tokens
		d.p.topUp(b, fmt.Sprint("t", step), tokens)
	}
}

func budgetOf(team int) record.BudgetID {
	return record.BudgetID{Team: record.Team(fmt.Sprint("team-", team)), Name: "main"}
}

const cutZone = 1 // It draws a quarter of the load.

func (d *driver) inject(step int) {
	cuts := d.fault == zoneCut || d.fault == farTopUp || d.fault == oneTeam
	switch {
	case cuts && step == faultFrom:
		d.p.cut(cutZone, true)
	case cuts && step == faultUntil:
		d.p.cut(cutZone, false)
	case d.fault == farTopUp && step == faultFrom+60:
		d.fund(step, 1)
	case d.fault == deadInOutage && step == faultFrom-1:
		d.p.outage(true)
	case d.fault == deadInOutage && step == faultUntil:
		d.p.outage(false)
	case (d.fault == holderDies || d.fault == deadInOutage) && step == faultFrom:
		d.dead[[2]int{0, 0}] = true
		d.p.kill(0, 0)
		for _, j := range d.running {
			j.lost = j.lost || (j.zone == 0 && j.instance == 0)
		}
	case (d.fault == holderDies || d.fault == deadInOutage) && step == faultFrom+replaceAfter:
		delete(d.dead, [2]int{0, 0})
		d.p.replace(0, 0)
	}
}

func (d *driver) arrive(step int) {
	zone, x := 0, d.rng.Float64()
	for x > zoneShare[zone] && zone < zones-1 {
		x -= zoneShare[zone]
		zone++
	}
	team := d.rng.IntN(teams)
	if d.fault == oneTeam && d.rng.Float64() < hotTeam {
		team = 0
	}
	d.turn++
	instance := d.turn % perZone
	if d.dead[[2]int{zone, instance}] {
		instance = (instance + 1) % perZone // The balancer passes it over.
	}
	used := int64(meanUsed/2 + d.rng.IntN(meanUsed))
	j := &job{
		key: record.RequestKey{Team: budgetOf(team).Team, Key: fmt.Sprint(d.turn)}, budget: budgetOf(team),
		used: used, end: step + runSteps, zone: zone, instance: instance,
	}
	due := step >= faultFrom && step < faultUntil
	d.out.requests++
	if due {
		d.out.faultRequests++
	}
	if d.p.reserve(zone, instance, j) {
		d.truth.reserved[j.budget] += worstCase
		d.running = append(d.running, j)
		return
	}
	if d.truth.has(j.budget) {
		d.out.falseRefusals++
		if due {
			d.out.faultFalse++
		}
	}
}

func (d *driver) settle(step int) {
	kept := d.running[:0]
	for _, j := range d.running {
		if j.end > step {
			kept = append(kept, j)
			continue
		}
		d.truth.reserved[j.budget] -= worstCase
		if j.lost {
			d.truth.spent[j.budget] += worstCase // Billed as reserved.
			continue
		}
		d.truth.spent[j.budget] += j.used
		d.p.settle(j)
	}
	d.running = kept
}

// adaptive drives the real ledger.
type adaptive struct {
	w     *world
	nodes [zones][perZone]*node
	opts  ledger.Options
	lean  float64
	born  int
	away  bool // The log is away.
}

func newAdaptive(lean float64, spare ledger.Spare) *adaptive {
	a := &adaptive{w: newWorld(sound), opts: ledger.DefaultOptions(), lean: lean}
	a.opts.Spare = spare
	a.w.async = true
	for zone := range zones {
		for i := range perZone {
			a.replace(zone, i)
		}
	}
	return a
}

func (a *adaptive) replace(zone, i int) {
	a.born++
	name := fmt.Sprint("z", zone, "i", i, ".", a.born)
	a.nodes[zone][i] = a.w.add(name, record.Zone(fmt.Sprint("zone-", zone)), a.opts, func(c *ledger.Config) {
		c.Lean = func(record.BudgetID) float64 { return a.lean }
		c.Members = &membersOf{w: a.w, id: record.InstanceID(name)}
	})
	if a.away {
		a.outage(true)
	}
}

func (a *adaptive) topUp(b record.BudgetID, id string, tokens int64) { a.w.topUp(b, id, tokens) }

func (a *adaptive) reserve(zone, i int, j *job) bool {
	r, err := a.nodes[zone][i].ledger.Reserve(context.Background(), j.key, "", j.budget, worstCase)
	j.r = r
	return err == nil
}

func (a *adaptive) settle(j *job) {
	_ = a.nodes[j.zone][j.instance].ledger.Settle(context.Background(), j.budget, j.r, j.used)
}

func (a *adaptive) step() {
	a.w.running.Wait()
	a.w.mu.Lock()
	a.w.now = a.w.now.Add(time.Second)
	a.w.mu.Unlock()
	for _, n := range a.w.nodes {
		if !n.stopped {
			n.ledger.Tick(context.Background())
		}
	}
	a.w.running.Wait()
}

func (a *adaptive) cut(zone int, on bool) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	for _, n := range a.w.nodes {
		inside := n.zone == record.Zone(fmt.Sprint("zone-", zone))
		if inside {
			n.lags, n.mode = on, logUp
			if on {
				n.mode = logRefuses
			}
			n.read()
		}
		for _, other := range a.w.nodes {
			if n.zone != other.zone && (inside || other.zone == record.Zone(fmt.Sprint("zone-", zone))) {
				a.w.links[[2]record.InstanceID{n.id, other.id}] = linkUp
				if on {
					a.w.links[[2]record.InstanceID{n.id, other.id}] = linkCut
				}
			}
		}
	}
}

func (a *adaptive) outage(on bool) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	a.away = on
	for _, n := range a.w.nodes {
		n.mode = logUp
		if on {
			n.mode = logRefuses
		}
	}
}

func (a *adaptive) kill(zone, i int) {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	a.nodes[zone][i].stopped = true
	a.w.list()
}

func (a *adaptive) cost() (int, int) { return a.w.appends, a.w.bytes }

// membersOf is the instance list as one instance sees it: frozen while it is
// cut off, and without those that are cut off from the platform.
type membersOf struct {
	w    *world
	id   record.InstanceID
	last []logstore.Instance
}

// Live implements ledger.Members.
func (m *membersOf) Live() []logstore.Instance {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	self := m.w.find(m.id)
	if self != nil && self.lags {
		return m.last
	}
	m.last = m.last[:0:0]
	for _, n := range m.w.nodes {
		if !n.stopped && !n.lags {
			m.last = append(m.last, logstore.Instance{ID: n.id, Zone: n.zone})
		}
	}
	return m.last
}
