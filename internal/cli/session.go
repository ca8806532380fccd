package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func sessionCommand(std stdio) *ffcli.Command {
	return groupCommand("session", "guavapier session open|list|show|end", "Open, list and end the sessions of a team, with its API key.",
		"guavapier session open", sessionOpen(std), sessionList(std), sessionShow(std), sessionEnd(std))
}

// sessionRow is a session as the callers' interface returns it. The token is only
// in the response that opens the session.
type sessionRow struct {
	ID    string `json:"id"`
	Token string `json:"token,omitempty"`
	Home  string `json:"home"`
	Ended bool   `json:"ended,omitempty"`
}

func sessionOpen(std stdio) *ffcli.Command {
	fs := newFlagSet("open")
	c := newCallerClient(std, fs)
	return leafCommand{
		usage: "guavapier session open [flags]", help: "Open a session and print its token; -json prints its id as well.",
		example: "guavapier session open -key-file dala.key",
		flags:   fs,
		run: func(ctx context.Context, _ []string) error {
			var row sessionRow
			if err := c.call(ctx, http.MethodPost, "/v1/sessions", nil, &row); err != nil {
				return err
			}
			if *c.jsonOutput {
				return c.print(row, "", nil)
			}
			fmt.Fprintln(std.out, row.Token)
			return nil
		},
	}.build("open")
}

func sessionList(std stdio) *ffcli.Command {
	fs := newFlagSet("list")
	c := newCallerClient(std, fs)
	return leafCommand{
		usage: "guavapier session list [flags]", help: "List the team's open sessions, oldest first.",
		example: "guavapier session list -key-file dala.key",
		flags:   fs,
		run: func(ctx context.Context, _ []string) error {
			var list struct {
				Sessions []sessionRow `json:"sessions"`
			}
			if err := c.call(ctx, http.MethodGet, "/v1/sessions", nil, &list); err != nil {
				return err
			}
			return c.print(list.Sessions, "SESSION\tHOME", func(add func(...any)) {
				for _, row := range list.Sessions {
					add(row.ID, row.Home)
				}
			})
		},
	}.build("list")
}

func sessionShow(std stdio) *ffcli.Command {
	fs := newFlagSet("show")
	c := newCallerClient(std, fs)
	return leafCommand{
		usage: "guavapier session show [flags] SESSION", help: "Say whether a session was ended.",
		example: "guavapier session show 7d3c3a53-6c1b-4f0e-8a53-3f2d6f1f9a10",
		flags:   fs, args: []string{"SESSION"},
		run: func(ctx context.Context, args []string) error {
			var row sessionRow
			if err := c.call(ctx, http.MethodGet, "/v1/sessions/"+url.PathEscape(args[0]), nil, &row); err != nil {
				return err
			}
			return c.print(row, "SESSION\tENDED", func(add func(...any)) { add(row.ID, row.Ended) })
		},
	}.build("show")
}

func sessionEnd(std stdio) *ffcli.Command {
	fs := newFlagSet("end")
	c := newCallerClient(std, fs)
	return leafCommand{
		usage: "guavapier session end [flags] SESSION", help: "End a session for good.",
		example: "guavapier session end 7d3c3a53-6c1b-4f0e-8a53-3f2d6f1f9a10",
		flags:   fs, args: []string{"SESSION"},
		run: func(ctx context.Context, args []string) error {
			if err := c.call(ctx, http.MethodDelete, "/v1/sessions/"+url.PathEscape(args[0]), nil, nil); err != nil {
				return err
			}
			fmt.Fprintln(std.out, "ended "+args[0])
			return nil
		},
	}.build("end")
}
