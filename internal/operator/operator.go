// Package operator serves the HTTP API for operators: settings, top-ups, budgets,
// forced closes, the state dump and the metrics. It has an address of its own, which
// callers must not be able to reach, and every route requires a credential.
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

// Appender appends records to a stream of the log in one batch and returns the offset
// of the batch; see logstore.Publisher. After an error the records may still be on the
// log.
type Appender interface {
	Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error)
}

// API serves the operators' HTTP API on one instance. Its fields must be set before
// Handler is called.
type API struct {
	// FleetToken is the token of the settings file, which authenticates fleet operators.
	FleetToken string
	// Log takes changes and top-ups.
	Log Appender
	// Config holds the settings and the operators' keys.
	Config *replica.Replica[*fold.Config]
	// Ledgers holds the budgets, one replica for each ledger partition.
	Ledgers []*replica.Replica[*fold.Ledger]
	// State holds the tables of the state dump.
	State *state.Registry
	// Metrics serves GET /metrics.
	Metrics *metrics.Registry
	// Instances returns the list of instances as this instance knows it, with its own
	// row up to date.
	Instances func() []logstore.Instance
	// CloseGrant closes the grant of a holder that is permanently lost. It returns
	// ledger.ErrNoGrant if the grant isn't open. For the risk of closing it see
	// ledger.Ledger.ForceClose.
	CloseGrant func(context.Context, record.RightID) (fold.Grant, error)
	// CloseShard closes a claim shard whose holder and witness are permanently lost. It
	// returns claim.ErrNoShard if the shard isn't open. For the risk of closing it see
	// claim.Holder.ForceClose.
	CloseShard func(context.Context, record.RightID) (fold.Shard, error)
	// ConfirmTimeout is how long a request waits for the log to confirm a record. After it,
	// the answer is that the outcome is unknown.
	ConfirmTimeout time.Duration
}

// access is the set of operators that may use a route.
type access int

const (
	// accessFleet admits fleet operators only.
	accessFleet access = iota
	// accessTeam admits fleet operators and the operators of the team in the path.
	accessTeam
	// accessScoped admits every operator; the handler shows and changes only what is in
	// the operator's scope.
	accessScoped
)

// route is an HTTP route. Each has an access; the zero value is the strictest.
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

// Handler returns the HTTP routes of the API. Each authenticates the operator and checks
// the route's access.
func (a *API) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(a.authenticate)
	for _, route := range a.routes() {
		r.With(authorize(route.access)).Method(route.method, route.pattern, route.handler)
	}
	return r
}

// handleGetState returns all tables of the state dump.
func (a *API) handleGetState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.State.Dump())
}
