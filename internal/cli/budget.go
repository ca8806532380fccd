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

func budgetCommand(std stdio) *ffcli.Command {
	return groupCommand("budget", "guavapier budget show|topup|close", "Show, top up and repair prepaid budgets.",
		"guavapier budget topup dala main 1000000", budgetShow(std), budgetTopUp(std), budgetClose(std))
}

// printBudgets prints budgets in tokens. Free tokens are prepaid and not yet
// committed to a grant.
func (c client) printBudgets(rows []fold.Budget) error {
	return c.print(rows, "TEAM\tBUDGET\tPREPAID\tCOMMITTED\tBILLED\tFREE", func(add func(...any)) {
		for _, b := range rows {
			add(b.ID.Team, b.ID.Name, b.Prepaid, b.Committed, b.Billed, b.Prepaid-b.Committed)
		}
	})
}

func budgetShow(std stdio) *ffcli.Command {
	fs := newFlagSet("show")
	c := newOperatorClient(std, fs)
	return leafCommand{
		usage: "guavapier budget show [flags] TEAM", help: "Show a team's budgets, in tokens.",
		example: "guavapier budget show dala",
		flags:   fs, args: []string{"TEAM"},
		run: func(ctx context.Context, args []string) error {
			var rows []fold.Budget
			if err := c.call(ctx, http.MethodGet, "/budgets/"+url.PathEscape(args[0]), nil, &rows); err != nil {
				return err
			}
			return c.printBudgets(rows)
		},
	}.build("show")
}

func budgetTopUp(std stdio) *ffcli.Command {
	fs := newFlagSet("topup")
	c := newOperatorClient(std, fs)
	id := fs.String("id", "", "`identity` of the top-up, for a retry: it counts once; else a new one is drawn")
	by := fs.String("by", os.Getenv("USER"), "`note` on who tops up")
	return leafCommand{
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
	}.build("topup")
}

// topUp sends a top-up and prints the budget. If the outcome is unknown, the error
// names the identity with which a retry counts only once.
func (c client) topUp(ctx context.Context, request operator.TopUpRequest) error {
	var row fold.Budget
	err := c.call(ctx, http.MethodPost, "/topups", request, &row)
	var rejected responseError
	var usage usageError
	switch {
	case err == nil:
		return c.printBudgets([]fold.Budget{row})
	case errors.As(err, &rejected), errors.As(err, &usage):
		return err
	default:
		return fmt.Errorf("%w\nThe identity is %s; give it with -id when you retry", err, request.ID)
	}
}

// closeGrantWarning is printed before an operator closes a grant.
const closeGrantWarning = "Close a grant only if its holder and witness are gone for good. If the holder is alive\n" +
	"behind a cut, it may go on spending until it reads the close, above what was prepaid;\n" +
	"what it ran and had not billed yet stays unbilled."

func budgetClose(std stdio) *ffcli.Command {
	fs := newFlagSet("close")
	c := newOperatorClient(std, fs)
	yes := fs.Bool("yes", false, "do not ask, for scripts")
	return leafCommand{
		usage: "guavapier budget close [flags] GRANT", help: "Close a grant whose holder is gone for good.",
		example: "guavapier budget close 2f0c6f0e-54a8-4a5c-9e0f-1a2b3c4d5e6f",
		flags:   fs, args: []string{"GRANT"},
		run: func(ctx context.Context, args []string) error {
			var row fold.Grant
			if err := c.confirmAndClose(ctx, std, *yes, closeGrantWarning, "/grants/"+url.PathEscape(args[0])+"/close", &row); err != nil {
				return err
			}
			return c.print(row, "GRANT\tTOKENS\tBILLED", func(add func(...any)) { add(row.Right, row.Tokens, row.Billed) })
		},
	}.build("close")
}

// confirmAndClose prints the warning, asks for confirmation unless yes is set, and
// closes a right (a grant or a claim shard) by a POST to path. The closed right is
// decoded into row.
func (c client) confirmAndClose(ctx context.Context, std stdio, yes bool, warning, path string, row any) error {
	fmt.Fprintln(std.err, warning)
	if !yes && !confirm(std) {
		return errors.New("nothing was closed")
	}
	return c.call(ctx, http.MethodPost, path, nil, row)
}
