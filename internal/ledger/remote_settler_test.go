package ledger

import (
	"context"
	"testing"

	"guavapier/internal/fold"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// unreachablePeers is a peer.Caller to which no peer answers.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, record.InstanceID, string, any, any) error {
	return peer.ErrUnreachable
}

// appendedBills counts the bills by key, and calls onAppend during each append.
type appendedBills struct {
	byKey    map[string]int
	onAppend func()
}

func (a *appendedBills) Append(_ context.Context, _ record.Stream, records ...record.Record) (uint64, error) {
	for _, r := range records {
		a.byKey[r.(record.Bill).Key.Key]++
	}
	a.onAppend()
	return 0, nil
}

// Guards against a bill whose mark is lost, and which is appended again, because a settlement was queued meanwhile.
func TestASettlementQueuedDuringABillLosesNoMark(t *testing.T) {
	log := &appendedBills{byKey: map[string]int{}, onAppend: func() {}}
	var queued []func()
	l := New(Config{
		Self: "self", Log: log, Peers: unreachablePeers{}, Partitions: Partitions{replica.New(record.Stream("ledger-0"), fold.NewLedger())},
		Options: Options{PeerTimeout: 1}, Go: func(f func()) { queued = append(queued, f) },
	})
	settle := func(key string) {
		l.remote.enqueue("owner", Settlement{Reservation: Reservation{Key: record.RequestKey{Key: key}, Right: "r", Tokens: 5, At: "owner"}, Used: 5})
	}
	settle("first")
	log.onAppend = func() {
		log.onAppend = func() {}
		for range 8 { // Enough to move the queue to another array.
			settle("later")
		}
	}
	for range 3 {
		for len(queued) > 0 {
			next := queued[0]
			queued = queued[1:]
			next()
		}
		l.remote.retryFailed()
	}
	if n := log.byKey["first"]; n != 1 {
		t.Errorf("the first bill was appended %d times, want once", n)
	}
}
