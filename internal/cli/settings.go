package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapier/internal/operator"
)

// valueRow is the value of one path, as the operators' interface returns it, with
// its version and the change that set it. Version 0 is a path without a value.
type valueRow struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
	By      string `json:"by"`
	Change  string `json:"change"`
}

// describeCurrentValue describes a path's value for an operator whose change it
// conflicts with: the value, who set it and by which change.
func (v valueRow) describeCurrentValue() string {
	if v.Version == 0 {
		return "no longer has a value"
	}
	return fmt.Sprintf("is %q, set by %s with change %s (version %d)", v.Value, v.By, v.Change, v.Version)
}

// changeRow is the result of a change, or one entry of the history. Offset is its
// offset in the configuration stream. Lost holds the current values of paths that
// have changed since the base version of the change.
type changeRow struct {
	ID        string     `json:"id"`
	Accepted  bool       `json:"accepted"`
	Verdict   string     `json:"verdict"`
	Offset    uint64     `json:"offset"`
	By        string     `json:"by"`
	UnixMilli int64      `json:"unix_milli"`
	Ops       []opRow    `json:"ops"`
	Lost      []valueRow `json:"lost,omitempty"`
}

// opRow is one operation of a change: it sets a path's value or deletes it.
type opRow struct {
	Path   string `json:"path"`
	Value  string `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

func settingsCommand(std stdio) *ffcli.Command {
	return groupCommand("settings", "guavapier settings get|put|list|history|wait", "Read and change the settings under paths.",
		"guavapier settings list /teams/dala",
		settingsGet(std), settingsPut(std), settingsList(std), settingsHistory(std), settingsWait(std))
}

// listValues returns the values of all paths that are prefix or below it.
func (c client) listValues(ctx context.Context, prefix string) ([]valueRow, error) {
	var rows []valueRow
	err := c.call(ctx, http.MethodGet, "/settings?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

func settingsGet(std stdio) *ffcli.Command {
	fs := newFlagSet("get")
	c := newOperatorClient(std, fs)
	return leafCommand{
		usage: "guavapier settings get [flags] PATH", help: "Print the value at a path.",
		example: "guavapier settings get /teams/dala/default_budget",
		flags:   fs, args: []string{"PATH"},
		run: func(ctx context.Context, args []string) error {
			rows, err := c.listValues(ctx, args[0])
			if err != nil {
				return err
			}
			for _, row := range rows {
				if row.Path != args[0] {
					continue
				}
				if *c.jsonOutput {
					return c.print(row, "", nil)
				}
				fmt.Fprintln(std.out, row.Value)
				return nil
			}
			return fmt.Errorf("there is no value at %s", args[0])
		},
	}.build("get")
}

func settingsList(std stdio) *ffcli.Command {
	fs := newFlagSet("list")
	c := newOperatorClient(std, fs)
	return leafCommand{
		usage: "guavapier settings list [flags] PATH", help: "List the values at and below a path; / for all.",
		example: "guavapier settings list /teams/dala",
		flags:   fs, args: []string{"PATH"},
		run: func(ctx context.Context, args []string) error {
			rows, err := c.listValues(ctx, strings.TrimSuffix(args[0], "/"))
			if err != nil {
				return err
			}
			return c.print(rows, "PATH\tVALUE\tVERSION\tBY", func(add func(...any)) {
				for _, r := range rows {
					add(r.Path, r.Value, r.Version, r.By)
				}
			})
		},
	}.build("list")
}

func settingsHistory(std stdio) *ffcli.Command {
	fs := newFlagSet("history")
	c := newOperatorClient(std, fs)
	limit := fs.Int("limit", 20, "`changes` to show, at most 1000")
	return leafCommand{
		usage: "guavapier settings history [flags] PATH", help: "List the last changes at and below a path; / for all.",
		example: "guavapier settings history -limit 5 /teams/dala",
		flags:   fs, args: []string{"PATH"},
		run: func(ctx context.Context, args []string) error {
			query := url.Values{"prefix": {strings.TrimSuffix(args[0], "/")}, "limit": {fmt.Sprint(*limit)}}
			var rows []changeRow
			if err := c.call(ctx, http.MethodGet, "/history?"+query.Encode(), nil, &rows); err != nil {
				return err
			}
			return c.print(rows, "TIME\tBY\tVERDICT\tCHANGE\tPATH\tVALUE", func(add func(...any)) {
				for _, r := range rows {
					for _, op := range r.Ops {
						add(time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339), r.By, r.Verdict, r.ID, op.Path, op.displayValue())
					}
				}
			})
		},
	}.build("history")
}

// displayValue returns the value for a table of the history.
func (o opRow) displayValue() string {
	if o.Delete {
		return "(deleted)"
	}
	return o.Value
}

func settingsPut(std stdio) *ffcli.Command {
	fs := newFlagSet("put")
	c := newOperatorClient(std, fs)
	p := putOptions{
		file:       fs.String("f", "", "TOML `file` with tables named as the paths: [teams.dala.budgets.main]"),
		deletePath: fs.String("delete", "", "`path` to delete"),
		yes:        fs.Bool("yes", false, "do not ask, for scripts"),
		id:         fs.String("id", "", "`identity` of the change, for a retry; else a new one is drawn"),
		by:         fs.String("by", os.Getenv("USER"), "`note` on who changes, for the history"),
	}
	cmd := leafCommand{
		usage: "guavapier settings put [flags] -f FILE.toml | [flags] PATH VALUE | [flags] -delete PATH",
		help:  "Change settings, all of them or none.",
		example: "guavapier settings put -f dala.toml\n" +
			"guavapier settings put -yes /teams/dala/budgets/main/lean 0.8",
		flags: fs,
	}.build("put")
	cmd.Exec = func(ctx context.Context, args []string) error {
		desired, err := p.desiredValues(args)
		if err != nil {
			return err
		}
		return c.put(ctx, p, desired)
	}
	return cmd
}

// putOptions holds the flags of settings put.
type putOptions struct {
	file, deletePath, id, by *string
	yes                      *bool
}

// desiredValues returns the values and deletions that the command line asks for.
// Exactly one of -f, -delete and two arguments is allowed.
func (p putOptions) desiredValues(args []string) ([]desiredValue, error) {
	switch {
	case *p.file != "" && *p.deletePath == "" && len(args) == 0:
		return readDesiredValues(*p.file)
	case *p.deletePath != "" && *p.file == "" && len(args) == 0:
		return []desiredValue{{path: *p.deletePath, isDelete: true}}, nil
	case len(args) == 2 && *p.file == "" && *p.deletePath == "" && !strings.HasPrefix(args[0], "-"):
		return []desiredValue{{path: args[0], value: args[1]}}, nil
	}
	return nil, usagef("it takes one of -f FILE, -delete PATH, or PATH and VALUE")
}

// put prints the difference from the current values, asks for confirmation unless
// -yes is set, and sends the change. The change is rejected if a value is no longer
// at the version that was shown. If the outcome is unknown, the error names the
// change's identity for a retry.
func (c client) put(ctx context.Context, p putOptions, desired []desiredValue) error {
	request, err := c.prepareChange(ctx, desired)
	if err != nil {
		return err
	}
	if len(request.Ops) == 0 {
		fmt.Fprintln(c.std.out, "Nothing to change.")
		return nil
	}
	if !*p.yes && !confirm(c.std) {
		return errors.New("nothing was changed")
	}
	request.ID, request.By = *p.id, *p.by
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var result changeRow
	err = c.call(ctx, http.MethodPut, "/settings", request, &result)
	var rejected responseError
	if err != nil && !errors.As(err, &rejected) {
		return fmt.Errorf("%w\nThe identity is %s; give it with -id when you retry", err, request.ID)
	}
	if err != nil {
		return err
	}
	if *c.jsonOutput {
		return c.print(result, "", nil)
	}
	fmt.Fprintf(c.std.out, "accepted %s at offset %d\n", result.ID, result.Offset)
	return nil
}

// prepareChange compares the desired with the current values, prints the difference
// unless -json is set, and returns a change of the values that differ.
func (c client) prepareChange(ctx context.Context, desired []desiredValue) (operator.ChangeRequest, error) {
	var request operator.ChangeRequest
	var diff strings.Builder
	for _, d := range desired {
		rows, err := c.listValues(ctx, d.path)
		if err != nil {
			return request, err
		}
		op, opDiff, changed := d.diff(rows)
		if changed {
			request.Ops = append(request.Ops, op)
			diff.WriteString(opDiff)
		}
	}
	if !*c.jsonOutput {
		fmt.Fprint(c.std.out, diff.String())
	}
	return request, nil
}

// confirm asks on standard output and reports whether the answer read from standard
// input is yes.
func confirm(std stdio) bool {
	fmt.Fprint(std.out, "Change this? [y/N] ")
	line, _ := bufio.NewReader(std.in).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
