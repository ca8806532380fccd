package server

import (
	"context"

	"golang.org/x/sync/errgroup"

	"guavapier/internal/endpoint"
	"guavapier/internal/membership"
	"guavapier/internal/record"
)

// askAtOnce bounds the questions about one run that are open at once.
const askAtOnce = 32

// runFinder asks the listed engines for runs whose instance or claim is gone. A
// run that has moved is known to more than one engine; the one that has the
// most of its answer has the whole.
type runFinder struct {
	engines *endpoint.HTTPEngines
	members *membership.Members
}

func (s *Server) finder() runFinder { return runFinder{engines: s.clients.engines, members: s.members} }

// found is what one engine says of a run.
type found struct {
	engine string
	state  endpoint.RunState
}

// Usage implements ledger.Usages.
func (f runFinder) Usage(ctx context.Context, run record.RunID) (tokens int64, known bool) {
	longest, ok := longestOf(f.ask(ctx, run))
	if !ok || !longest.state.Done {
		return 0, false
	}
	return longest.state.Prompt + longest.state.AnswerTokens(), true
}

// Find implements run.Finder.
func (f runFinder) Find(ctx context.Context, run record.RunID) (name string, ok bool) {
	longest, ok := longestOf(f.ask(ctx, run))
	return longest.engine, ok
}

func (f runFinder) ask(ctx context.Context, run record.RunID) []*found {
	var asked errgroup.Group
	asked.SetLimit(askAtOnce)
	rows := f.members.List().Endpoints
	answers := make([]*found, len(rows))
	for i, e := range rows {
		if e.Service != "" {
			continue
		}
		asked.Go(func() error {
			if state, err := f.engines.State(ctx, e.URL, run); err == nil {
				answers[i] = &found{engine: e.Name, state: state}
			}
			return nil
		})
	}
	_ = asked.Wait()
	return answers
}

// longestOf returns the answer with the most tokens.
func longestOf(answers []*found) (longest found, ok bool) {
	for _, a := range answers {
		if a != nil && (!ok || a.state.AnswerTokens() > longest.state.AnswerTokens()) {
			longest, ok = *a, true
		}
	}
	return longest, ok
}
