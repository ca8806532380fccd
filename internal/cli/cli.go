// Package cli implements the commands of the guavapier binary.
//
// Results go to stdout, as text for people or with -json as JSON for programs.
// Errors go to stderr. The exit code is 0 if the command succeeded, 1 if it
// failed, and 2 for an invalid flag or argument, which is reported in one line.
package cli

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapier/internal/settings"
)

// Exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitUnreadable is the code of a check whose input can't be read.
	exitUnreadable = 2
)

// exitError ends a command with an exit code of its own. The text goes to stderr unless it is
// empty.
type exitError struct {
	code int
	text string
}

func (e exitError) Error() string { return e.text }

// envPrefix begins the name of the environment variable that sets a flag:
// GUAVAPIER_TOKEN_FILE sets -token-file.
const envPrefix = "GUAVAPIER"

// usageError reports an invalid flag or argument. Its text says what is allowed.
type usageError struct{ text string }

func (u usageError) Error() string { return u.text }

func usagef(format string, args ...any) error { return usageError{text: fmt.Sprintf(format, args...)} }

// stdio holds the standard streams of a command.
type stdio struct {
	in       io.Reader
	out, err io.Writer
}

// Main runs the command that args name, without the program's name, and returns
// the exit code. SIGINT and SIGTERM cancel the command's context.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	std := stdio{in: stdin, out: stdout, err: stderr}
	// The signals are never released: a further one during an orderly exit would kill
	// the process by its default action, which would look like a failure.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	root := rootCommand(std)
	command := findCommand(root, args)
	if err := root.Parse(args); err != nil {
		return std.handleError(command, asUsageError(command, err))
	}
	return std.handleError(command, root.Run(ctx))
}

var invalidFlagValue = regexp.MustCompile(`for flag -([a-z-]+)`)

// asUsageError converts an error of the flag package to a usageError that names
// the allowed flags or shows a valid value. It returns flag.ErrHelp unchanged.
func asUsageError(command *ffcli.Command, err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	text := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	if name, undefined := strings.CutPrefix(text, "flag provided but not defined: "); undefined {
		return usagef("there is no flag %s, only %s", name, flagNames(command))
	}
	if m := invalidFlagValue.FindStringSubmatch(text); m != nil {
		if f := command.FlagSet.Lookup(m[1]); f != nil && f.DefValue != "" {
			return usagef("%s; allowed: a value like %s", text, f.DefValue)
		}
	}
	return usageError{text: text}
}

func flagNames(command *ffcli.Command) string {
	names := []string{"-h"}
	command.FlagSet.VisitAll(func(f *flag.Flag) { names = append(names, "-"+f.Name) })
	return strings.Join(names, ", ")
}

func (std stdio) handleError(command *ffcli.Command, err error) int {
	var usage usageError
	var findings settings.Findings
	var exit exitError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprintln(std.out, ffcli.DefaultUsageFunc(command))
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(std.err, "guavapier: %s; usage: %s\n", usage.text, command.ShortUsage)
		return exitUsage
	case errors.As(err, &exit):
		if exit.text != "" {
			fmt.Fprintln(std.err, "guavapier: "+exit.text)
		}
		return exit.code
	case errors.As(err, &findings):
		fmt.Fprintln(std.err, findings.Error())
		return exitFailure
	default:
		fmt.Fprintln(std.err, "guavapier: "+err.Error())
		return exitFailure
	}
}

// findCommand returns the deepest command that the leading words of args name,
// skipping flags.
func findCommand(root *ffcli.Command, args []string) *ffcli.Command {
	for _, arg := range args {
		for _, sub := range root.Subcommands {
			if strings.EqualFold(sub.Name, arg) {
				return findCommand(sub, args[1:])
			}
		}
		if !strings.HasPrefix(arg, "-") {
			break
		}
		args = args[1:]
	}
	return root
}

func rootCommand(std stdio) *ffcli.Command {
	return groupCommand("guavapier", "guavapier <command> [flags]", "A router fleet for prepaid token budgets.",
		"guavapier serve -standalone",
		serveCommand(std),
		checkCommand(std),
		checkConfigCommand(std),
		explainCommand(std),
		reportCommand(std),
		settingsCommand(std),
		teamCommand(std),
		budgetCommand(std),
		shardCommand(std),
		sessionCommand(std),
		stateCommand(std),
		standinCommand(std),
		loadCommand(std),
		versionCommand(std),
	)
}

// groupCommand returns a command that has subcommands and does nothing itself.
func groupCommand(name, usage, help, example string, subs ...*ffcli.Command) *ffcli.Command {
	names := make([]string, len(subs))
	for i, sub := range subs {
		names[i] = sub.Name
	}
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, LongHelp: formatExample(example),
		FlagSet: newFlagSet(name), Subcommands: subs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("a command is missing, one of %s", strings.Join(names, ", "))
			}
			return usagef("there is no command %q, only %s", args[0], strings.Join(names, ", "))
		},
	}
}

// leafCommand describes a command without subcommands.
type leafCommand struct {
	usage, help, example string
	flags                *flag.FlagSet
	// args names the command's arguments, all of which are required.
	args []string
	run  func(ctx context.Context, args []string) error
}

// build returns the ffcli command. Its name is the last word of usage before flags
// and arguments.
func (l leafCommand) build(name string) *ffcli.Command {
	if l.flags == nil {
		l.flags = newFlagSet(name)
	}
	return &ffcli.Command{
		Name: name, ShortUsage: l.usage, ShortHelp: l.help, LongHelp: formatExample(l.example),
		FlagSet: l.flags, Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if err := checkArgs(l.args, args); err != nil {
				return err
			}
			return l.run(ctx, args)
		},
	}
}

// checkArgs returns a usageError if the number of arguments is wrong or a flag
// follows an argument, where the flag package does not parse it.
func checkArgs(want, got []string) error {
	for _, arg := range got {
		if len(arg) > 1 && strings.HasPrefix(arg, "-") {
			return usagef("flag %s stands after an argument; put flags first", arg)
		}
	}
	if len(got) != len(want) {
		return usagef("it takes %s, got %q", cmp.Or(strings.Join(want, " "), "no arguments"), got)
	}
	return nil
}

func formatExample(example string) string {
	return "EXAMPLE\n  " + strings.ReplaceAll(example, "\n", "\n  ")
}

func newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard) // Main prints usage errors and help.
	return fs
}

func versionCommand(std stdio) *ffcli.Command {
	return leafCommand{
		usage: "guavapier version", help: "Print the version.", example: "guavapier version",
		run: func(context.Context, []string) error {
			fmt.Fprintln(std.out, "guavapier "+version)
			return nil
		},
	}.build("version")
}

const version = "0.1.0"
