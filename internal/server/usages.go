package server

import (
	"context"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/endpoint"
	"guavapier/internal/membership"
	"guavapier/internal/record"
)

// maxConcurrentQueries bounds the concurrent requests for the state of one run.
const maxConcurrentQueries = 32

// runFinder finds, by querying the listed engines, runs whose instance or claim is
// gone. Several engines know a run that was moved between them; the one with the
// longest answer has the complete one.
type runFinder struct {
	engines *endpoint.HTTPEngines
	members *membership.Members
}

func (s *Server) newRunFinder() runFinder {
	return runFinder{engines: s.clients.engines, members: s.members}
}

// engineRun is the state of a run that one engine reports.
type engineRun struct {
	engine string
	state  endpoint.RunState
}

// Usage implements ledger.Usages. The usage is known only if the run has ended.
func (f runFinder) Usage(ctx context.Context, run record.RunID) (tokens int64, known bool) {
	longest, ok := longestAnswer(f.queryEngines(ctx, run))
	if !ok || !longest.state.Done {
		return 0, false
	}
	return longest.state.Prompt + longest.state.AnswerTokens(), true
}

// Find implements run.Finder. It returns the name of the engine with the longest
// answer.
func (f runFinder) Find(ctx context.Context, run record.RunID) (name string, ok bool) {
	longest, ok := longestAnswer(f.queryEngines(ctx, run))
	return longest.engine, ok
}

// queryEngines requests a run's state from all listed engines. The result has a
// nil entry for each plain service and each engine without an answer.
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

// longestAnswer returns the run state with the most answer tokens. ok is false if
// there is none.
func longestAnswer(answers []*engineRun) (longest engineRun, ok bool) {
	for _, a := range answers {
		if a != nil && (!ok || a.state.AnswerTokens() > longest.state.AnswerTokens()) {
			longest, ok = *a, true
		}
	}
	return longest, ok
}
