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

// testInstance is the loadReporter of one instance and its placement table.
type testInstance struct {
	*loadReporter
	endpoints *placement.Table
}

// newTestInstance starts a loadReporter and its RPC server on a free port. It returns the
// claim record under which other instances find it, and its accounts, which take theirs.
func newTestInstance(t *testing.T, key record.InstanceID) (*testInstance, *prepaid.ClaimRecord, *prepaid.Accounts) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := newBootClock()
	address := listener.Addr().String()
	self := prepaid.Identity{Key: key, Node: string(key), Started: 1, Peer: address}
	accounts := prepaid.NewAccounts(self, prepaid.DefaultPolicy(), prepaid.Clocks{SinceBoot: bootTime, Wall: func() int64 { return 1 }})
	pool := peer.NewPool(key, accounts, peer.Options{})
	endpoints := placement.New(1, 0)
	for _, id := range []string{"e1", "e2"} {
		endpoints.Put(discovery.Endpoint{ID: id, Service: "s", Address: id + ":1"}, 0)
	}
	instance := &testInstance{loadReporter: newLoadReporter(pool, accounts, endpoints, clock), endpoints: endpoints}
	server := peer.NewServer(key)
	if err := server.Register(loadsServiceName, instance.loadReporter); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(listener); close(done) }()
	go instance.run(ctx)
	t.Cleanup(func() { stop(); _ = listener.Close(); server.Close(); pool.Close(); <-done })
	return instance, &prepaid.ClaimRecord{Node: string(key), Started: 1, Peer: address}, accounts
}

// An instance reports to which endpoint it sent a prompt with shared parts, also if the
// prompt is too short to be reported for its prefill time.
func TestInstancesTellWhereTheySentSharedParts(t *testing.T) {
	sender, _, accounts := newTestInstance(t, "one")
	receiver, claimRecord, _ := newTestInstance(t, "other")
	accounts.Apply("other", claimRecord, time.Second)
	accounts.MarkCaughtUp(time.Second)
	query := placement.Query{Service: "s", Parts: []placement.Part{{ID: "shared", Tokens: 400}, {ID: "own", Tokens: 100}}}
	assignment := sender.endpoints.Place(query, sender.clock())
	if assignment.PrefillTime >= minReportedWork {
		t.Fatalf("prefill takes %s, so the prompt is reported for that alone", assignment.PrefillTime)
	}
	sender.reportPlacement(assignment)
	isObserved := func() bool {
		for _, row := range receiver.endpoints.View(0) {
			if row.ID == assignment.Endpoint.ID {
				return row.Parts > 0
			}
		}
		return false
	}
	for deadline := time.Now().Add(20 * time.Second); !isObserved(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other instance has not recorded the shared parts in time")
		}
	}
}
