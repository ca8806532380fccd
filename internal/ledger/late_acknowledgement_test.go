package ledger_test

import (
	"context"
	"fmt"
	"testing"

	"guavapier/internal/record"
)

// reserveTokens makes a request with a new key at an instance and reports whether it was granted.
func (m *modelTest) reserveTokens(instance int, tokens int64) bool {
	n := m.fleet.instances[instance]
	key := record.RequestKey{Team: "dala", Key: fmt.Sprint(m.keys)}
	m.keys++
	r, err := n.ledger.Reserve(context.Background(), key, record.NewRunID(), mainBudget, tokens)
	if err != nil {
		return false
	}
	m.reservations = append(m.reservations, &issuedReservation{budget: mainBudget, r: r})
	n.reservations[r.ID] = m.reservations[len(m.reservations)-1]
	return true
}

// replaceInstance ends an instance for good and starts another one.
func (m *modelTest) replaceInstance(instance int) {
	m.fleet.instances[instance].stopped = true
	left := append([]*simInstance{}, m.fleet.instances[:instance]...)
	m.fleet.instances = append(left, m.fleet.instances[instance+1:]...)
	m.startInstance()
}

func (m *modelTest) checkSpent(t *testing.T) {
	t.Helper()
	o, _ := m.fleet.replayLog()
	if spent := m.minSpent(); spent > o.prepaid() {
		t.Errorf("%d of %d prepaid tokens are spent", spent, o.prepaid())
	}
}

// Guards against an overspend by a use that the witness acknowledges after its holder gave it up and returned its tokens.
func TestTokensOfALateAcknowledgedUseAreNotSpentTwice(t *testing.T) {
	m := newModelTest(unmodified)
	m.fleet.topUp(mainBudget, "first", 100)
	m.reserveTokens(2, 32)
	m.reserveTokens(0, 6)
	m.fleet.runQueued()
	m.reserveTokens(2, 40)
	m.fleet.links[[2]record.InstanceID{"i3", "i1"}] = linkDelays
	m.fleet.runQueued()
	m.fleet.topUp(mainBudget, "0", 20)
	m.fleet.topUp(mainBudget, "1", 21)
	m.reserveTokens(2, 29) // Its acknowledgement by i1 is late; it is reserved again, with another witness.
	m.reserveTokens(2, 6)
	m.reserveTokens(1, 5)
	m.fleet.delayedCalls[0]()
	m.replaceInstance(2)
	m.fleet.instances[0].ledger.Tick(context.Background())
	m.fleet.instances[1].ledger.Tick(context.Background())
	m.fleet.runQueued()
	m.reserveTokens(1, 28)
	m.checkSpent(t)
}
