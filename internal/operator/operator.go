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

// Interface serves the operators' routes of one instance.
type Interface struct {
	// Token is the fleet operators' credential from the settings file.
	Token   string
	Log     Appender
	Config  *replica.Replica[*fold.Config]
	Ledgers []*replica.Replica[*fold.Ledger]
	State   *state.Registry
	Metrics *metrics.Registry
	// Instances gives the instance list as this instance knows it, with its
	// own row as it is now.
	Instances func() []logstore.Instance
	// CloseGrant closes the grant of a holder that is gone for good; its risk
	// is told at ledger.Ledger.ForceClose.
	CloseGrant func(context.Context, record.RightID) (fold.Grant, error)
	// CloseShard closes a claim shard whose holder and witness are gone for
	// good.
	CloseShard func(context.Context, record.RightID) (fold.Shard, error)
	// Patience is how long a change waits for the log before its outcome is
	// called unknown.
	Patience time.Duration
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

func (i *Interface) routes() []route {
	return []route{
		{http.MethodGet, "/state", accessFleet, i.handleState},
		{http.MethodGet, "/metrics", accessFleet, i.Metrics.ServeHTTP},
		{http.MethodGet, "/teams", accessFleet, i.handleTeams},
		{http.MethodPost, "/topups", accessFleet, i.handleTopUp},
		{http.MethodPost, "/grants/{id}/close", accessFleet, i.handleCloseGrant},
		{http.MethodPost, "/shards/{id}/close", accessFleet, i.handleCloseShard},
		{http.MethodGet, "/budgets/{team}", accessTeam, i.handleBudgets},
		{http.MethodGet, "/budgets/{team}/{name}", accessTeam, i.handleBudget},
		{http.MethodPut, "/settings", accessScoped, i.handleChange},
		{http.MethodGet, "/settings", accessScoped, i.handleSettings},
		{http.MethodGet, "/history", accessScoped, i.handleHistory},
		{http.MethodGet, "/changes/{id}", accessScoped, i.handleResult},
		{http.MethodGet, "/applied", accessScoped, i.handleApplied},
		{http.MethodGet, "/instances", accessScoped, i.handleInstances},
	}
}

// Handler returns the operators' routes.
func (i *Interface) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(i.authenticate)
	for _, route := range i.routes() {
		r.With(authorize(route.access)).Method(route.method, route.pattern, route.handler)
	}
	return r
}

func (i *Interface) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, i.State.Dump())
}
