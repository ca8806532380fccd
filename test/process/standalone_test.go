package process_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

var (
	curlURL    = regexp.MustCompile(`curl -s\S* (http://\S+)`)
	curlHeader = regexp.MustCompile(`-H '([^']*)'`)
	curlBody   = regexp.MustCompile(`-d '([^']*)'`)
)

// startStandalone returns the curl commands that a standalone run prints.
func startStandalone(t *testing.T) []string {
	t.Helper()
	cmd := exec.Command(binary, "serve", "--standalone")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(os.Kill)
		_ = cmd.Wait()
	})
	var commands []string
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		switch {
		case strings.HasPrefix(line, "curl "):
			commands = append(commands, line)
		case len(commands) > 0 && line != "":
			commands[len(commands)-1] += " " + line
		}
		if strings.Contains(line, "/budgets/") {
			return commands
		}
	}
	t.Fatalf("no whole list of commands: %q", commands)
	return nil
}

func TestStandalonePrintsCommandsThatWork(t *testing.T) {
	commands := startStandalone(t)
	const want = 4 // A whole answer, a stream, a service call, the budget.
	if len(commands) != want {
		t.Fatalf("%d commands: %q", len(commands), commands)
	}
	for _, command := range commands {
		if body := runCurl(t, command); strings.Contains(command, `"stream":true`) {
			if _, whole := streamText(body); !whole {
				t.Errorf("%s: %s", command, body)
			}
		} else if !json.Valid([]byte(body)) {
			t.Errorf("%s: %s", command, body)
		}
	}
}

// runCurl does what a printed curl command would.
func runCurl(t *testing.T, command string) string {
	t.Helper()
	url := curlURL.FindStringSubmatch(command)
	if url == nil {
		t.Fatalf("no URL in %s", command)
	}
	headers := []string{}
	for _, m := range curlHeader.FindAllStringSubmatch(command, -1) {
		name, value, _ := strings.Cut(m[1], ": ")
		headers = append(headers, name, value)
	}
	method, body := http.MethodGet, any(nil)
	if m := curlBody.FindStringSubmatch(command); m != nil {
		method, body = http.MethodPost, json.RawMessage(m[1])
	}
	return mustCall(t, method, url[1], "", body, headers...).body
}
