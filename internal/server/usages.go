package server

import (
	"context"

	"guavapier/internal/endpoint"
	"guavapier/internal/membership"
	"guavapier/internal/record"

	"golang.org/x/sync/errgroup"
)

// askAtOnce bounds the questions about one run that are open at once.
const askAtOnce = 32

// usages implements ledger.Usages: it asks the listed engines for a run whose
// instance is gone. A run that has moved is known to more than one engine; the
// one that has the most of its answer has the whole.
type usages struct {
	engines *endpoint.HTTPEngines
	members *membership.Members
}

// Usage implements ledger.Usages.
func (u usages) Usage(ctx context.Context, run record.RunID) (tokens int64, known bool) {
	var asked errgroup.Group
	asked.SetLimit(askAtOnce)
	var urls []string
	for _, e := range u.members.List().Endpoints {
		if e.Service == "" {
			urls = append(urls, e.URL)
		}
	}
	states := make([]*endpoint.RunState, len(urls))
	for i, url := range urls {
		asked.Go(func() error {
			if state, err := u.engines.State(ctx, url, run); err == nil {
				states[i] = &state
			}
			return nil
		})
	}
	_ = asked.Wait()
	return usedOf(states)
}

// usedOf returns the tokens of the run's longest state, if that one has ended.
func usedOf(states []*endpoint.RunState) (tokens int64, known bool) {
	var longest *endpoint.RunState
	for _, state := range states {
		if state != nil && (longest == nil || state.Answer() > longest.Answer()) {
			longest = state
		}
	}
	if longest == nil || !longest.Done {
		return 0, false
	}
	return longest.Prompt + longest.Answer(), true
}
