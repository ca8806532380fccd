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

// logMode is how the log handles one instance's appends.
type logMode int

const (
	logUp         logMode = iota // The append takes effect.
	logRefuses                   // The append has no effect.
	logLosesReply                // The append takes effect, but its reply is lost.
	logDelays                    // The append may reach the log later.
)

// linkMode is how calls from one instance to another are handled.
type linkMode int

const (
	linkUp         linkMode = iota // The call succeeds.
	linkCut                        // The call has no effect.
	linkLosesReply                 // The call takes effect, but its reply is lost.
	linkDelays                     // The call may arrive later.
)

// productVariant is the product or a deliberately broken variant of it, which
// the model-based test must detect.
type productVariant int

const (
	unmodified        productVariant = iota
	forgedAcks                       // Holders take every use for acknowledged.
	unloggedGrants                   // Holders use grants that aren't on the log.
	uniqueBillKeys                   // Each bill has its own key.
	duplicatedReturns                // Each return takes effect twice.
)

// simFleet simulates log, network, membership and clock for ledgers in one
// process.
type simFleet struct {
	variant productVariant
	stream  record.Stream

	mu             sync.Mutex
	entries        []logstore.Entry
	delayedAppends []record.Batch // Appends under logDelays.
	links          map[[2]record.InstanceID]linkMode
	delayedCalls   []func() // Calls under linkDelays.
	instances      []*simInstance
	listed         []logstore.Instance // Returned by Live.
	now            time.Time
	appends        int
	bytes          int
	uniqueKeys     int // Number of keys made for uniqueBillKeys.
	// background holds the background tasks that wait for runQueued. With
	// runAsync they run at once, in goroutines.
	background []func()
	runAsync   bool
	running    sync.WaitGroup
	// reference and fold hold the state that replayLog has derived so far.
	reference *referenceModel
	fold      *fold.Ledger
}

// simInstance is one instance.
type simInstance struct {
	fleet     *simFleet
	id        record.InstanceID
	zone      record.Zone
	ledger    *ledger.Ledger
	service   *ledger.Service
	partition *replica.Replica[*fold.Ledger]
	// The fields below are guarded by fleet.mu.
	appendMode   logMode
	logLagging   bool // Reads no new entries of the log.
	stopped      bool // Dead or paused: answers no calls.
	reservations map[right.UseID]*issuedReservation
}

// issuedReservation is a granted reservation as known to its caller.
type issuedReservation struct {
	budget  record.BudgetID
	r       ledger.Reservation
	settled bool
	used    int64
}

// newSimFleet returns a fleet without instances.
func newSimFleet(v productVariant) *simFleet {
	return &simFleet{
		variant: v, stream: record.LedgerStream(0), links: map[[2]record.InstanceID]linkMode{},
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

// addInstance starts an instance. tune may change its configuration.
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

// clock returns the virtual time.
func (fleet *simFleet) clock() time.Time {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.now
}

// runBackground is the ledgers' Config.Go.
func (fleet *simFleet) runBackground(f func()) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.runAsync {
		fleet.running.Go(f)
		return
	}
	fleet.background = append(fleet.background, f)
}

// runQueued runs the waiting background tasks in order.
func (fleet *simFleet) runQueued() {
	fleet.mu.Lock()
	queued := fleet.background
	fleet.background = nil
	fleet.mu.Unlock()
	for _, f := range queued {
		f()
	}
}

// updateListed updates what Live returns. The caller holds fleet.mu.
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

// commit appends a batch to the log. The caller holds fleet.mu.
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

// readLog applies all entries that the instance hasn't read. The caller holds
// fleet.mu.
func (n *simInstance) readLog() {
	if n.logLagging || n.stopped {
		return
	}
	for next := n.partition.NextOffset(); next < uint64(len(n.fleet.entries)); next = n.partition.NextOffset() {
		if err := n.partition.Apply(n.fleet.entries[next]); err != nil {
			panic(err)
		}
	}
}

// topUp appends an operator's top-up.
func (fleet *simFleet) topUp(budget record.BudgetID, id string, tokens int64) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.commit(fleet.newBatch("operator", []record.Record{record.TopUp{Budget: budget, ID: id, Tokens: tokens}}))
}

// newBatch returns a batch with a writer of its own, so that the writer's
// sequence number doesn't protect any record from duplicates.
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
	case n.stopped || n.appendMode == logRefuses:
		return 0, logstore.ErrUnavailable
	case n.appendMode == logDelays:
		fleet.delayedAppends = append(fleet.delayedAppends, b)
		return 0, logstore.ErrUnavailable
	case n.appendMode == logLosesReply:
		fleet.commit(b)
		return 0, logstore.ErrUnavailable
	}
	return fleet.commit(b), nil
}

// applyLocally applies a batch at this instance only.
func (n *simInstance) applyLocally(b record.Batch) (uint64, error) {
	data, _ := record.EncodeBatch(b)
	offset := n.partition.NextOffset()
	return offset, n.partition.Apply(logstore.Entry{Offset: offset, Data: data})
}

// modifyRecords applies the deliberate faults of the variant to records.
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

// findInstance returns an instance, or nil. The caller holds fleet.mu, or
// nothing else uses the fleet.
func (fleet *simFleet) findInstance(id record.InstanceID) *simInstance {
	for _, n := range fleet.instances {
		if n.id == id {
			return n
		}
	}
	return nil
}

// newReply returns an empty reply of the same type, for a call whose caller
// has given up.
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

// serve runs a call at this instance.
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
