// Package operator is the operators' HTTP interface: settings under paths,
// top-ups, budgets, the state dump and the metrics. It has an address of its
// own, which callers must not reach, and every route asks for a credential.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/metrics"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/state"
)

// Appender appends records to the log; see logstore.Publisher.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// API serves the operators' routes of one instance.
type API struct {
	// FleetToken is the fleet operators' credential from the settings file.
	FleetToken string
	Log        Appender
	Config     *replica.Replica[*fold.Config]
	Ledgers    []*replica.Replica[*fold.Ledger]
	State      *state.Registry
	Metrics    *metrics.Registry
	// Instances gives the instance list as this instance knows it, with its
	// own row as it is now.
	Instances func() []logstore.Instance
	// CloseGrant closes the grant of a holder that is gone for good; its risk
	// is told at ledger.Ledger.ForceClose.
	CloseGrant func(context.Context, record.RightID) (fold.Grant, error)
	// CloseShard closes a claim shard whose holder and witness are gone for
	// good.
	CloseShard func(context.Context, record.RightID) (fold.Shard, error)
	// ConfirmTimeout is how long a change waits for the log before its outcome is
	// called unknown.
	ConfirmTimeout time.Duration
}

// access says who may use a route.
type access int

const (
	// accessFleet is for fleet operators only.
	accessFleet access = iota
	// accessTeam is for fleet operators and for the operators of the team in
	// the path.
	accessTeam
	// accessScoped is for every operator; the handler shows and changes only
	// what the operator's scope holds.
	accessScoped
)

// route is one route; there is none without an access.
type route struct {
	method, pattern string
	access          access
	handler         http.HandlerFunc
}

func (a *API) routes() []route {
	return []route{
		{http.MethodGet, "/state", accessFleet, a.handleGetState},
		{http.MethodGet, "/metrics", accessFleet, a.Metrics.ServeHTTP},
		{http.MethodGet, "/teams", accessFleet, a.handleListTeams},
		{http.MethodPost, "/topups", accessFleet, a.handleTopUp},
		{http.MethodPost, "/grants/{id}/close", accessFleet, a.handleCloseGrant},
		{http.MethodPost, "/shards/{id}/close", accessFleet, a.handleCloseShard},
		{http.MethodGet, "/budgets/{team}", accessTeam, a.handleListBudgets},
		{http.MethodGet, "/budgets/{team}/{name}", accessTeam, a.handleGetBudget},
		{http.MethodPut, "/settings", accessScoped, a.handlePutSettings},
		{http.MethodGet, "/settings", accessScoped, a.handleGetSettings},
		{http.MethodGet, "/history", accessScoped, a.handleHistory},
		{http.MethodGet, "/changes/{id}", accessScoped, a.handleGetChange},
		{http.MethodGet, "/applied", accessScoped, a.handleGetApplied},
		{http.MethodGet, "/instances", accessScoped, a.handleListInstances},
	}
}

// Handler returns the operators' routes.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(a.authenticate)
	for _, route := range a.routes() {
		r.With(authorize(route.access)).Method(route.method, route.pattern, route.handler)
	}
	return r
}

func (a *API) handleGetState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.State.Dump())
}
