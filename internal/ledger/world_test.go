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
	logUp      logMode = iota
	logRefuses         // The append has no effect.
	logLoses           // The append takes effect, its answer is lost.
	logDelays          // The append may reach the log later.
)

// linkMode is how calls from one instance to another go.
type linkMode int

const (
	linkUp     linkMode = iota
	linkCut             // The call has no effect.
	linkLoses           // The call takes effect, its answer is lost.
	linkDelays          // The call may arrive later.
)

// variant breaks one rule on purpose, for the tests of the checker.
type variant int

const (
	sound          variant = iota
	ownAcks                // Holders take every acknowledgement for given.
	unreadGrants           // Holders use grants that the log does not have.
	renamedBills           // Each bill has a key of its own.
	doubledReturns         // Each return stands on the log twice.
)

// world is a log, a network and a clock for ledgers in one process.
type world struct {
	variant variant
	stream  record.Stream

	mu      sync.Mutex
	entries []logstore.Entry
	delayed []record.Batch
	links   map[[2]record.InstanceID]linkMode
	late    []func()
	nodes   []*node
	listed  []logstore.Instance // What Live returns.
	now     time.Time
	appends int
	bytes   int
	renamed int
	// queued is background work that waits for runQueued; with async set it
	// runs at once in goroutines.
	queued  []func()
	async   bool
	running sync.WaitGroup
	// oracle and fold are what recount has read so far.
	oracle *oracle
	fold   *fold.Ledger
}

// node is one instance.
type node struct {
	w       *world
	id      record.InstanceID
	zone    record.Zone
	ledger  *ledger.Ledger
	service *ledger.Service
	part    *replica.Replica[*fold.Ledger]
	// Guarded by world.mu.
	mode     logMode
	lags     bool // Reads nothing new of the log.
	stopped  bool // Killed or paused: answers no call.
	reserved map[right.UseID]*order
}

// order is what a caller knows of one reservation that was granted.
type order struct {
	budget  record.BudgetID
	r       ledger.Reservation
	settled bool
	used    int64
}

func newWorld(v variant) *world {
	return &world{
		variant: v, stream: record.LedgerStream(0), links: map[[2]record.InstanceID]linkMode{},
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

func (w *world) add(name string, zone record.Zone, opts ledger.Options, tune func(*ledger.Config)) *node {
	n := &node{w: w, id: record.InstanceID(name), zone: zone, part: replica.New(w.stream, fold.NewLedger()), reserved: map[right.UseID]*order{}}
	c := ledger.Config{
		Self: n.id, Zone: zone, Log: n, Partitions: ledger.Partitions{n.part}, Members: w, Peers: n, Options: opts,
		Now: w.clock, Go: w.spawn,
	}
	if tune != nil {
		tune(&c)
	}
	n.ledger = ledger.New(c)
	n.service = ledger.NewService(n.ledger)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = append(w.nodes, n)
	w.list()
	n.read()
	return n
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) spawn(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.async {
		w.running.Go(f)
		return
	}
	w.queued = append(w.queued, f)
}

// runQueued does the background work in its order.
func (w *world) runQueued() {
	w.mu.Lock()
	queued := w.queued
	w.queued = nil
	w.mu.Unlock()
	for _, f := range queued {
		f()
	}
}

// list renews what Live returns. It is called with the lock held.
func (w *world) list() {
	w.listed = nil
	for _, n := range w.nodes {
		if !n.stopped {
			w.listed = append(w.listed, logstore.Instance{ID: n.id, Zone: n.zone})
		}
	}
}

// Live implements ledger.Members.
func (w *world) Live() []logstore.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed
}

// commit puts a batch on the log. It is called with the lock held.
func (w *world) commit(b record.Batch) uint64 {
	data, err := record.EncodeBatch(b)
	if err != nil {
		panic(err)
	}
	offset := uint64(len(w.entries))
	w.entries = append(w.entries, logstore.Entry{Offset: offset, Data: data})
	w.appends++
	w.bytes += len(data)
	for _, n := range w.nodes {
		n.read()
	}
	return offset
}

// read brings a node up to the log. It is called with the world's lock held.
func (n *node) read() {
	if n.lags || n.stopped {
		return
	}
	for next := n.part.Next(); next < uint64(len(n.w.entries)); next = n.part.Next() {
		if err := n.part.Apply(n.w.entries[next]); err != nil {
			panic(err)
		}
	}
}

// topUp is an operator's top-up.
func (w *world) topUp(budget record.BudgetID, id string, tokens int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commit(w.batch("operator", []record.Record{record.TopUp{Budget: budget, ID: id, Tokens: tokens}}))
}

// batch gives every batch a writer of its own, so that no record is saved from
// a late copy by its writer's sequence number.
func (w *world) batch(writer record.InstanceID, records []record.Record) record.Batch {
	b := record.Batch{Writer: record.InstanceID(fmt.Sprint(writer, "/", len(w.entries), "/", len(w.delayed))), Seq: 1}
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		panic(err)
	}
	b.Records = envelopes
	return b
}

// Append implements ledger.Appender.
func (n *node) Append(_ context.Context, _ record.Stream, records ...record.Record) (uint64, error) {
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.batch(n.id, w.tamper(records))
	if _, grant := records[0].(record.Grant); grant && w.variant == unreadGrants {
		return n.pretend(b)
	}
	switch {
	case n.stopped || n.mode == logRefuses:
		return 0, logstore.ErrUnavailable
	case n.mode == logDelays:
		w.delayed = append(w.delayed, b)
		return 0, logstore.ErrUnavailable
	case n.mode == logLoses:
		w.commit(b)
		return 0, logstore.ErrUnavailable
	}
	return w.commit(b), nil
}

// pretend applies a batch at this node alone.
func (n *node) pretend(b record.Batch) (uint64, error) {
	data, _ := record.EncodeBatch(b)
	offset := n.part.Next()
	return offset, n.part.Apply(logstore.Entry{Offset: offset, Data: data})
}

func (w *world) tamper(records []record.Record) []record.Record {
	var out []record.Record
	for _, r := range records {
		out = append(out, r)
		switch x := r.(type) {
		case record.Bill:
			if w.variant == renamedBills {
				w.renamed++
				x.Key.Key += fmt.Sprint("~", w.renamed)
				out[len(out)-1] = x
			}
		case record.Return:
			if w.variant == doubledReturns {
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
func (n *node) Call(_ context.Context, to record.InstanceID, method string, args, reply any) error {
	w := n.w
	w.mu.Lock()
	mode := w.links[[2]record.InstanceID{n.id, to}]
	target := w.find(to)
	if mode == linkDelays && target != nil {
		w.late = append(w.late, func() { _ = target.serve(method, args, fresh(reply)) })
	}
	cut := mode == linkCut || mode == linkDelays || target == nil || target.stopped || n.stopped
	w.mu.Unlock()
	if w.variant == ownAcks && strings.HasSuffix(method, ".Acknowledge") {
		batches := args.(right.AcknowledgeArgs[record.Outstanding]).Batches
		reply.(*right.AcknowledgeReply).Results = make([]right.Result, len(batches))
		return nil
	}
	if cut {
		return peer.ErrUnreachable
	}
	err := target.serve(method, args, reply)
	if mode == linkLoses {
		return peer.ErrUnreachable
	}
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	return nil
}

func (w *world) find(id record.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// fresh returns a reply of the same type, for a call whose caller is gone.
func fresh(reply any) any {
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

func (n *node) serve(method string, args, reply any) error {
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
