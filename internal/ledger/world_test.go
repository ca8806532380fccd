package ledger_test

import (
	"context"
	"fmt"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/ledger"
	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/right"
)

// logMode is how the log answers one instance's appends.
type logMode int

const (
	logUp         logMode = iota
	logRefuses            // The append has no effect.
	logLosesReply         // The append takes effect, its answer is lost.
	logDelays             // The append may reach the log later.
)

// linkMode is how calls from one instance to another go.
type linkMode int

const (
	linkUp         linkMode = iota
	linkCut                 // The call has no effect.
	linkLosesReply          // The call takes effect, its answer is lost.
	linkDelays              // The call may arrive later.
)

// productVariant breaks one rule on purpose, for the tests of the checker.
type productVariant int

const (
	unmodified        productVariant = iota
	forgedAcks                       // Holders take every acknowledgement for given.
	unloggedGrants                   // Holders use grants that the log does not have.
	uniqueBillKeys                   // Each bill has a key of its own.
	duplicatedReturns                // Each return stands on the log twice.
)

// simFleet is a log, a network and a clock for ledgers in one process.
type simFleet struct {
	variant productVariant
	stream  record.Stream

	mu             sync.Mutex
	entries        []logstore.Entry
	delayedAppends []record.Batch
	links          map[[2]record.InstanceID]linkMode
	delayedCalls   []func()
	instances      []*simInstance
	listed         []logstore.Instance // What Live returns.
	now            time.Time
	appends        int
	bytes          int
	uniqueKeys     int
	// background is background work that waits for runQueued; with async set it
	// runs at once in goroutines.
	background []func()
	runAsync   bool
	running    sync.WaitGroup
	// oracle and fold are what recount has read so far.
	oracle *referenceModel
	fold   *fold.Ledger
}

// simInstance is one instance.
type simInstance struct {
	fleet     *simFleet
	id        record.InstanceID
	zone      record.Zone
	ledger    *ledger.Ledger
	service   *ledger.Service
	partition *replica.Replica[*fold.Ledger]
	// Guarded by world.mu.
	mode         logMode
	logLagging   bool // Reads nothing new of the log.
	stopped      bool // Killed or paused: answers no call.
	reservations map[right.UseID]*issuedReservation
}

// issuedReservation is what a caller knows of one reservation that was granted.
type issuedReservation struct {
	budget  record.BudgetID
	r       ledger.Reservation
	settled bool
	used    int64
}

func newSimFleet(v productVariant) *simFleet {
	return &simFleet{
		variant: v, stream: record.LedgerStream(0), links: map[[2]record.InstanceID]linkMode{},
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func (fleet *simFleet) addInstance(name string, zone record.Zone, opts ledger.Options, tune func(*ledger.Config)) *simInstance {
	n := &simInstance{fleet: fleet, id: record.InstanceID(name), zone: zone, partition: replica.New(fleet.stream, fold.NewLedger()), reservations: map[right.UseID]*issuedReservation{}}
	c := ledger.Config{
		Self: n.id, Zone: zone, Log: n, Partitions: ledger.Partitions{n.partition}, Members: fleet, Peers: n, Options: opts,
		Now: fleet.clock, Go: fleet.runBackground,
	}
	if tune != nil {
		tune(&c)
	}
	n.ledger = ledger.New(c)
	n.service = ledger.NewService(n.ledger)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.instances = append(fleet.instances, n)
	fleet.updateListed()
	n.readLog()
	return n
}

func (fleet *simFleet) clock() time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.now
}

func (fleet *simFleet) runBackground(f func()) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.runAsync {
		fleet.running.Go(f)
		return
	}
	fleet.background = append(fleet.background, f)
}

// runQueued does the background work in its order.
func (fleet *simFleet) runQueued() {
	fleet.mu.Lock()
	queued := fleet.background
	fleet.background = nil
	fleet.mu.Unlock()
	for _, f := range queued {
		f()
	}
}

// updateListed renews what Live returns. It is called with the lock held.
func (fleet *simFleet) updateListed() {
	fleet.listed = nil
	for _, n := range fleet.instances {
		if !n.stopped {
			fleet.listed = append(fleet.listed, logstore.Instance{ID: n.id, Zone: n.zone})
		}
	}
}

// Live implements ledger.Members.
func (fleet *simFleet) Live() []logstore.Instance {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.listed
}

// commit puts a batch on the log. It is called with the lock held.
func (fleet *simFleet) commit(b record.Batch) uint64 {
	data, err := record.EncodeBatch(b)
	if err != nil {
		panic(err)
	}
	offset := uint64(len(fleet.entries))
	fleet.entries = append(fleet.entries, logstore.Entry{Offset: offset, Data: data})
	fleet.appends++
	fleet.bytes += len(data)
	for _, n := range fleet.instances {
		n.readLog()
	}
	return offset
}

// readLog brings a node up to the log. It is called with the world's lock held.
func (n *simInstance) readLog() {
	if n.logLagging || n.stopped {
		return
	}
	for next := n.partition.Next(); next < uint64(len(n.fleet.entries)); next = n.partition.Next() {
		if err := n.partition.Apply(n.fleet.entries[next]); err != nil {
			panic(err)
		}
	}
}

// topUp is an operator's top-up.
func (fleet *simFleet) topUp(budget record.BudgetID, id string, tokens int64) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.commit(fleet.newBatch("operator", []record.Record{record.TopUp{Budget: budget, ID: id, Tokens: tokens}}))
}

// newBatch gives every newBatch a writer of its own, so that no record is saved from
// a late copy by its writer's sequence number.
func (fleet *simFleet) newBatch(writer record.InstanceID, records []record.Record) record.Batch {
	b := record.Batch{Writer: record.InstanceID(fmt.Sprint(writer, "/", len(fleet.entries), "/", len(fleet.delayedAppends))), Seq: 1}
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		panic(err)
	}
	b.Records = envelopes
	return b
}

// Append implements ledger.Appender.
func (n *simInstance) Append(_ context.Context, _ record.Stream, records ...record.Record) (uint64, error) {
	fleet := n.fleet
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	b := fleet.newBatch(n.id, fleet.modifyRecords(records))
	if _, grant := records[0].(record.Grant); grant && fleet.variant == unloggedGrants {
		return n.applyLocally(b)
	}
	switch {
	case n.stopped || n.mode == logRefuses:
		return 0, logstore.ErrUnavailable
	case n.mode == logDelays:
		fleet.delayedAppends = append(fleet.delayedAppends, b)
		return 0, logstore.ErrUnavailable
	case n.mode == logLosesReply:
		fleet.commit(b)
		return 0, logstore.ErrUnavailable
	}
	return fleet.commit(b), nil
}

// applyLocally applies a batch at this node alone.
func (n *simInstance) applyLocally(b record.Batch) (uint64, error) {
	data, _ := record.EncodeBatch(b)
	offset := n.partition.Next()
	return offset, n.partition.Apply(logstore.Entry{Offset: offset, Data: data})
}

func (fleet *simFleet) modifyRecords(records []record.Record) []record.Record {
	var out []record.Record
	for _, r := range records {
		out = append(out, r)
		switch x := r.(type) {
		case record.Bill:
			if fleet.variant == uniqueBillKeys {
				fleet.uniqueKeys++
				x.Key.Key += fmt.Sprint("~", fleet.uniqueKeys)
				out[len(out)-1] = x
			}
		case record.Return:
			if fleet.variant == duplicatedReturns {
				x.Seq = 2*x.Seq - 1
				out[len(out)-1] = x
				x.Seq++
				out = append(out, x)
			}
		}
	}
	return out
}

// Call implements peer.Caller.
func (n *simInstance) Call(_ context.Context, to record.InstanceID, method string, args, reply any) error {
	fleet := n.fleet
	fleet.mu.Lock()
	mode := fleet.links[[2]record.InstanceID{n.id, to}]
	target := fleet.findInstance(to)
	if mode == linkDelays && target != nil {
		fleet.delayedCalls = append(fleet.delayedCalls, func() { _ = target.serve(method, args, newReply(reply)) })
	}
	cut := mode == linkCut || mode == linkDelays || target == nil || target.stopped || n.stopped
	fleet.mu.Unlock()
	if fleet.variant == forgedAcks && strings.HasSuffix(method, ".Acknowledge") {
		batches := args.(right.AcknowledgeArgs[record.Outstanding]).Batches
		reply.(*right.AcknowledgeReply).Results = make([]right.Result, len(batches))
		return nil
	}
	if cut {
		return peer.ErrUnreachable
	}
	err := target.serve(method, args, reply)
	if mode == linkLosesReply {
		return peer.ErrUnreachable
	}
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	return nil
}

func (fleet *simFleet) findInstance(id record.InstanceID) *simInstance {
	for _, n := range fleet.instances {
		if n.id == id {
			return n
		}
	}
	return nil
}

// newReply returns a reply of the same type, for a call whose caller is gone.
func newReply(reply any) any {
	switch reply.(type) {
	case *right.AcknowledgeReply:
		return &right.AcknowledgeReply{}
	case *ledger.ReserveReply:
		return &ledger.ReserveReply{}
	case *ledger.SettleReply:
		return &ledger.SettleReply{}
	case *ledger.SpareReply:
		return &ledger.SpareReply{}
	default:
		return &ledger.PingReply{}
	}
}

func (n *simInstance) serve(method string, args, reply any) error {
	switch a := args.(type) {
	case right.AcknowledgeArgs[record.Outstanding]:
		return n.ledger.Witness().Acknowledge(a, reply.(*right.AcknowledgeReply))
	case ledger.ReserveArgs:
		return n.service.Reserve(a, reply.(*ledger.ReserveReply))
	case ledger.SettleArgs:
		return n.service.Settle(a, reply.(*ledger.SettleReply))
	case ledger.SpareArgs:
		return n.service.Spare(a, reply.(*ledger.SpareReply))
	case ledger.PingArgs:
		return n.service.Ping(a, reply.(*ledger.PingReply))
	}
	return fmt.Errorf("no method %s", method)
}
