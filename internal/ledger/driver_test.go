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
	zones                 = 4
	instancesPerZone      = 2
	steps                 = 6000
	faultStartStep        = 1200
	faultEndStep          = 4800
	requestsPerStep       = 4 // Requests a step, all zones together.
	reservedTokens        = 1000
	meanUsedTokens        = 400
	runSteps              = 5   // A run's length.
	usedShareOfPrepaid    = 0.9 // Part of the prepaid tokens that the load would use.
	teams                 = 10
	hotTeamShare          = 0.8 // Part of the load that one team draws.
	replacementDelaySteps = 30  // Steps until a dead instance is replaced.
)

// zoneShare is the part of the load that each zone draws.
var zoneShare = [zones]float64{0.55, 0.25, 0.15, 0.05}

type fault int

const (
	noFault fault = iota
	zoneCut
	holderDies
	topUpBehindCut
	hotTeam
	holderDiesInOutage
)

var faultNames = map[fault]string{
	noFault: "none", zoneCut: "cut", holderDies: "death", topUpBehindCut: "far-topup", hotTeam: "team80",
	holderDiesInOutage: "outage+death",
}

// admissionPolicy admits requests to budgets.
type admissionPolicy interface {
	// topUp adds prepaid tokens.
	topUp(budget record.BudgetID, id string, tokens int64)
	// reserve returns false if it refuses.
	reserve(zone, instance int, o *simRequest) bool
	settle(o *simRequest)
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

// simRequest is one request.
type simRequest struct {
	key            record.RequestKey
	budget         record.BudgetID
	used           int64
	endStep        int
	zone, instance int
	r              ledger.Reservation
	lost           bool // Its instance died: nobody settles it.
}

// result is what one run of the driver measured.
type result struct {
	requests, falseRefusals           int
	faultRequests, faultFalseRefusals int
	overspend                         int64
	appends, bytes                    int
}

// globalBalance is the omniscient count that says which refusals are false.
type globalBalance struct{ prepaid, spent, reserved map[record.BudgetID]int64 }

func (t globalBalance) canAdmit(b record.BudgetID) bool {
	return t.prepaid[b]-t.spent[b]-t.reserved[b] >= reservedTokens
}

type loadSimulation struct {
	p            admissionPolicy
	fault        fault
	rng          *rand.Rand
	truth        globalBalance
	running      []*simRequest
	requestCount int
	dead         map[[2]int]bool
	out          result
}

func simulateLoad(p admissionPolicy, f fault) result {
	d := &loadSimulation{p: p, fault: f, rng: rand.New(rand.NewPCG(1, 2)), dead: map[[2]int]bool{}, truth: globalBalance{
		prepaid: map[record.BudgetID]int64{}, spent: map[record.BudgetID]int64{}, reserved: map[record.BudgetID]int64{},
	}}
	d.topUpAll(0, 1)
	for step := range steps {
		d.inject(step)
		for range requestsPerStep {
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

// topUpAll tops all budgets up; part is 1 for a whole run's need. At a top-up on
// the far side the first funds are enough until the fault only.
func (d *loadSimulation) topUpAll(step int, share float64) {
	if d.fault == topUpBehindCut {
		share = 0.3
		if step > 0 {
			share = 0.7
		}
	}
	total := float64(steps*requestsPerStep*meanUsedTokens) / usedShareOfPrepaid * share
	for team := range teams {
		b := budgetOf(team)
		tokens := int64(total / teams)
		if d.fault == hotTeam && team == 0 {
			tokens = int64(total * hotTeamShare)
		} else if d.fault == hotTeam {
			tokens = int64(total * (1 - hotTeamShare) / (teams - 1))
		}
		d.truth.prepaid[b] += tokens
		d.p.topUp(b, fmt.Sprint("t", step), tokens)
	}
}

func budgetOf(team int) record.BudgetID {
	return record.BudgetID{Team: record.Team(fmt.Sprint("team-", team)), Name: "main"}
}

const isolatedZone = 1 // It draws a quarter of the load.

func (d *loadSimulation) inject(step int) {
	cutsZone := d.fault == zoneCut || d.fault == topUpBehindCut || d.fault == hotTeam
	switch {
	case cutsZone && step == faultStartStep:
		d.p.cut(isolatedZone, true)
	case cutsZone && step == faultEndStep:
		d.p.cut(isolatedZone, false)
	case d.fault == topUpBehindCut && step == faultStartStep+60:
		d.topUpAll(step, 1)
	case d.fault == holderDiesInOutage && step == faultStartStep-1:
		d.p.outage(true)
	case d.fault == holderDiesInOutage && step == faultEndStep:
		d.p.outage(false)
	case (d.fault == holderDies || d.fault == holderDiesInOutage) && step == faultStartStep:
		d.dead[[2]int{0, 0}] = true
		d.p.kill(0, 0)
		for _, j := range d.running {
			j.lost = j.lost || (j.zone == 0 && j.instance == 0)
		}
	case (d.fault == holderDies || d.fault == holderDiesInOutage) && step == faultStartStep+replacementDelaySteps:
		delete(d.dead, [2]int{0, 0})
		d.p.replace(0, 0)
	}
}

func (d *loadSimulation) arrive(step int) {
	zone, x := 0, d.rng.Float64()
	for x > zoneShare[zone] && zone < zones-1 {
		x -= zoneShare[zone]
		zone++
	}
	team := d.rng.IntN(teams)
	if d.fault == hotTeam && d.rng.Float64() < hotTeamShare {
		team = 0
	}
	d.requestCount++
	instance := d.requestCount % instancesPerZone
	if d.dead[[2]int{zone, instance}] {
		instance = (instance + 1) % instancesPerZone // The balancer passes it over.
	}
	used := int64(meanUsedTokens/2 + d.rng.IntN(meanUsedTokens))
	j := &simRequest{
		key: record.RequestKey{Team: budgetOf(team).Team, Key: fmt.Sprint(d.requestCount)}, budget: budgetOf(team),
		used: used, endStep: step + runSteps, zone: zone, instance: instance,
	}
	duringFault := step >= faultStartStep && step < faultEndStep
	d.out.requests++
	if duringFault {
		d.out.faultRequests++
	}
	if d.p.reserve(zone, instance, j) {
		d.truth.reserved[j.budget] += reservedTokens
		d.running = append(d.running, j)
		return
	}
	if d.truth.canAdmit(j.budget) {
		d.out.falseRefusals++
		if duringFault {
			d.out.faultFalseRefusals++
		}
	}
}

func (d *loadSimulation) settle(step int) {
	kept := d.running[:0]
	for _, j := range d.running {
		if j.endStep > step {
			kept = append(kept, j)
			continue
		}
		d.truth.reserved[j.budget] -= reservedTokens
		if j.lost {
			d.truth.spent[j.budget] += reservedTokens // Billed as reserved.
			continue
		}
		d.truth.spent[j.budget] += j.used
		d.p.settle(j)
	}
	d.running = kept
}

// grantPolicy drives the real ledger.
type grantPolicy struct {
	fleet        *simFleet
	nodes        [zones][instancesPerZone]*simInstance
	opts         ledger.Options
	conservatism float64
	started      int
	logDown      bool // The log is away.
}

func newGrantPolicy(conservatism float64, spare ledger.SparePolicy) *grantPolicy {
	a := &grantPolicy{fleet: newSimFleet(unmodified), opts: ledger.DefaultOptions(), conservatism: conservatism}
	a.opts.SparePolicy = spare
	a.fleet.runAsync = true
	for zone := range zones {
		for i := range instancesPerZone {
			a.replace(zone, i)
		}
	}
	return a
}

func (a *grantPolicy) replace(zone, i int) {
	a.started++
	name := fmt.Sprint("z", zone, "i", i, ".", a.started)
	a.nodes[zone][i] = a.fleet.addInstance(name, record.Zone(fmt.Sprint("zone-", zone)), a.opts, func(c *ledger.Config) {
		c.Conservatism = func(record.BudgetID) float64 { return a.conservatism }
		c.Members = &instanceMembers{fleet: a.fleet, id: record.InstanceID(name)}
	})
	if a.logDown {
		a.outage(true)
	}
}

func (a *grantPolicy) topUp(b record.BudgetID, id string, tokens int64) { a.fleet.topUp(b, id, tokens) }

func (a *grantPolicy) reserve(zone, i int, j *simRequest) bool {
	r, err := a.nodes[zone][i].ledger.Reserve(context.Background(), j.key, "", j.budget, reservedTokens)
	j.r = r
	return err == nil
}

func (a *grantPolicy) settle(j *simRequest) {
	_ = a.nodes[j.zone][j.instance].ledger.Settle(context.Background(), j.budget, j.r, j.used)
}

func (a *grantPolicy) step() {
	a.fleet.running.Wait()
	a.fleet.mu.Lock()
	a.fleet.now = a.fleet.now.Add(time.Second)
	a.fleet.mu.Unlock()
	for _, n := range a.fleet.instances {
		if !n.stopped {
			n.ledger.Tick(context.Background())
		}
	}
	a.fleet.running.Wait()
}

func (a *grantPolicy) cut(zone int, on bool) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	for _, n := range a.fleet.instances {
		inZone := n.zone == record.Zone(fmt.Sprint("zone-", zone))
		if inZone {
			n.logLagging, n.mode = on, logUp
			if on {
				n.mode = logRefuses
			}
			n.readLog()
		}
		for _, other := range a.fleet.instances {
			if n.zone != other.zone && (inZone || other.zone == record.Zone(fmt.Sprint("zone-", zone))) {
				a.fleet.links[[2]record.InstanceID{n.id, other.id}] = linkUp
				if on {
					a.fleet.links[[2]record.InstanceID{n.id, other.id}] = linkCut
				}
			}
		}
	}
}

func (a *grantPolicy) outage(on bool) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.logDown = on
	for _, n := range a.fleet.instances {
		n.mode = logUp
		if on {
			n.mode = logRefuses
		}
	}
}

func (a *grantPolicy) kill(zone, i int) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.nodes[zone][i].stopped = true
	a.fleet.updateListed()
}

func (a *grantPolicy) cost() (int, int) { return a.fleet.appends, a.fleet.bytes }

// instanceMembers is the instance list as one instance sees it: frozen while it is
// cut off, and without those that are cut off from the platform.
type instanceMembers struct {
	fleet *simFleet
	id    record.InstanceID
	last  []logstore.Instance
}

// Live implements ledger.Members.
func (m *instanceMembers) Live() []logstore.Instance {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	self := m.fleet.findInstance(m.id)
	if self != nil && self.logLagging {
		return m.last
	}
	m.last = m.last[:0:0]
	for _, n := range m.fleet.instances {
		if !n.stopped && !n.logLagging {
			m.last = append(m.last, logstore.Instance{ID: n.id, Zone: n.zone})
		}
	}
	return m.last
}
