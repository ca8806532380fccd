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

// machineOptions make every wait short and every seal as early as it can be.
func machineOptions() ledger.Options {
	return ledger.Options{
		GrantTokens: 100, Patience: 10 * time.Millisecond, TickEvery: time.Hour, PeerWait: 4 * time.Millisecond,
		AckAttempts: 1, SealTries: 1, SuspectFor: 2 * time.Second, Spare: ledger.SpareOtherZone,
	}
}

// maxTopUps keeps the budget small, so that the adversary gets to its end.
const maxTopUps = 2

// machine is the adversary of the state-machine test: it picks the order of
// everything that instances, log, network, operators and callers do.
type machine struct {
	w      *world
	orders []*order
	keys   int
	topUps int
	births int
}

func newMachine(v variant) *machine {
	m := &machine{w: newWorld(v)}
	for range 4 {
		m.start()
	}
	return m
}

func (m *machine) start() {
	m.births++
	zone := record.Zone(fmt.Sprint("zone-", m.births%2))
	m.w.add(fmt.Sprint("i", m.births), zone, machineOptions(), func(c *ledger.Config) {
		if m.w.variant == unreadGrants {
			c.Peers = nil // A witness would find the grant missing.
		}
	})
}

func (m *machine) node(t *rapid.T, label string) *node {
	return m.w.nodes[rapid.IntRange(0, len(m.w.nodes)-1).Draw(t, label)]
}

func (m *machine) running(t *rapid.T) *node {
	n := m.node(t, "instance")
	if n.stopped {
		return nil
	}
	return n
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"topUp": m.topUp, "reserve": m.reserve, "reserve more": m.reserve, "reserve still more": m.reserve,
		"settle": m.settle, "settle more": m.settle, "tick": m.tick, "tick more": m.tick, "heal": m.heal,
		"log mode": m.logMode, "lag": m.lag, "link": m.link, "pause": m.pause, "resume": m.resume, "restart": m.restart,
		"late copy": m.lateCopy, "late append": m.lateAppend, "late call": m.lateCall, "list": m.list, "time": m.time,
		"background": func(*rapid.T) { m.w.runQueued() },
		"":           m.check,
	}
}

// topUp also repeats earlier top-ups, as racing or retrying operators do.
func (m *machine) topUp(t *rapid.T) {
	id := rapid.IntRange(0, min(m.topUps, maxTopUps)).Draw(t, "id")
	m.topUps = max(m.topUps, id+1)
	m.w.topUp(mainBudget, fmt.Sprint(id), int64(20+id))
}

// reserve also reuses keys, as retries at another instance do.
func (m *machine) reserve(t *rapid.T) {
	n := m.running(t)
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
		m.orders = append(m.orders, &order{budget: mainBudget, r: r})
		n.reserved[r.ID] = m.orders[len(m.orders)-1]
	}
}

func (m *machine) settle(t *rapid.T) {
	n := m.running(t)
	if n == nil {
		return
	}
	for id, o := range n.reserved {
		o.settled, o.used = true, rapid.SampledFrom([]int64{0, o.r.Tokens / 2, o.r.Tokens, o.r.Tokens}).Draw(t, "used")
		delete(n.reserved, id)
		_ = n.ledger.Settle(context.Background(), o.budget, o.r, o.used)
		return
	}
}

func (m *machine) tick(t *rapid.T) {
	if n := m.running(t); n != nil {
		n.ledger.Tick(context.Background())
	}
}

func (m *machine) logMode(t *rapid.T) {
	n, mode := m.node(t, "instance"), rapid.SampledFrom([]logMode{logUp, logUp, logRefuses, logLoses, logDelays}).Draw(t, "mode")
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	n.mode = mode
}

func (m *machine) lag(t *rapid.T) {
	n, lags := m.node(t, "instance"), rapid.SampledFrom([]bool{true, false, false}).Draw(t, "lags")
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	n.lags = lags
	n.read()
}

func (m *machine) link(t *rapid.T) {
	from, to := m.node(t, "from"), m.node(t, "to")
	mode := rapid.SampledFrom([]linkMode{linkUp, linkUp, linkCut, linkLoses, linkDelays}).Draw(t, "mode")
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.w.links[[2]record.InstanceID{from.id, to.id}] = mode
}

func (m *machine) pause(t *rapid.T) {
	n := m.node(t, "instance")
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	n.stopped = true
}

// resume lets a paused instance go on with all that it believed.
func (m *machine) resume(t *rapid.T) {
	n := m.node(t, "instance")
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	n.stopped = false
	n.read()
}

// restart replaces an instance by one that knows nothing. Its runs go on at
// their endpoints, so its orders still count as reserved.
func (m *machine) restart(t *rapid.T) {
	n := m.node(t, "instance")
	m.w.mu.Lock()
	n.stopped = true
	m.w.nodes = append(m.w.nodes[:0:0], m.w.nodes...)
	for i, other := range m.w.nodes {
		if other == n {
			m.w.nodes = append(m.w.nodes[:i], m.w.nodes[i+1:]...)
			break
		}
	}
	m.w.mu.Unlock()
	m.start()
}

// lateCopy puts a second copy of any entry on the log.
func (m *machine) lateCopy(t *rapid.T) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if len(m.w.entries) == 0 {
		return
	}
	e := m.w.entries[rapid.IntRange(0, len(m.w.entries)-1).Draw(t, "entry")]
	b, err := record.DecodeBatch(e.Data)
	if err != nil {
		panic(err)
	}
	b.Writer = record.InstanceID(fmt.Sprint("copy/", len(m.w.entries)))
	m.w.commit(b)
}

func (m *machine) lateAppend(t *rapid.T) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if len(m.w.delayed) > 0 {
		b := rapid.SampledFrom(m.w.delayed).Draw(t, "batch")
		b.Writer = record.InstanceID(fmt.Sprint("late/", len(m.w.entries)))
		m.w.commit(b)
	}
}

// lateCall lets a call arrive, or arrive once more, after its caller gave up.
func (m *machine) lateCall(t *rapid.T) {
	m.w.mu.Lock()
	late := m.w.late
	m.w.mu.Unlock()
	if len(late) > 0 {
		late[rapid.IntRange(0, len(late)-1).Draw(t, "call")]()
	}
}

func (m *machine) list(*rapid.T) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.w.list()
}

func (m *machine) time(t *rapid.T) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.w.now = m.w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, time.Hour}).Draw(t, "passed"))
}

// spent is the least that the team's requests have used or may still use,
// each key once.
func (m *machine) spent() int64 {
	least := map[string]int64{}
	for _, o := range m.orders {
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

func (m *machine) check(t *rapid.T) {
	o, l := m.w.recount()
	if spent := m.spent(); spent > o.prepaid() {
		t.Fatalf("spend: %d of %d prepaid tokens", spent, o.prepaid())
	}
	if o.cost() > o.prepaid() {
		t.Fatalf("commitment: grants cost %d of %d prepaid tokens", o.cost(), o.prepaid())
	}
	for key, n := range o.bills {
		if n > 1 {
			t.Fatalf("bills: key %s has %d", key, n)
		}
	}
	row, _ := l.Budget(mainBudget)
	if row.Prepaid != o.prepaid() || row.Committed != o.cost() {
		t.Fatalf("fold: %+v, want prepaid %d committed %d", row, o.prepaid(), o.cost())
	}
}

// heal ends all faults.
func (m *machine) heal(*rapid.T) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	clear(m.w.links)
	for _, n := range m.w.nodes {
		n.mode, n.lags, n.stopped = logUp, false, false
		n.read()
	}
	m.w.list()
}

// quiesce heals everything and lets all instances finish and leave.
func (m *machine) quiesce(t *rapid.T) {
	m.heal(t)
	m.w.mu.Lock()
	m.w.async = true
	m.w.mu.Unlock()
	m.w.runQueued()
	for _, n := range m.w.nodes {
		for _, o := range n.reserved {
			o.settled, o.used = true, min(7, o.r.Tokens)
			_ = n.ledger.Settle(context.Background(), o.budget, o.r, o.used)
		}
	}
	for range 3 {
		for _, n := range m.w.nodes {
			n.ledger.Tick(context.Background())
		}
	}
	for _, n := range m.w.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := n.ledger.Close(ctx); err != nil {
			t.Fatalf("%s does not leave: %v; it knows %+v", n.id, err, n.ledger.State())
		}
		cancel()
	}
	m.check(t)
	m.checkBilled(t)
}

// checkBilled: every request that used tokens at an instance which lived to
// settle it has its one bill.
func (m *machine) checkBilled(t *rapid.T) {
	o, _ := m.w.recount()
	for _, order := range m.orders {
		alive := m.w.find(order.r.At) != nil
		if order.settled && order.used > 0 && alive && o.bills[order.r.Key.Key] != 1 {
			t.Fatalf("bills: key %s used %d and has %d bills", order.r.Key.Key, order.used, o.bills[order.r.Key.Key])
		}
	}
}

func ledgerMachine(v variant) func(*rapid.T) {
	return func(t *rapid.T) {
		m := newMachine(v)
		m.w.topUp(mainBudget, "first", 100)
		t.Repeat(m.actions())
		if v == sound {
			m.quiesce(t)
		}
	}
}

// TestLedgerUnderAdversary: whatever the order of events, no budget is
// overspent, no grants exceed it, and no request is billed twice.
func TestLedgerUnderAdversary(t *testing.T) {
	rapid.Check(t, ledgerMachine(sound))
}
