package ledger_test

import (
	"context"
	"testing"
	"time"

	"guavapier/internal/record"
)

// Guards against an overspend by a request that is refused and comes again with more tokens, if its first use is acknowledged late.
func TestALargerRetryIsNotPaidByItsFirstUse(t *testing.T) {
	m := newModelTest(unmodified)
	m.fleet.topUp(mainBudget, "first", 100)
	m.reserveTokens(2, 32)
	m.fleet.runQueued()
	holder, retrier, witness := m.fleet.instances[2], m.fleet.instances[1], m.fleet.instances[0]
	m.fleet.links[[2]record.InstanceID{holder.id, witness.id}] = linkDelays
	holder.appendMode = logRefuses // So that it gets no other grant for the request.
	key := m.keys
	if m.reserveTokens(2, 5) {
		t.Fatal("the first try was granted")
	}
	m.fleet.topUp(mainBudget, "0", 60)
	m.keys = key
	if !m.reserveTokens(1, 40) {
		t.Fatal("the retry was refused")
	}
	retry := m.reservations[len(m.reservations)-1]
	retrier.appendMode = logRefuses // Its bill comes after the witness's close.
	m.settleInstance(1)
	m.fleet.delayedCalls[0]()
	m.replaceInstance(2)
	for range 3 {
		witness.ledger.Tick(context.Background())
		m.fleet.runQueued()
	}
	retrier.appendMode = logUp
	retrier.readLog()
	for range 3 {
		retrier.ledger.Tick(context.Background())
		m.fleet.runQueued()
	}
	m.fleet.runAsync = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := m.fleet.findInstance(retry.r.At).ledger.Close(ctx); err != nil {
		t.Fatal(err)
	}
	m.fleet.runAsync = false
	for n := range 12 { // What is left of the budget, at all instances.
		m.fleet.now = m.fleet.now.Add(time.Minute)
		m.reserveTokens(n%len(m.fleet.instances), 20)
		m.fleet.runQueued()
	}
	m.checkSpent(t)
}

// settleInstance settles all reservations of an instance with all of their tokens used.
func (m *modelTest) settleInstance(instance int) {
	n := m.fleet.instances[instance]
	for id, o := range n.reservations {
		o.settled, o.used = true, o.r.Tokens
		delete(n.reservations, id)
		_ = n.ledger.Settle(context.Background(), o.budget, o.r, o.used)
	}
}
