package origin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"guavapier/internal/record"
)

// askTimeout bounds how long a caller that continues its stream waits for the replicas' answers.
// Round trips take a few milliseconds.
const askTimeout = 150 * time.Millisecond

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
