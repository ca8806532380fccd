package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapier/internal/fold"
	"guavapier/internal/operator"
	"guavapier/internal/record"
)

func budgetCommand(o output) *ffcli.Command {
	return parent("budget", "guavapier budget show|topup|close", "Show, top up and repair prepaid budgets.",
		"guavapier budget topup dala main 1000000", budgetShow(o), budgetTopUp(o), budgetClose(o))
}

func (c client) showBudgets(rows []fold.Budget) error {
	return c.show(rows, "TEAM\tBUDGET\tPREPAID\tCOMMITTED\tBILLED\tFREE", func(add func(...any)) {
		for _, b := range rows {
			add(b.ID.Team, b.ID.Name, b.Prepaid, b.Committed, b.Billed, b.Prepaid-b.Committed)
		}
	})
}

func budgetShow(o output) *ffcli.Command {
	fs := newFlagSet("show")
	c := operatorFlags(o, fs)
	return leaf{
		usage: "guavapier budget show [flags] TEAM", help: "Show a team's budgets, in tokens.",
		example: "guavapier budget show dala",
		flags:   fs, args: []string{"TEAM"},
		run: func(ctx context.Context, args []string) error {
			var rows []fold.Budget
			if err := c.call(ctx, http.MethodGet, "/budgets/"+url.PathEscape(args[0]), nil, &rows); err != nil {
				return err
			}
			return c.showBudgets(rows)
		},
	}.command("show")
}

func budgetTopUp(o output) *ffcli.Command {
	fs := newFlagSet("topup")
	c := operatorFlags(o, fs)
	id := fs.String("id", "", "`identity` of the top-up, for a retry: it counts once; else a new one is drawn")
	by := fs.String("by", os.Getenv("USER"), "`note` on who tops up")
	return leaf{
		usage: "guavapier budget topup [flags] TEAM BUDGET TOKENS", help: "Add prepaid tokens to a budget; the first one creates it.",
		example: "guavapier budget topup -id invoice-2026-117 dala main 1000000",
		flags:   fs, args: []string{"TEAM", "BUDGET", "TOKENS"},
		run: func(ctx context.Context, args []string) error {
			tokens, err := strconv.ParseInt(args[2], 10, 64)
			if err != nil {
				return usagef("TOKENS is %q; allowed: a whole number", args[2])
			}
			request := operator.TopUpRequest{Team: record.Team(args[0]), Budget: args[1], Tokens: tokens, ID: *id, By: *by}
			if request.ID == "" {
				request.ID = uuid.NewString()
			}
			return c.topUp(ctx, request)
		},
	}.command("topup")
}

func (c client) topUp(ctx context.Context, request operator.TopUpRequest) error {
	var row fold.Budget
	err := c.call(ctx, http.MethodPost, "/topups", request, &row)
	var said refusal
	var usage usageError
	switch {
	case err == nil:
		return c.showBudgets([]fold.Budget{row})
	case errors.As(err, &said), errors.As(err, &usage):
		return err
	default:
		return fmt.Errorf("%w\nThe identity is %s; give it with -id when you retry", err, request.ID)
	}
}

// closeRisk is told before a grant is closed by hand.
const closeRisk = "Close a grant only if its holder and witness are gone for good. If the holder is alive\n" +
	"behind a cut, it may go on spending until it reads the close, above what was prepaid;\n" +
	"what it ran and had not billed yet stays unbilled."

func budgetClose(o output) *ffcli.Command {
	fs := newFlagSet("close")
	c := operatorFlags(o, fs)
	yes := fs.Bool("yes", false, "do not ask, for scripts")
	return leaf{
		usage: "guavapier budget close [flags] GRANT", help: "Close a grant whose holder is gone for good.",
		example: "guavapier budget close 2f0c6f0e-54a8-4a5c-9e0f-1a2b3c4d5e6f",
		flags:   fs, args: []string{"GRANT"},
		run: func(ctx context.Context, args []string) error {
			var row fold.Grant
			if err := c.closeRight(ctx, o, *yes, closeRisk, "/grants/"+url.PathEscape(args[0])+"/close", &row); err != nil {
				return err
			}
			return c.show(row, "GRANT\tTOKENS\tBILLED", func(add func(...any)) { add(row.Right, row.Tokens, row.Billed) })
		},
	}.command("close")
}

// closeRight tells the risk, asks unless yes, and closes a right by hand.
func (c client) closeRight(ctx context.Context, o output, yes bool, risk, path string, row any) error {
	fmt.Fprintln(o.err, risk)
	if !yes && !confirm(o) {
		return errors.New("nothing was closed")
	}
	return c.call(ctx, http.MethodPost, path, nil, row)
}
