package cli

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func stateCommand(std stdio) *ffcli.Command {
	fs := newFlagSet("state")
	c := newOperatorClient(std, fs)
	table := fs.String("table", "", "`name` of the only table to print")
	return leafCommand{
		usage: "guavapier state [flags] ADDR", help: "Print every table of an instance as JSON; ADDR is its operators' address.",
		example: "guavapier state -table budgets 127.0.0.1:8081",
		flags:   fs, args: []string{"ADDR"},
		run: func(ctx context.Context, args []string) error {
			*c.addr, *c.jsonOutput = args[0], true
			var tables map[string]json.RawMessage
			if err := c.call(ctx, http.MethodGet, "/state", nil, &tables); err != nil {
				return err
			}
			if *table == "" {
				return c.print(tables, "", nil)
			}
			rows, ok := tables[*table]
			if !ok {
				return usagef("there is no table %q; leave -table out to see all", *table)
			}
			return c.print(rows, "", nil)
		},
	}.build("state")
}
