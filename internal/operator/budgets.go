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

// maxTopUp bounds one top-up, so that no sum of a budget's overflows.
const maxTopUp = 1_000_000_000_000_000

// TopUpRequest is the body of POST /topups. ID makes it idempotent: a retry
// with the same ID counts once.
type TopUpRequest struct {
	Team   record.Team `json:"team"`
	Budget string      `json:"budget"`
	Tokens int64       `json:"tokens"`
	ID     string      `json:"id"`
	By     string      `json:"by"`
}

func (t TopUpRequest) findings() []config.Finding {
	var out []config.Finding
	add := func(key, problem string) { out = append(out, config.Finding{Path: key, Problem: problem}) }
	if !config.ValidName(string(t.Team)) {
		add("team", fmt.Sprintf("is %q; allowed: a team's name", t.Team))
	}
	if !config.ValidName(t.Budget) {
		add("budget", fmt.Sprintf("is %q; allowed: a budget's name", t.Budget))
	}
	if t.Tokens < 1 || t.Tokens > maxTopUp {
		add("tokens", fmt.Sprintf("is %d; allowed: 1 to %d", t.Tokens, int64(maxTopUp)))
	}
	if !config.ValidName(t.ID) {
		add("id", fmt.Sprintf("is %q; allowed: letters, digits, dots, dashes, underscores; at most 100", t.ID))
	}
	if len(t.By) > maxByBytes {
		add("by", "is too long; allowed: at most 100 bytes")
	}
	return out
}

func (i *Interface) handleTopUp(w http.ResponseWriter, r *http.Request) {
	var req TopUpRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	if findings := req.findings(); len(findings) > 0 {
		writeProblem(w, http.StatusUnprocessableEntity, problem{Code: "invalid_topup", Message: "Nothing was topped up.", Findings: findings})
		return
	}
	budget := record.BudgetID{Team: req.Team, Name: req.Budget}
	topUp := record.TopUp{Budget: budget, ID: req.ID, Tokens: req.Tokens, By: by(operatorOf(r), req.By)}
	if err := i.topUp(r.Context(), topUp); err != nil {
		writeUnknown(w, req.ID, "/budgets/"+budget.String(), "The log has not confirmed the top-up in time; it may count yet. Retry with the same id: it counts once.")
		return
	}
	i.writeBudget(w, budget)
}

// topUp returns when the fold has applied the record.
func (i *Interface) topUp(ctx context.Context, t record.TopUp) error {
	ctx, cancel := context.WithTimeout(ctx, i.Patience)
	defer cancel()
	part := i.partition(t.Budget.Team)
	offset, err := i.Log.Append(ctx, part.Stream(), t)
	if err != nil {
		return err
	}
	return part.AwaitOffset(ctx, offset)
}

func (i *Interface) partition(team record.Team) *replica.Replica[*fold.Ledger] {
	return i.Ledgers[record.TeamPartition(team, len(i.Ledgers))]
}

func (i *Interface) handleBudget(w http.ResponseWriter, r *http.Request) {
	i.writeBudget(w, record.BudgetID{Team: record.Team(chi.URLParam(r, "team")), Name: chi.URLParam(r, "name")})
}

func (i *Interface) writeBudget(w http.ResponseWriter, id record.BudgetID) {
	var row fold.Budget
	known := false
	i.partition(id.Team).View(func(f *fold.Ledger) { row, known = f.Budget(id) })
	if !known {
		writeProblem(w, http.StatusNotFound, problem{Code: "no_such_budget", Message: "There is no budget " + id.String() + "."})
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (i *Interface) handleBudgets(w http.ResponseWriter, r *http.Request) {
	team := record.Team(chi.URLParam(r, "team"))
	rows := []fold.Budget{}
	i.partition(team).View(func(f *fold.Ledger) {
		for _, b := range f.Budgets() {
			if b.ID.Team == team {
				rows = append(rows, b)
			}
		}
	})
	slices.SortFunc(rows, func(a, b fold.Budget) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	writeJSON(w, http.StatusOK, rows)
}

// TeamRow is one team of GET /teams.
type TeamRow struct {
	Team   record.Team `json:"team"`
	Values int         `json:"values"`
}

// handleTeams lists the teams that have settings.
func (i *Interface) handleTeams(w http.ResponseWriter, _ *http.Request) {
	counts := map[record.Team]int{}
	i.Config.View(func(f *fold.Config) {
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
