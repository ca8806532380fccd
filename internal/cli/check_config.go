package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"guavapier/internal/configcheck"
	"guavapier/internal/gateway"
	"guavapier/internal/logstore"
	"guavapier/internal/route"
	"guavapier/internal/settings"
	"guavapier/platform"
)

// inForceTimeout bounds the read of the version in force from the platform's store.
const inForceTimeout = 5 * time.Second

// configReport is the result of checking a desired state. Its JSON form is what -json prints.
type configReport struct {
	File        string                   `json:"file"`
	Version     int64                    `json:"version"`
	Findings    []configcheck.Finding    `json:"findings"`
	Against     string                   `json:"against,omitempty"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

func checkConfigCommand(std stdio) *ffcli.Command {
	flags := newFlagSet("check-config")
	against := flags.String("against", "", "version in force: a `FILE`, or the URL of the platform's store")
	settingsFile := flags.String("settings", "", "settings `file` of an instance, for its memory; the default is not to check against it")
	asJSON := flags.Bool("json", false, "print JSON")
	return leafCommand{
		usage: "guavapier check-config [flags] FILE",
		help: "Check a desired state before it is published: errors, entries that never match, limits that contradict\n" +
			"each other, and what differs from the version in force. The exit code is 0, 1 if there are findings, or 2 if\n" +
			"a file can't be read.",
		example: "guavapier check-config -against http://127.0.0.1:9000 desired-state.json",
		flags:   flags,
		args:    []string{"FILE"},
		run: func(ctx context.Context, args []string) error {
			report, err := checkConfig(ctx, args[0], *against, *settingsFile)
			if err != nil {
				return exitError{exitUnreadable, err.Error()}
			}
			return report.print(std, *asJSON)
		},
	}.build("check-config")
}

// checkConfig checks the desired state in a file. It fails if one of the inputs can't be read.
func checkConfig(ctx context.Context, file, against, settingsFile string) (configReport, error) {
	next, err := readDesiredState(file)
	if err != nil {
		return configReport{}, err
	}
	instance, err := instanceOf(settingsFile)
	if err != nil {
		return configReport{}, err
	}
	report := configReport{File: file, Version: next.Version, Findings: configcheck.Check(next, instance), Against: against}
	if against == "" {
		return report, nil
	}
	inForce, err := readInForce(ctx, against)
	if err != nil {
		return configReport{}, err
	}
	differences, findings := configcheck.Compare(inForce, next)
	report.Differences, report.Findings = differences, append(report.Findings, findings...)
	return report, nil
}

// instanceOf returns what the check needs of an instance with this settings file; "" for none.
func instanceOf(settingsFile string) (configcheck.Instance, error) {
	instance := configcheck.Instance{MaxHeaderBytes: gateway.MaxHeaderBytes}
	if settingsFile == "" {
		return instance, nil
	}
	s, err := settings.LoadGateway(settingsFile)
	if err != nil {
		return instance, err
	}
	instance.MemoryBytes = s.Gateway.MemoryMB << 20
	return instance, nil
}

// readInForce reads the desired state in force from a file or the platform's store.
func readInForce(ctx context.Context, from string) (route.DesiredState, error) {
	if !strings.HasPrefix(from, "http://") {
		return readDesiredState(from)
	}
	base, err := url.Parse(from)
	if err != nil {
		return route.DesiredState{}, eris.Wrapf(err, "cli: -against %q", from)
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	page, err := platform.NewStore(base.Host, inForceTimeout).Newest(ctx, logstore.TopicState)
	if err != nil {
		return route.DesiredState{}, eris.Wrapf(err, "cli: read the version in force from %s", from)
	}
	for _, r := range page.Records {
		if r.Key == logstore.StateKey && r.Value != nil {
			return platform.DecodeState(r.Value)
		}
	}
	return route.DesiredState{}, eris.Errorf("cli: the store at %s has no desired state", from)
}

// readDesiredState reads a desired state from a file. The error names the line and column of what
// can't be read.
func readDesiredState(file string) (route.DesiredState, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return route.DesiredState{}, eris.Wrap(err, "cli: read the desired state")
	}
	state, err := platform.DecodeState(text)
	if err != nil {
		return route.DesiredState{}, eris.Errorf("%s: %s", locateJSONError(file, text, err), err)
	}
	return state, nil
}

// locateJSONError returns the place of a JSON error as file:line:column and key, as far as the
// error tells it.
func locateJSONError(file string, text []byte, err error) string {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	var offset int64
	key := ""
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &mistyped):
		offset, key = mistyped.Offset, ": "+mistyped.Field
	default:
		return file
	}
	before := text[:min(max(offset, 0), int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("%s:%d:%d%s", file, line, max(column, 1), key)
}

// print prints the report. The error tells that there are findings.
func (r configReport) print(std stdio, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(std.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return eris.Wrap(err, "cli: print the report")
		}
	} else {
		r.printText(std)
	}
	if len(r.Findings) > 0 {
		return exitError{code: exitFailure}
	}
	return nil
}

// printText prints a line for each finding and difference.
func (r configReport) printText(std stdio) {
	for _, f := range r.Findings {
		fmt.Fprintln(std.out, f)
	}
	if r.Against != "" {
		fmt.Fprintf(std.out, "%d differences from the version in force\n", len(r.Differences))
	}
	for _, d := range r.Differences {
		fmt.Fprintln(std.out, d)
	}
	fmt.Fprintf(std.out, "%s: version %d, %d findings\n", r.File, r.Version, len(r.Findings))
}
