package origin

import (
	"context"
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
}

// Source is how an origin was found.
type Source string

// The sources, for log lines and metrics.
const (
	SourceOwn     Source = "own record"
	SourceReplica Source = "replica"
	SourceNone    Source = "none"
)

// Finding is the result of a search, with what explains it.
type Finding struct {
	Origin  Origin
	Source  Source
	Asked   int // Instances that were asked.
	Replied int // Those of them that replied in time.
}

// Find returns the origin of a stream. It fails with ErrUnknown or ErrUnconfirmed.
//
// Only a record tells the origin. That the endpoint list shows a single version, for however long,
// does not: callers may continue a stream that began before all instances were started again.
func (t *Tracker) Find(ctx context.Context, q Query) (Finding, error) {
	if q.Request == "" {
		return Finding{Source: SourceNone}, ErrUnknown
	}
	id := NewStreamID(q.Organisation, q.Request)
	if known, found := t.Streams.Find(id, t.Clock()); found {
		return conclude(Finding{Origin: known, Source: SourceOwn})
	}
	finding := t.askReplicas(ctx, id)
	switch {
	case finding.Source == SourceReplica:
		return conclude(finding)
	case finding.Replied < finding.Asked:
		return finding, ErrUnconfirmed
	default:
		return finding, ErrUnknown
	}
}

// conclude returns the finding of a record. Contradictory records tell nothing.
func conclude(f Finding) (Finding, error) {
	if f.Origin == (Origin{}) {
		f.Source = SourceNone
		return f, ErrUnknown
	}
	return f, nil
}

// askReplicas asks the instances that may have the record until one has it, all have replied,
// or askTimeout has passed.
func (t *Tracker) askReplicas(ctx context.Context, id StreamID) Finding {
	asked := instancesToAsk(id, t.Zone, *t.others.Load())
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *FindReply, len(asked))
	var calls sync.WaitGroup
	for _, replica := range asked {
		calls.Go(func() { replies <- t.ask(ctx, replica, id) })
	}
	finding := Finding{Asked: len(asked), Source: SourceNone}
	for range asked {
		reply := <-replies
		if reply == nil {
			continue
		}
		finding.Replied++
		if reply.Found {
			finding.Origin, finding.Source = reply.Origin, SourceReplica
			return finding
		}
	}
	return finding
}

// ask asks one instance and returns its reply, nil if there is none in time.
func (t *Tracker) ask(ctx context.Context, replica Instance, id StreamID) *FindReply {
	args := FindArgs{Stream: id, Named: true}
	var reply FindReply
	if err := t.Caller.Call(ctx, replica.Process, ServiceName+".Find", args, &reply); err != nil {
		if ctx.Err() == nil {
			t.Log.Info().Err(err).Str("instance", replica.Name).Msg("origin: instance not asked")
		}
		return nil
	}
	return &reply
}
