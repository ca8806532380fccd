package operator

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// maxTopUpTokens bounds one top-up, so that the sums of a budget don't overflow an int64.
const maxTopUpTokens = 1_000_000_000_000_000

// TopUpRequest is the body of POST /topups. ID makes the request idempotent: it takes
// effect once, however often it is retried with the same ID. If ID is empty, the server
// chooses one. Tokens are added to the budget; By is a note on who asks.
type TopUpRequest struct {
	Team   record.Team `json:"team"`
	Budget string      `json:"budget"`
	Tokens int64       `json:"tokens"`
	ID     string      `json:"id"`
	By     string      `json:"by"`
}

// validate returns all problems of the request, none if it is valid.
func (t TopUpRequest) validate() []config.Finding {
	var out []config.Finding
	add := func(path, problem string) { out = append(out, config.Finding{Path: path, Problem: problem}) }
	if !config.ValidName(string(t.Team)) {
		add("team", fmt.Sprintf("is %q; allowed: a team's name", t.Team))
	}
	if !config.ValidName(t.Budget) {
		add("budget", fmt.Sprintf("is %q; allowed: a budget's name", t.Budget))
	}
	if t.Tokens < 1 || t.Tokens > maxTopUpTokens {
		add("tokens", fmt.Sprintf("is %d; allowed: 1 to %d", t.Tokens, int64(maxTopUpTokens)))
	}
	if !config.ValidName(t.ID) {
		add("id", fmt.Sprintf("is %q; allowed: letters, digits, dots, dashes, underscores; at most 100", t.ID))
	}
	if len(t.By) > maxRequesterNoteBytes {
		add("by", "is too long; allowed: at most 100 bytes")
	}
	return out
}

// handleTopUp adds tokens to a budget. It answers 200 with the budget only after this
// instance has applied the top-up.
func (a *API) handleTopUp(w http.ResponseWriter, r *http.Request) {
	var req TopUpRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	if findings := req.validate(); len(findings) > 0 {
		writeProblem(w, http.StatusUnprocessableEntity, problem{Code: "invalid_topup", Message: "Nothing was topped up.", Findings: findings})
		return
	}
	budget := record.BudgetID{Team: req.Team, Name: req.Budget}
	topUp := record.TopUp{Budget: budget, ID: req.ID, Tokens: req.Tokens, By: author(authenticatedOperator(r), req.By)}
	if err := a.appendTopUp(r.Context(), topUp); err != nil {
		writeOutcomeUnknown(w, req.ID, "/budgets/"+budget.String(), "The log has not confirmed the top-up in time; it may count yet. Retry with the same id: it counts once.")
		return
	}
	a.writeBudget(w, budget)
}

// appendTopUp appends t to the log and waits until this instance has applied it. After an
// error the top-up may still take effect.
func (a *API) appendTopUp(ctx context.Context, t record.TopUp) error {
	ctx, cancel := context.WithTimeout(ctx, a.ConfirmTimeout)
	defer cancel()
	part := a.ledgerPartition(t.Budget.Team)
	offset, err := a.Log.Append(ctx, part.Stream(), t)
	if err != nil {
		return err
	}
	return part.AwaitOffset(ctx, offset)
}

// ledgerPartition returns the replica of the ledger partition that holds the team's budgets.
func (a *API) ledgerPartition(team record.Team) *replica.Replica[*fold.Ledger] {
	return a.Ledgers[record.TeamPartition(team, len(a.Ledgers))]
}

func (a *API) handleGetBudget(w http.ResponseWriter, r *http.Request) {
	a.writeBudget(w, record.BudgetID{Team: record.Team(chi.URLParam(r, "team")), Name: chi.URLParam(r, "name")})
}

// writeBudget answers with the budget, or 404 if it doesn't exist.
func (a *API) writeBudget(w http.ResponseWriter, id record.BudgetID) {
	var row fold.Budget
	known := false
	a.ledgerPartition(id.Team).View(func(f *fold.Ledger) { row, known = f.Budget(id) })
	if !known {
		writeProblem(w, http.StatusNotFound, problem{Code: "no_such_budget", Message: "There is no budget " + id.String() + "."})
		return
	}
	writeJSON(w, http.StatusOK, row)
}

// handleListBudgets lists the budgets of a team, sorted by name.
func (a *API) handleListBudgets(w http.ResponseWriter, r *http.Request) {
	team := record.Team(chi.URLParam(r, "team"))
	rows := []fold.Budget{}
	a.ledgerPartition(team).View(func(f *fold.Ledger) {
		for _, b := range f.Budgets() {
			if b.ID.Team == team {
				rows = append(rows, b)
			}
		}
	})
	slices.SortFunc(rows, func(a, b fold.Budget) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	writeJSON(w, http.StatusOK, rows)
}

// TeamRow is one row of the answer to GET /teams. Values is the number of the team's
// settings.
type TeamRow struct {
	Team   record.Team `json:"team"`
	Values int         `json:"values"`
}

// handleListTeams lists the teams that have settings, sorted by name.
func (a *API) handleListTeams(w http.ResponseWriter, _ *http.Request) {
	counts := map[record.Team]int{}
	a.Config.View(func(f *fold.Config) {
		for _, v := range f.List(config.TeamsPath) {
			name, _, _ := strings.Cut(strings.TrimPrefix(v.Path, config.TeamsPath+"/"), "/")
			counts[record.Team(name)]++
		}
	})
	rows := make([]TeamRow, 0, len(counts))
	for team, n := range counts {
		rows = append(rows, TeamRow{Team: team, Values: n})
	}
	slices.SortFunc(rows, func(a, b TeamRow) int { return cmp.Compare(a.Team, b.Team) })
	writeJSON(w, http.StatusOK, rows)
}
