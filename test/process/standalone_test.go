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
	"time"
)

var (
	curlURL    = regexp.MustCompile(`curl -s\S* (http://\S+)`)
	curlHeader = regexp.MustCompile(`-H '([^']*)'`)
	curlBody   = regexp.MustCompile(`-d '([^']*)'`)
)

// startStandalone runs "serve --standalone" and returns the process and the curl
// commands that it prints.
func startStandalone(t *testing.T) (*exec.Cmd, []string) {
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
			return cmd, commands
		}
	}
	t.Fatalf("the output ended before the list of commands was complete: %q", commands)
	return nil, nil
}

func TestStandalonePrintsCommandsThatWork(t *testing.T) {
	cmd, commands := startStandalone(t)
	const want = 4 // A non-streaming answer, a stream, a service call, the budget.
	if len(commands) != want {
		t.Fatalf("%d commands printed: %q", len(commands), commands)
	}
	for _, command := range commands {
		if body := runCurl(t, command); strings.Contains(command, `"stream":true`) {
			if _, complete := streamText(body); !complete {
				t.Errorf("%s: %s", command, body)
			}
		} else if !json.Valid([]byte(body)) {
			t.Errorf("%s: %s", command, body)
		}
	}
	// The process holds grants at this point. One SIGINT must still end it.
	ended := make(chan error, 1)
	_ = cmd.Process.Signal(os.Interrupt)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("exit after SIGINT: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process did not exit after SIGINT before the timeout")
	}
}

// runCurl sends the request of a printed curl command and returns the response
// body.
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
