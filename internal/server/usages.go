package server

import (
	"context"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/endpoint"
	"guavapier/internal/membership"
	"guavapier/internal/record"
)

// maxConcurrentQueries bounds the questions about one run that are open at once.
const maxConcurrentQueries = 32

// runFinder asks the listed engines for runs whose instance or claim is gone. A
// run that has moved is known to more than one engine; the one that has the
// most of its answer has the whole.
type runFinder struct {
	engines *endpoint.HTTPEngines
	members *membership.Members
}

func (s *Server) newRunFinder() runFinder {
	return runFinder{engines: s.clients.engines, members: s.members}
}

// engineRun is what one engine says of a run.
type engineRun struct {
	engine string
	state  endpoint.RunState
}

// Usage implements ledger.Usages.
func (f runFinder) Usage(ctx context.Context, run record.RunID) (tokens int64, known bool) {
	longest, ok := longestAnswer(f.queryEngines(ctx, run))
	if !ok || !longest.state.Done {
		return 0, false
	}
	return longest.state.Prompt + longest.state.AnswerTokens(), true
}

// Find implements run.Finder.
func (f runFinder) Find(ctx context.Context, run record.RunID) (name string, ok bool) {
	longest, ok := longestAnswer(f.queryEngines(ctx, run))
	return longest.engine, ok
}

func (f runFinder) queryEngines(ctx context.Context, run record.RunID) []*engineRun {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	rows := f.members.List().Endpoints
	answers := make([]*engineRun, len(rows))
	for i, e := range rows {
		if e.Service != "" {
			continue
		}
		group.Go(func() error {
			if state, err := f.engines.State(ctx, e.URL, run); err == nil {
				answers[i] = &engineRun{engine: e.Name, state: state}
			}
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// longestAnswer returns the answer with the most tokens.
func longestAnswer(answers []*engineRun) (longest engineRun, ok bool) {
	for _, a := range answers {
		if a != nil && (!ok || a.state.AnswerTokens() > longest.state.AnswerTokens()) {
			longest, ok = *a, true
		}
	}
	return longest, ok
}
