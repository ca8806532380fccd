// Package cli is the command tree.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"guavapier/internal/settings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError is a wrong flag or argument; its text says what would be right.
type usageError struct{ text string }

func (u usageError) Error() string { return u.text }

func usagef(format string, args ...any) error { return usageError{text: fmt.Sprintf(format, args...)} }

// output is where a command writes.
type output struct {
	out, err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	o := output{out: stdout, err: stderr}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := rootCommand(o)
	if err := root.Parse(args); err != nil {
		return exitCode(err, stderr)
	}
	return exitCode(root.Run(ctx), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	var usage usageError
	var findings settings.Findings
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, "guavapier: "+usage.text)
		return exitUsage
	case strings.HasPrefix(err.Error(), "error parsing commandline"):
		fmt.Fprintln(stderr, "guavapier: "+err.Error())
		return exitUsage
	case errors.As(err, &findings):
		fmt.Fprintln(stderr, findings.Error())
		return exitFailure
	default:
		fmt.Fprintln(stderr, "guavapier: "+err.Error())
		return exitFailure
	}
}

func rootCommand(o output) *ffcli.Command {
	fs := newFlagSet("guavapier")
	return &ffcli.Command{
		Name:       "guavapier",
		ShortUsage: "guavapier <command> [flags]",
		ShortHelp:  "A router fleet for prepaid token budgets.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			serveCommand(o),
			checkCommand(o),
			standinCommand(o),
			versionCommand(o),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("no command %q; see guavapier -h", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

func versionCommand(o output) *ffcli.Command {
	return &ffcli.Command{
		Name: "version", ShortUsage: "guavapier version", ShortHelp: "Print the version.",
		FlagSet: newFlagSet("version"),
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(o.out, "guavapier "+version)
			return nil
		},
	}
}

const version = "0.1.0"
