package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net/http"
	"os"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapier/internal/config"
	"guavapier/internal/operator"
	"guavapier/internal/record"
)

// secretBytes is the length of a credential's random secret.
const secretBytes = 24

func teamCommand(std stdio) *ffcli.Command {
	return groupCommand("team", "guavapier team create|list", "Create and list teams.", "guavapier team list", teamCreate(std), teamList(std))
}

// createdTeam is the output of team create. It is the only time that the keys are
// shown.
type createdTeam struct {
	Team        string `json:"team"`
	APIKey      string `json:"api_key"`
	OperatorKey string `json:"operator_key"`
	Change      string `json:"change"`
	Offset      uint64 `json:"offset"`
}

func teamCreate(std stdio) *ffcli.Command {
	fs := newFlagSet("create")
	c := newOperatorClient(std, fs)
	by := fs.String("by", os.Getenv("USER"), "`note` on who creates it, for the history")
	return leafCommand{
		usage: "guavapier team create [flags] TEAM", help: "Create a team with an API key and an operator key, and print them once.",
		example: "guavapier team create dala",
		flags:   fs, args: []string{"TEAM"},
		run: func(ctx context.Context, args []string) error {
			if !config.ValidName(args[0]) {
				return usagef("%q is no team's name: letters, digits, dots, dashes, underscores", args[0])
			}
			return c.createTeam(ctx, args[0], *by)
		},
	}.build("create")
}

// createTeam creates a team with a default budget and one key of each kind. It fails
// if the team has any values.
func (c client) createTeam(ctx context.Context, name, by string) error {
	team := record.Team(name)
	if rows, err := c.listValues(ctx, config.TeamPath(team)); err != nil || len(rows) > 0 {
		if err == nil {
			err = fmt.Errorf("team %s already exists", name)
		}
		return err
	}
	created := createdTeam{Team: name, APIKey: newCredential(name), OperatorKey: newCredential(name), Change: uuid.NewString()}
	// The change requires that the default budget's path has no value. Of two
	// operators who create the same team at the same time, only one succeeds.
	request := operator.ChangeRequest{ID: created.Change, By: by, Ops: []record.ChangeOp{
		{Path: config.DefaultBudgetPath(team), Value: "main"},
		{Path: config.APIKeyPath(team, created.APIKey), Value: "first key"},
		{Path: config.OperatorKeyPath(team, created.OperatorKey), Value: "first operator"},
	}}
	var result changeRow
	if err := c.call(ctx, http.MethodPut, "/settings", request, &result); err != nil {
		return err
	}
	created.Offset = result.Offset
	if *c.jsonOutput {
		return c.print(created, "", nil)
	}
	fmt.Fprintf(c.std.out, "team %s created\nAPI key:      %s\noperator key: %s\nThe keys are not shown again.\n", created.Team, created.APIKey, created.OperatorKey)
	return nil
}

// newCredential returns a random credential of the form team:secret.
func newCredential(team string) string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // Never fails; see crypto/rand.
	return team + ":" + base64.RawURLEncoding.EncodeToString(secret)
}

func teamList(std stdio) *ffcli.Command {
	fs := newFlagSet("list")
	c := newOperatorClient(std, fs)
	return leafCommand{
		usage: "guavapier team list [flags]", help: "List the teams.", example: "guavapier team list -json",
		flags: fs,
		run: func(ctx context.Context, _ []string) error {
			var rows []operator.TeamRow
			if err := c.call(ctx, http.MethodGet, "/teams", nil, &rows); err != nil {
				return err
			}
			return c.print(rows, "TEAM\tVALUES", func(add func(...any)) {
				for _, r := range rows {
					add(r.Team, r.Values)
				}
			})
		},
	}.build("list")
}
