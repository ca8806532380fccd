package origin

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// copyBatchDelay is how long records are collected for one call.
	copyBatchDelay = 5 * time.Millisecond
	// copyTimeout bounds a call that copies records.
	copyTimeout = 300 * time.Millisecond
	// maxQueuedRecords bounds the records that wait to be copied; further ones are dropped.
	maxQueuedRecords = 1024
	// sweepInterval is the pause between two removals of what has expired.
	sweepInterval = time.Second
)

// Options are the dependencies of a Tracker. All must be set.
type Options struct {
	Zone   string // Availability zone of this instance.
	Caller peer.Caller
	Clock  func() time.Duration
	Log    zerolog.Logger // For lines whose number grows with the load; may drop some.
}

// Tracker keeps the origins of this instance's streams and of those for which it is a replica,
// and finds the origins of others. It is safe for concurrent use.
type Tracker struct {
	Options
	Streams *Table // All records that are kept here.

	served  *Table // Records of the streams that this instance serves or has served.
	queue   chan Record
	others  atomic.Pointer[[]Instance]
	changed chan struct{} // Notified when others was replaced.
	dropped atomic.Int64  // Records that were not copied since the queue was full.
}

// NewTracker returns a tracker that knows no other instances. Run copies what it is told.
func NewTracker(o Options) *Tracker {
	t := &Tracker{Options: o, Streams: NewTable(), served: NewTable(), queue: make(chan Record, maxQueuedRecords), changed: make(chan struct{}, 1)}
	t.others.Store(&[]Instance{})
	return t
}

// SetInstances sets the other instances of the fleet. Those that are new, or have started again,
// get the records of which they are replicas.
func (t *Tracker) SetInstances(others []Instance) {
	t.others.Store(&others)
	logstore.Notify(t.changed)
}

// Instances returns the other instances of the fleet. The result must not be changed.
func (t *Tracker) Instances() []Instance { return *t.others.Load() }

// PeerAddr implements peer.Addresses.
func (t *Tracker) PeerAddr(id record.InstanceID) (string, bool) {
	for _, i := range *t.others.Load() {
		if i.Process == id {
			return i.Address, true
		}
	}
	return "", false
}

// Dropped returns how many records were not copied because too many waited.
func (t *Tracker) Dropped() int64 { return t.dropped.Load() }

// View is what a state dump shows of a Tracker.
type View struct {
	Records   int   `json:"records"`
	NotCopied int64 `json:"not_copied"`
}

// View returns the tracker's state.
func (t *Tracker) View() View {
	return View{Records: t.Streams.Len(), NotCopied: t.Dropped()}
}

// Began records the origin of a stream that this instance serves, and has it copied. It does
// not block.
func (t *Tracker) Began(r Record) {
	now := t.Clock()
	if !t.Streams.Put(r, now) || !t.served.Put(r, now) {
		t.dropped.Add(1)
		return
	}
	select {
	case t.queue <- r:
	default:
		t.dropped.Add(1)
	}
}

// Run copies records to their replicas and removes what has expired, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	var known []Instance
	for {
		select {
		case first := <-t.queue:
			logstore.Pause(ctx, copyBatchDelay, nil)
			t.copyRecords(ctx, t.collectBatch(first))
		case <-t.changed:
			others := *t.others.Load()
			t.copyToNew(ctx, others, known)
			known = others
		case <-sweep.C:
			now := t.Clock()
			t.Streams.Sweep(now)
			t.served.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns first and all other queued records.
func (t *Tracker) collectBatch(first Record) []Record {
	batch := []Record{first}
	for {
		select {
		case r := <-t.queue:
			batch = append(batch, r)
		default:
			return batch
		}
	}
}

// pendingCopy is a record with the instances to try if the present one is not reached.
type pendingCopy struct {
	Record
	instead []Instance
}

// copyRecords starts to copy the records to their replicas, with one call to each.
func (t *Tracker) copyRecords(ctx context.Context, batch []Record) {
	others := *t.others.Load()
	pending := map[Instance][]pendingCopy{}
	for _, r := range batch {
		order := replicasFor(r.Stream, t.Zone, others)
		first := min(copies, len(order))
		for i, replica := range order[:first] {
			instead := order[min(first+i, len(order)):min(first+i+1, len(order))]
			pending[replica] = append(pending[replica], pendingCopy{r, instead})
		}
	}
	t.sendCopies(ctx, pending)
}

// copyToNew copies to those instances that are not among known the records of which they are
// replicas.
func (t *Tracker) copyToNew(ctx context.Context, others, known []Instance) {
	pending := map[Instance][]pendingCopy{}
	for _, r := range t.served.Records(t.Clock()) {
		order := replicasFor(r.Stream, t.Zone, others)
		for _, replica := range order[:min(copies, len(order))] {
			if !slices.Contains(known, replica) {
				pending[replica] = append(pending[replica], pendingCopy{Record: r})
			}
		}
	}
	t.sendCopies(ctx, pending)
}

// sendCopies makes the calls, each in a goroutine of its own.
func (t *Tracker) sendCopies(ctx context.Context, pending map[Instance][]pendingCopy) {
	for replica, list := range pending {
		go t.sendCopy(ctx, replica, list)
	}
}

// sendCopy copies records to a replica. If that fails, each record goes to the instance that
// takes its place.
func (t *Tracker) sendCopy(ctx context.Context, replica Instance, list []pendingCopy) {
	args := CopyArgs{Records: make([]Record, 0, len(list))}
	for _, p := range list {
		args.Records = append(args.Records, p.Record)
	}
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	err := t.Caller.Call(callCtx, replica.Process, ServiceName+".Copy", args, &CopyReply{})
	if err == nil || ctx.Err() != nil {
		return
	}
	t.Log.Info().Err(err).Str("instance", replica.Name).Int("streams", len(list)).Msg("origin: replica not reached")
	next := map[Instance][]pendingCopy{}
	for _, p := range list {
		if len(p.instead) > 0 {
			next[p.instead[0]] = append(next[p.instead[0]], pendingCopy{Record: p.Record})
		}
	}
	t.sendCopies(ctx, next)
}
