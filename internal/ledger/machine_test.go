package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

var mainBudget = record.BudgetID{Team: "dala", Name: "main"}

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.shrinktime": "2s", "rapid.nofailfile": "true", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// shortTimeoutOptions returns options with short timeouts and seals after a
// single failed ping, so that random operations reach timeouts and seals
// often.
func shortTimeoutOptions() ledger.Options {
	return ledger.Options{
		InitialGrantTokens: 100, GrantTimeout: 10 * time.Millisecond, TickInterval: time.Hour, PeerTimeout: 4 * time.Millisecond,
		MaxAckAttempts: 1, SealAfterFailedPings: 1, SuspicionTTL: 2 * time.Second, SparePolicy: ledger.SpareOtherZone,
	}
}

// maxTopUps keeps the budget small, so that random operations exhaust it.
const maxTopUps = 2

// modelTest is the state of the model-based test. Its operations choose, at
// random, the order of everything that instances, log, network, operators and
// callers do.
type modelTest struct {
	fleet        *simFleet
	reservations []*issuedReservation // All granted ones.
	keys         int                  // Number of request keys used so far.
	topUps       int                  // Number of top-up IDs used so far.
	started      int                  // Number of instances started so far.
}

// newModelTest starts four instances.
func newModelTest(v productVariant) *modelTest {
	m := &modelTest{fleet: newSimFleet(v)}
	for range 4 {
		m.startInstance()
	}
	return m
}

// startInstance adds an instance to one of two zones.
func (m *modelTest) startInstance() {
	m.started++
	zone := record.Zone(fmt.Sprint("zone-", m.started%2))
	m.fleet.addInstance(fmt.Sprint("i", m.started), zone, shortTimeoutOptions(), func(c *ledger.Config) {
		if m.fleet.variant == unloggedGrants {
			c.Peers = nil // A witness would notice that the grant is missing.
		}
	})
}

// drawInstance draws any instance, including stopped ones.
func (m *modelTest) drawInstance(t *rapid.T, label string) *simInstance {
	return m.fleet.instances[rapid.IntRange(0, len(m.fleet.instances)-1).Draw(t, label)]
}

// drawRunningInstance draws an instance and returns nil if it is stopped.
func (m *modelTest) drawRunningInstance(t *rapid.T) *simInstance {
	n := m.drawInstance(t, "instance")
	if n.stopped {
		return nil
	}
	return n
}

// actions returns the operations by name; those under several names are drawn
// more often. The one without a name checks the invariants after each
// operation.
func (m *modelTest) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"topUp": m.topUp, "reserve": m.reserve, "reserve more": m.reserve, "reserve still more": m.reserve,
		"settle": m.settle, "settle more": m.settle, "tick": m.tick, "tick more": m.tick, "heal": m.heal,
		"log mode": m.logMode, "lag": m.lag, "link": m.link, "pause": m.pause, "resume": m.resume, "restart": m.restart,
		"late copy": m.lateCopy, "late append": m.lateAppend, "late call": m.lateCall, "list": m.updateMembership, "time": m.advanceClock,
		"background": func(*rapid.T) { m.fleet.runQueued() },
		"":           m.check,
	}
}

// topUp tops up the budget, or repeats an earlier top-up, as operators do when
// they race or retry.
func (m *modelTest) topUp(t *rapid.T) {
	id := rapid.IntRange(0, min(m.topUps, maxTopUps)).Draw(t, "id")
	m.topUps = max(m.topUps, id+1)
	m.fleet.topUp(mainBudget, fmt.Sprint(id), int64(20+id))
}

// reserve makes a request with a new key or with a recent one, as a retry at
// another instance does.
func (m *modelTest) reserve(t *rapid.T) {
	n := m.drawRunningInstance(t)
	if n == nil {
		return
	}
	key := m.keys
	if rapid.IntRange(0, 4).Draw(t, "retry") == 0 {
		key = rapid.IntRange(max(0, m.keys-3), m.keys).Draw(t, "key")
	}
	m.keys = max(m.keys, key+1)
	tokens := rapid.Int64Range(5, 40).Draw(t, "tokens")
	id := record.RequestKey{Team: "dala", Key: fmt.Sprint(key)}
	r, err := n.ledger.Reserve(context.Background(), id, record.NewRunID(), mainBudget, tokens)
	if err == nil {
		m.reservations = append(m.reservations, &issuedReservation{budget: mainBudget, r: r})
		n.reservations[r.ID] = m.reservations[len(m.reservations)-1]
	}
}

// settle settles one reservation of an instance.
func (m *modelTest) settle(t *rapid.T) {
	n := m.drawRunningInstance(t)
	if n == nil {
		return
	}
	for id, o := range n.reservations {
		o.settled, o.used = true, rapid.SampledFrom([]int64{0, o.r.Tokens / 2, o.r.Tokens, o.r.Tokens}).Draw(t, "used")
		delete(n.reservations, id)
		_ = n.ledger.Settle(context.Background(), o.budget, o.r, o.used)
		return
	}
}

func (m *modelTest) tick(t *rapid.T) {
	if n := m.drawRunningInstance(t); n != nil {
		n.ledger.Tick(context.Background())
	}
}

func (m *modelTest) logMode(t *rapid.T) {
	n, mode := m.drawInstance(t, "instance"), rapid.SampledFrom([]logMode{logUp, logUp, logRefuses, logLosesReply, logDelays}).Draw(t, "mode")
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	n.appendMode = mode
}

func (m *modelTest) lag(t *rapid.T) {
	n, lags := m.drawInstance(t, "instance"), rapid.SampledFrom([]bool{true, false, false}).Draw(t, "lags")
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	n.logLagging = lags
	n.readLog()
}

func (m *modelTest) link(t *rapid.T) {
	from, to := m.drawInstance(t, "from"), m.drawInstance(t, "to")
	mode := rapid.SampledFrom([]linkMode{linkUp, linkUp, linkCut, linkLosesReply, linkDelays}).Draw(t, "mode")
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.links[[2]record.InstanceID{from.id, to.id}] = mode
}

func (m *modelTest) pause(t *rapid.T) {
	n := m.drawInstance(t, "instance")
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	n.stopped = true
}

// resume lets a paused instance continue with its outdated state.
func (m *modelTest) resume(t *rapid.T) {
	n := m.drawInstance(t, "instance")
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	n.stopped = false
	n.readLog()
}

// restart replaces an instance by a new one without state. Its runs continue
// at their endpoints, so their reservations still count as spent.
func (m *modelTest) restart(t *rapid.T) {
	n := m.drawInstance(t, "instance")
	m.fleet.mu.Lock()
	n.stopped = true
	m.fleet.instances = append(m.fleet.instances[:0:0], m.fleet.instances...)
	for i, other := range m.fleet.instances {
		if other == n {
			m.fleet.instances = append(m.fleet.instances[:i], m.fleet.instances[i+1:]...)
			break
		}
	}
	m.fleet.mu.Unlock()
	m.startInstance()
}

// lateCopy appends a duplicate of any entry to the log.
func (m *modelTest) lateCopy(t *rapid.T) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if len(m.fleet.entries) == 0 {
		return
	}
	e := m.fleet.entries[rapid.IntRange(0, len(m.fleet.entries)-1).Draw(t, "entry")]
	b, err := record.DecodeBatch(e.Data)
	if err != nil {
		panic(err)
	}
	b.Writer = record.InstanceID(fmt.Sprint("copy/", len(m.fleet.entries)))
	m.fleet.commit(b)
}

// lateAppend lets a delayed append reach the log.
func (m *modelTest) lateAppend(t *rapid.T) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if len(m.fleet.delayedAppends) > 0 {
		b := rapid.SampledFrom(m.fleet.delayedAppends).Draw(t, "batch")
		b.Writer = record.InstanceID(fmt.Sprint("late/", len(m.fleet.entries)))
		m.fleet.commit(b)
	}
}

// lateCall delivers a delayed call after its caller has given up, possibly
// more than once.
func (m *modelTest) lateCall(t *rapid.T) {
	m.fleet.mu.Lock()
	late := m.fleet.delayedCalls
	m.fleet.mu.Unlock()
	if len(late) > 0 {
		late[rapid.IntRange(0, len(late)-1).Draw(t, "call")]()
	}
}

// updateMembership makes the membership list hold exactly the instances that
// have not stopped.
func (m *modelTest) updateMembership(*rapid.T) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.updateListed()
}

// advanceClock advances the simulated clock by a second, a minute or an hour.
func (m *modelTest) advanceClock(t *rapid.T) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.now = m.fleet.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, time.Hour}).Draw(t, "passed"))
}

// minSpent returns the fewest tokens that the team's requests have used or may
// still use, counting each key once.
func (m *modelTest) minSpent() int64 {
	least := map[string]int64{}
	for _, o := range m.reservations {
		cost := o.r.Tokens
		if o.settled {
			cost = o.used
		}
		if before, ok := least[o.r.Key.Key]; !ok || cost < before {
			least[o.r.Key.Key] = cost
		}
	}
	var sum int64
	for _, cost := range least {
		sum += cost
	}
	return sum
}

// check verifies the invariants against the reference model.
func (m *modelTest) check(t *rapid.T) {
	o, l := m.fleet.replayLog()
	if spent := m.minSpent(); spent > o.prepaid() {
		t.Fatalf("spend: %d of %d prepaid tokens", spent, o.prepaid())
	}
	if o.committed() > o.prepaid() {
		t.Fatalf("commitment: grants cost %d of %d prepaid tokens", o.committed(), o.prepaid())
	}
	for key, n := range o.bills {
		if n > 1 {
			t.Fatalf("bills: key %s has %d, want at most 1", key, n)
		}
	}
	row, _ := l.Budget(mainBudget)
	if row.Prepaid != o.prepaid() || row.Committed != o.committed() {
		t.Fatalf("fold: %+v, want prepaid %d committed %d", row, o.prepaid(), o.committed())
	}
}

// heal ends all faults.
func (m *modelTest) heal(*rapid.T) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	clear(m.fleet.links)
	for _, n := range m.fleet.instances {
		n.appendMode, n.logLagging, n.stopped = logUp, false, false
		n.readLog()
	}
	m.fleet.updateListed()
}

// quiesce ends all faults, settles all reservations and closes all ledgers.
func (m *modelTest) quiesce(t *rapid.T) {
	m.heal(t)
	m.fleet.mu.Lock()
	m.fleet.runAsync = true
	m.fleet.mu.Unlock()
	m.fleet.runQueued()
	for _, n := range m.fleet.instances {
		for _, o := range n.reservations {
			o.settled, o.used = true, min(7, o.r.Tokens)
			_ = n.ledger.Settle(context.Background(), o.budget, o.r, o.used)
		}
	}
	for range 3 {
		for _, n := range m.fleet.instances {
			n.ledger.Tick(context.Background())
		}
	}
	for _, n := range m.fleet.instances {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := n.ledger.Close(ctx); err != nil {
			t.Fatalf("%s does not close: %v; open grants %+v", n.id, err, n.ledger.State())
		}
		cancel()
	}
	m.check(t)
	m.checkBilled(t)
}

// checkBilled verifies that each settled request that used tokens has exactly
// one bill, if the instance with its grant is still running.
func (m *modelTest) checkBilled(t *rapid.T) {
	o, _ := m.fleet.replayLog()
	for _, order := range m.reservations {
		alive := m.fleet.findInstance(order.r.At) != nil
		if order.settled && order.used > 0 && alive && o.bills[order.r.Key.Key] != 1 {
			t.Fatalf("bills: key %s used %d and has %d bills", order.r.Key.Key, order.used, o.bills[order.r.Key.Key])
		}
	}
}

// ledgerModelTest returns the property for the product or for a deliberately
// broken variant of it.
func ledgerModelTest(v productVariant) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newModelTest(v)
		m.fleet.topUp(mainBudget, "first", 100)
		t.Repeat(m.actions())
		if v == unmodified {
			m.quiesce(t)
		}
	}
}

// TestLedgerUnderAdversary checks, for random orders of events and faults,
// that no budget is overspent, that grants never exceed their budget, and that
// no request is billed twice.
func TestLedgerUnderAdversary(t *testing.T) {
	rapid.Check(t, ledgerModelTest(unmodified))
}
