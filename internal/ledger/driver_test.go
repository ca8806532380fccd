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

// Parameters of the simulated load and faults. A step is one second of virtual
// time. Only time, log and network are simulated; ledger, fold and right are
// the product's code.
const (
	zones                 = 4
	instancesPerZone      = 2
	steps                 = 6000
	faultStartStep        = 1200 // First step of a fault.
	faultEndStep          = 4800 // First step after a fault.
	requestsPerStep       = 4    // In all zones together.
	reservedTokens        = 1000 // Tokens that each request reserves.
	meanUsedTokens        = 400  // Mean tokens that a request uses.
	runSteps              = 5    // Duration of a request.
	usedShareOfPrepaid    = 0.9  // Fraction of the prepaid tokens that the load uses.
	teams                 = 10
	hotTeamShare          = 0.8 // Fraction of the load that belongs to one team, for fault hotTeam.
	replacementDelaySteps = 30  // Time until a dead instance is replaced.
)

// zoneShare is the fraction of the load that arrives in each zone.
var zoneShare = [zones]float64{0.55, 0.25, 0.15, 0.05}

// fault is the fault that a simulation injects.
type fault int

const (
	noFault            fault = iota
	zoneCut                  // One zone is cut off from the log and the other zones.
	holderDies               // An instance dies and is replaced.
	topUpBehindCut           // zoneCut, and a top-up that the isolated zone can't read.
	hotTeam                  // zoneCut, with one team that causes most of the load.
	holderDiesInOutage       // An instance dies while no instance reaches the log.
)

var faultNames = map[fault]string{
	noFault: "none", zoneCut: "cut", holderDies: "death", topUpBehindCut: "far-topup", hotTeam: "team80",
	holderDiesInOutage: "outage+death",
}

// admissionPolicy decides which requests are admitted.
type admissionPolicy interface {
	// topUp adds prepaid tokens to a budget; id identifies the top-up.
	topUp(budget record.BudgetID, id string, tokens int64)
	// reserve reserves tokens for a request and returns false if it refuses
	// it.
	reserve(zone, instance int, o *simRequest) bool
	settle(o *simRequest)
	// step ends one second.
	step()
	// cut isolates a zone, or ends that.
	cut(zone int, on bool)
	// outage makes the log unreachable for all instances, or ends that.
	outage(on bool)
	// kill stops an instance for good; replace starts a new one in its place.
	kill(zone, instance int)
	replace(zone, instance int)
	// cost returns the number of appends and their bytes so far.
	cost() (appends, bytes int)
}

// simRequest is one request and its reservation.
type simRequest struct {
	key            record.RequestKey
	budget         record.BudgetID
	used           int64 // Tokens that it uses in the end.
	endStep        int
	zone, instance int
	r              ledger.Reservation
	lost           bool // Its instance died, so nobody settles it.
}

// result holds the measurements of one simulation. Tokens and requests are
// totals over all budgets.
type result struct {
	requests, falseRefusals           int   // Refusals although the budget had enough tokens.
	faultRequests, faultFalseRefusals int   // The same, during the fault only.
	overspend                         int64 // Tokens spent beyond the prepaid ones.
	appends, bytes                    int
}

// globalBalance counts the tokens of all instances, and so determines which
// refusals are false.
type globalBalance struct{ prepaid, spent, reserved map[record.BudgetID]int64 }

// canAdmit reports whether a budget has enough tokens for one more request.
func (t globalBalance) canAdmit(b record.BudgetID) bool {
	return t.prepaid[b]-t.spent[b]-t.reserved[b] >= reservedTokens
}

// loadSimulation drives an admissionPolicy with requests and a fault.
type loadSimulation struct {
	policy        admissionPolicy
	fault         fault
	rng           *rand.Rand
	globalBalance globalBalance
	running       []*simRequest
	requestCount  int
	dead          map[[2]int]bool
	result        result
}

// simulateLoad runs a policy with one fault. The random sequence is fixed, so
// all policies get the same load.
func simulateLoad(policy admissionPolicy, f fault) result {
	d := &loadSimulation{policy: policy, fault: f, rng: rand.New(rand.NewPCG(1, 2)), dead: map[[2]int]bool{}, globalBalance: globalBalance{
		prepaid: map[record.BudgetID]int64{}, spent: map[record.BudgetID]int64{}, reserved: map[record.BudgetID]int64{},
	}}
	d.topUpAll(0, 1)
	for step := range steps {
		d.inject(step)
		for range requestsPerStep {
			d.arrive(step)
		}
		d.settle(step)
		policy.step()
	}
	for b, prepaid := range d.globalBalance.prepaid {
		d.result.overspend += max(0, d.globalBalance.spent[b]-prepaid)
	}
	d.result.appends, d.result.bytes = policy.cost()
	return d.result
}

// topUpAll tops up all budgets. Share 1 is enough for the whole simulation.
// With fault topUpBehindCut the first top-up lasts only until the fault.
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
		d.globalBalance.prepaid[b] += tokens
		d.policy.topUp(b, fmt.Sprint("t", step), tokens)
	}
}

// budgetOf returns the budget of the n-th team.
func budgetOf(team int) record.BudgetID {
	return record.BudgetID{Team: record.Team(fmt.Sprint("team-", team)), Name: "main"}
}

const isolatedZone = 1 // A quarter of the load arrives here.

// inject starts or ends the fault if this is its step.
func (d *loadSimulation) inject(step int) {
	cutsZone := d.fault == zoneCut || d.fault == topUpBehindCut || d.fault == hotTeam
	switch {
	case cutsZone && step == faultStartStep:
		d.policy.cut(isolatedZone, true)
	case cutsZone && step == faultEndStep:
		d.policy.cut(isolatedZone, false)
	case d.fault == topUpBehindCut && step == faultStartStep+60:
		d.topUpAll(step, 1)
	case d.fault == holderDiesInOutage && step == faultStartStep-1:
		d.policy.outage(true)
	case d.fault == holderDiesInOutage && step == faultEndStep:
		d.policy.outage(false)
	case (d.fault == holderDies || d.fault == holderDiesInOutage) && step == faultStartStep:
		d.dead[[2]int{0, 0}] = true
		d.policy.kill(0, 0)
		for _, j := range d.running {
			j.lost = j.lost || (j.zone == 0 && j.instance == 0)
		}
	case (d.fault == holderDies || d.fault == holderDiesInOutage) && step == faultStartStep+replacementDelaySteps:
		delete(d.dead, [2]int{0, 0})
		d.policy.replace(0, 0)
	}
}

// arrive lets one request arrive at a random zone, for a random team.
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
		instance = (instance + 1) % instancesPerZone // The load balancer skips it.
	}
	used := int64(meanUsedTokens/2 + d.rng.IntN(meanUsedTokens))
	j := &simRequest{
		key: record.RequestKey{Team: budgetOf(team).Team, Key: fmt.Sprint(d.requestCount)}, budget: budgetOf(team),
		used: used, endStep: step + runSteps, zone: zone, instance: instance,
	}
	duringFault := step >= faultStartStep && step < faultEndStep
	d.result.requests++
	if duringFault {
		d.result.faultRequests++
	}
	if d.policy.reserve(zone, instance, j) {
		d.globalBalance.reserved[j.budget] += reservedTokens
		d.running = append(d.running, j)
		return
	}
	if d.globalBalance.canAdmit(j.budget) {
		d.result.falseRefusals++
		if duringFault {
			d.result.faultFalseRefusals++
		}
	}
}

// settle ends the requests that are due.
func (d *loadSimulation) settle(step int) {
	kept := d.running[:0]
	for _, j := range d.running {
		if j.endStep > step {
			kept = append(kept, j)
			continue
		}
		d.globalBalance.reserved[j.budget] -= reservedTokens
		if j.lost {
			d.globalBalance.spent[j.budget] += reservedTokens // Billed at the reserved amount.
			continue
		}
		d.globalBalance.spent[j.budget] += j.used
		d.policy.settle(j)
	}
	d.running = kept
}

// grantPolicy is the policy of package ledger.
type grantPolicy struct {
	fleet        *simFleet
	instances    [zones][instancesPerZone]*simInstance
	opts         ledger.Options
	conservatism float64
	started      int  // Number of instances started so far.
	logDown      bool // No instance reaches the log.
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
	a.instances[zone][i] = a.fleet.addInstance(name, record.Zone(fmt.Sprint("zone-", zone)), a.opts, func(c *ledger.Config) {
		c.Conservatism = func(record.BudgetID) float64 { return a.conservatism }
		c.Members = &instanceMembers{fleet: a.fleet, id: record.InstanceID(name)}
	})
	if a.logDown {
		a.outage(true)
	}
}

func (a *grantPolicy) topUp(b record.BudgetID, id string, tokens int64) { a.fleet.topUp(b, id, tokens) }

func (a *grantPolicy) reserve(zone, i int, j *simRequest) bool {
	r, err := a.instances[zone][i].ledger.Reserve(context.Background(), j.key, "", j.budget, reservedTokens)
	j.r = r
	return err == nil
}

func (a *grantPolicy) settle(j *simRequest) {
	_ = a.instances[j.zone][j.instance].ledger.Settle(context.Background(), j.budget, j.r, j.used)
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
			n.logLagging, n.appendMode = on, logUp
			if on {
				n.appendMode = logRefuses
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
		n.appendMode = logUp
		if on {
			n.appendMode = logRefuses
		}
	}
}

func (a *grantPolicy) kill(zone, i int) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.instances[zone][i].stopped = true
	a.fleet.updateListed()
}

func (a *grantPolicy) cost() (int, int) { return a.fleet.appends, a.fleet.bytes }

// instanceMembers is the membership as seen by one instance. It doesn't change
// while the instance is cut off from the log, and doesn't list other instances
// that are.
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
