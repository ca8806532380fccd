package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"guavapier/internal/discovery"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// fleetmate is the loads of one instance with the endpoints that it knows.
type fleetmate struct {
	*loads
	table *placement.Table
}

// newFleetmate starts an instance's service of loads; its book knows the others.
func newFleetmate(t *testing.T, key record.InstanceID) (*fleetmate, *prepaid.ClaimRecord, *prepaid.Accounts) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := bootClock()
	address := listener.Addr().String()
	self := prepaid.Identity{Key: key, Node: string(key), Started: 1, Peer: address}
	book := prepaid.NewAccounts(self, prepaid.DefaultPolicy(), prepaid.Clocks{SinceBoot: bootTime, Wall: func() int64 { return 1 }})
	pool := peer.NewPool(key, book, peer.Options{})
	table := placement.New(1)
	for _, id := range []string{"e1", "e2"} {
		table.Put(discovery.Endpoint{ID: id, Service: "s", Address: id + ":1"})
	}
	mate := &fleetmate{loads: newLoads(pool, book, table, clock), table: table}
	server := peer.NewServer(key)
	if err := server.Register(loadsService, mate.loads); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = server.Serve(listener); close(ended) }()
	go mate.run(ctx)
	t.Cleanup(func() { stop(); _ = listener.Close(); server.Close(); pool.Close(); <-ended })
	return mate, &prepaid.ClaimRecord{Node: string(key), Started: 1, Peer: address}, book
}

// Where one instance sent a session's prompt, another one finds its shared parts,
// although they are few enough to be read before the word is round.
func TestInstancesTellWhereTheySentSharedParts(t *testing.T) {
	one, _, book := newFleetmate(t, "one")
	other, statement, _ := newFleetmate(t, "other")
	book.Apply("other", statement, time.Second)
	book.MarkCaughtUp(time.Second)
	q := placement.Query{Service: "s", Parts: []placement.Part{{ID: "shared", Tokens: 400}, {ID: "own", Tokens: 100}}}
	k := one.table.Place(q, one.clock())
	if k.Work >= worthTelling {
		t.Fatalf("reading takes %s: told for that alone", k.Work)
	}
	one.placed(k)
	knows := func() bool {
		for _, row := range other.table.View() {
			if row.ID == k.Endpoint.ID {
				return row.Parts > 0
			}
		}
		return false
	}
	for limit := time.Now().Add(20 * time.Second); !knows(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("never heard")
		}
	}
}
