package cli

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func runCommand(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, strings.NewReader(stdin), &out, &err)
	return code, out.String(), err.String()
}

// Each case in testdata/usage is a command line with its expected stdout, exit
// code and stderr.
func TestCommandLines(t *testing.T) {
	t.Setenv(tokenEnvVar, "")
	t.Setenv(keyEnvVar, "")
	datadriven.RunTest(t, "testdata/usage", func(_ *testing.T, d *datadriven.TestData) string {
		code, stdout, stderr := runCommand("", strings.Fields(d.Input)...)
		return fmt.Sprintf("%sexit %d\n%s", stdout, code, stderr)
	})
}

// walkCommands calls visit for c and all commands below it, with the words that
// name each on the command line.
func walkCommands(c *ffcli.Command, words []string, visit func(c *ffcli.Command, words []string)) {
	visit(c, words)
	for _, sub := range c.Subcommands {
		walkCommands(sub, append(words[:len(words):len(words)], sub.Name), visit)
	}
}

func TestEveryCommandHasHelpExampleAndUsageErrors(t *testing.T) {
	root := rootCommand(stdio{out: io.Discard, err: io.Discard})
	walkCommands(root, nil, func(c *ffcli.Command, words []string) {
		name := strings.Join(append([]string{"guavapier"}, words...), " ")
		code, stdout, stderr := runCommand("", append(words[:len(words):len(words)], "-h")...)
		if code != exitOK || stderr != "" || !strings.Contains(stdout, c.ShortHelp) {
			t.Errorf("%s -h: exit %d, stderr %q, stdout %q", name, code, stderr, stdout)
		}
		examples := strings.Split(strings.TrimPrefix(c.LongHelp, "EXAMPLE\n"), "\n")
		for _, example := range examples {
			checkExample(t, name, strings.TrimSpace(example))
		}
		for _, wrong := range []string{"-no-such-flag", "surplus a b c d"} {
			code, stdout, stderr := runCommand("", append(words[:len(words):len(words)], strings.Fields(wrong)...)...)
			if code != exitUsage || stdout != "" || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "usage: "+c.ShortUsage) {
				t.Errorf("%s %s: exit %d, stdout %q, stderr %q", name, wrong, code, stdout, stderr)
			}
		}
	})
}

// checkExample checks that the example begins with the command's name and parses.
// It does not run the example.
func checkExample(t *testing.T, name, example string) {
	t.Helper()
	if !strings.HasPrefix(example+" ", name+" ") {
		t.Errorf("%s: example %q does not begin with the command's name", name, example)
		return
	}
	fresh := rootCommand(stdio{out: io.Discard, err: io.Discard})
	if err := fresh.Parse(strings.Fields(example)[1:]); err != nil {
		t.Errorf("%s: example %q does not parse: %v", name, example, err)
	}
}

func TestStandaloneSaysThatAPortIsTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	code, _, stderr := runCommand("", "serve", "-standalone", "-callers", l.Addr().String())
	if code != exitFailure || !strings.Contains(stderr, l.Addr().String()) || !strings.Contains(stderr, "another address") {
		t.Errorf("exit code %d, stderr %q; want the address in use and the advice to give another", code, stderr)
	}
}

func TestAValuesFileIsFlattenedToPaths(t *testing.T) {
	file := t.TempDir() + "/f.toml"
	text := "[teams.dala]\ndefault_budget = \"main\"\n[teams.dala.budgets.main]\nlean = 0.5\n[fleet.engines.e1]\nslots = 8\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readDesiredValues(file)
	want := "[{/fleet/engines/e1/slots 8 false} {/teams/dala/budgets/main/lean 0.5 false} {/teams/dala/default_budget main false}]"
	if err != nil || fmt.Sprint(got) != want {
		t.Errorf("values %v, error %v; want %s", got, err, want)
	}
}
