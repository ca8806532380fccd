package origin

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
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
	// askTimeout bounds how long a caller that continues its stream waits for the replicas'
	// answers. Round trips take a few milliseconds.
	askTimeout = 150 * time.Millisecond
	// maxQueuedRecords bounds the records that wait to be copied; further ones are dropped.
	maxQueuedRecords = 1024
	// sweepInterval is the pause between two removals of what has expired.
	sweepInterval = time.Second
	// historyRetention is how long a version is remembered that is listed no more.
	historyRetention = 10 * time.Minute
)

// Options are the dependencies of a Tracker. All must be set.
type Options struct {
	Zone   string // Availability zone of this instance.
	Caller peer.Caller
	Clock  func() time.Duration
	// Versions are those that the endpoint list has shown.
	Versions *History
	// IsListCurrent reports whether no change of the endpoint list has gone unseen for longer
	// than usual.
	IsListCurrent func() bool
	Log           zerolog.Logger // For lines whose number grows with the load; may drop some.
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
	// VersionAgesMS is, by service and version, how long ago the endpoint list last showed it.
	VersionAgesMS map[string]map[string]int64 `json:"version_ages_ms"`
}

// View returns the tracker's state.
func (t *Tracker) View() View {
	return View{Records: t.Streams.Len(), NotCopied: t.Dropped(), VersionAgesMS: t.Versions.agesMS(t.Clock())}
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
			t.Versions.Sweep(historyRetention, now)
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

// Query asks for the origin of a stream.
type Query struct {
	// Organisation and Request name the stream by the request that brought its first event;
	// Request is "" if the caller doesn't say.
	Organisation record.Team
	Request      string
	// Service is the only one at which the stream can have begun; "" if there are several.
	Service string
	// Lifetime is the longest that a stream lasts.
	Lifetime time.Duration
}

// Source is how an origin was found.
type Source string

// The sources, for log lines and metrics.
const (
	SourceOwn         Source = "own record"
	SourceReplica     Source = "replica"
	SourceOnlyVersion Source = "only version"
	SourceNone        Source = "none"
)

// Finding is the result of a search, with what explains it.
type Finding struct {
	Origin  Origin
	Source  Source
	Asked   int // Instances that were asked.
	Replied int // Those of them that replied in time.
}

// Find returns the origin of a stream. It fails with ErrUnknown or ErrUnconfirmed.
func (t *Tracker) Find(ctx context.Context, q Query) (Finding, error) {
	if q.Request == "" {
		return t.findUnnamed(ctx, q)
	}
	id := NewStreamID(q.Organisation, q.Request)
	if known, found := t.Streams.Find(id, t.Clock()); found {
		return conclude(Finding{Origin: known, Source: SourceOwn})
	}
	finding, versions := t.askReplicas(ctx, id, q)
	if finding.Source == SourceReplica {
		return conclude(finding)
	}
	return t.concludeFromVersions(finding, versions, q)
}

// findUnnamed finds the origin of a stream without knowing which it is.
func (t *Tracker) findUnnamed(ctx context.Context, q Query) (Finding, error) {
	if _, known := t.onlyVersion(q); known || q.Service == "" {
		return t.concludeFromVersions(Finding{}, nil, q)
	}
	finding, versions := t.askReplicas(ctx, StreamID(rand.Uint64()), q)
	return t.concludeFromVersions(finding, versions, q)
}

// concludeFromVersions returns the finding for a stream without a record. versions are the only
// versions of the service, as other instances state them.
func (t *Tracker) concludeFromVersions(f Finding, versions []string, q Query) (Finding, error) {
	if version, ok := t.onlyVersion(q); ok {
		versions = append(versions, version)
	}
	if len(versions) > 0 && t.agreesWith(versions, q) {
		f.Origin, f.Source = Origin{q.Service, versions[0]}, SourceOnlyVersion
		return f, nil
	}
	f.Source = SourceNone
	if f.Replied < f.Asked {
		return f, ErrUnconfirmed
	}
	return f, ErrUnknown
}

// agreesWith reports whether all versions are the same and this instance has seen no other.
func (t *Tracker) agreesWith(versions []string, q Query) bool {
	for _, v := range versions {
		if v != versions[0] {
			return false
		}
	}
	return !t.Versions.HasOther(q.Service, versions[0], q.Lifetime, t.Clock())
}

// conclude returns the finding of a record. Contradictory records tell nothing.
func conclude(f Finding) (Finding, error) {
	if f.Origin == (Origin{}) {
		f.Source = SourceNone
		return f, ErrUnknown
	}
	return f, nil
}

// onlyVersion returns the version of the service if it had no other for as long as a stream
// lasts, by what this instance has seen of the endpoint list.
func (t *Tracker) onlyVersion(q Query) (string, bool) {
	if q.Service == "" || !t.IsListCurrent() {
		return "", false
	}
	return t.Versions.Only(q.Service, q.Lifetime, t.Clock())
}

// askReplicas asks the instances that may have the record until one has it, all have replied,
// or askTimeout has passed. Without a record it also returns what the others state as the only
// version of the service.
func (t *Tracker) askReplicas(ctx context.Context, id StreamID, q Query) (finding Finding, onlyVersions []string) {
	asked := instancesToAsk(id, t.Zone, *t.others.Load())
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *FindReply, len(asked))
	var calls sync.WaitGroup
	for _, replica := range asked {
		calls.Go(func() { replies <- t.ask(ctx, replica, id, q) })
	}
	finding.Asked = len(asked)
	for range asked {
		reply := <-replies
		switch {
		case reply == nil:
			continue
		case reply.Found:
			finding.Replied++
			finding.Origin, finding.Source = reply.Origin, SourceReplica
			return finding, nil
		case reply.IsOnlyVersion:
			onlyVersions = append(onlyVersions, reply.OnlyVersion)
		}
		finding.Replied++
	}
	return finding, onlyVersions
}

// ask asks one instance and returns its reply, nil if there is none in time.
func (t *Tracker) ask(ctx context.Context, replica Instance, id StreamID, q Query) *FindReply {
	args := FindArgs{Stream: id, Named: q.Request != "", Service: q.Service, Lifetime: q.Lifetime}
	var reply FindReply
	if err := t.Caller.Call(ctx, replica.Process, ServiceName+".Find", args, &reply); err != nil {
		if ctx.Err() == nil {
			t.Log.Info().Err(err).Str("instance", replica.Name).Msg("origin: instance not asked")
		}
		return nil
	}
	return &reply
}
