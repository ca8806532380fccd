package entry

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// Operators serves the operators' interface, on an address of its own.
type Operators struct {
	Token   string
	Log     Appender
	Config  *replica.Replica[*fold.Config]
	Ledgers []*replica.Replica[*fold.Ledger]
	// State returns the state dump.
	State func() any
}

// Handler returns the operators' routes.
func (o *Operators) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(o.authenticate)
	r.Get("/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, o.State()) })
	r.Post("/topups", o.handleTopUp)
	r.Get("/budgets/{team}/{name}", o.handleBudget)
	r.Put("/settings", o.handleChange)
	r.Get("/settings", o.handleSettings)
	return r
}

func (o *Operators) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(bearer(r)), []byte(o.Token)) != 1 {
			writeProblem(w, http.StatusUnauthorized, problem{
				Type: typeAuthentication, Code: "invalid_operator_token", Message: "The operator token is missing or not valid.", Outcome: record.OutcomeNotRun,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// TopUpRequest is the body of POST /topups. ID makes it idempotent.
type TopUpRequest struct {
	Team   record.Team `json:"team"`
	Budget string      `json:"budget"`
	Tokens int64       `json:"tokens"`
	ID     string      `json:"id"`
	By     string      `json:"by"`
}

func (o *Operators) handleTopUp(w http.ResponseWriter, r *http.Request) {
	var req TopUpRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeProblem(w, http.StatusBadRequest, invalid("malformed_body", err.Error()))
		return
	}
	if req.Team == "" || req.Budget == "" || req.Tokens <= 0 {
		writeProblem(w, http.StatusBadRequest, invalid("malformed_topup", "team, budget and a positive number of tokens are needed."))
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	budget := record.BudgetID{Team: req.Team, Name: req.Budget}
	part := o.Ledgers[record.TeamPartition(req.Team, len(o.Ledgers))]
	offset, err := o.Log.Append(r.Context(), part.Stream(), record.TopUp{Budget: budget, ID: req.ID, Tokens: req.Tokens, By: req.By})
	if err == nil {
		err = part.Wait(r.Context(), offset)
	}
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{Type: typeServer, Code: "platform_unavailable", Message: err.Error(), Outcome: record.OutcomeUnknown})
		return
	}
	o.writeBudget(w, budget)
}

func (o *Operators) handleBudget(w http.ResponseWriter, r *http.Request) {
	o.writeBudget(w, record.BudgetID{Team: record.Team(chi.URLParam(r, "team")), Name: chi.URLParam(r, "name")})
}

func (o *Operators) writeBudget(w http.ResponseWriter, id record.BudgetID) {
	var row fold.Budget
	known := false
	part := o.Ledgers[record.TeamPartition(id.Team, len(o.Ledgers))]
	part.View(func(f *fold.Ledger) { row, known = f.Budget(id) })
	if !known {
		writeProblem(w, http.StatusNotFound, invalid("no_such_budget", "There is no budget "+id.String()+"."))
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (o *Operators) handleChange(w http.ResponseWriter, r *http.Request) {
	var change record.Change
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		writeProblem(w, http.StatusBadRequest, invalid("malformed_body", err.Error()))
		return
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	offset, err := o.Log.Append(r.Context(), record.ConfigStream, change)
	if err == nil {
		err = o.Config.Wait(r.Context(), offset)
	}
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{Type: typeServer, Code: "platform_unavailable", Message: err.Error(), Outcome: record.OutcomeUnknown})
		return
	}
	var result fold.ChangeResult
	o.Config.View(func(f *fold.Config) { result, _ = f.Result(change.ID) })
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

func (o *Operators) handleSettings(w http.ResponseWriter, r *http.Request) {
	var values []fold.Value
	o.Config.View(func(f *fold.Config) { values = f.List(r.URL.Query().Get("prefix")) })
	writeJSON(w, http.StatusOK, values)
}
