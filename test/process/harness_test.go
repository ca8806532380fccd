package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"guavapier/internal/config"
	"guavapier/internal/record"
)

// binary is the program under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "guavapier")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "guavapier")
	build := exec.Command("go", "build", "-race", "-o", binary, "guavapier/cmd/guavapier")
	build.Stderr = os.Stderr
	code := 1
	if build.Run() == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	operatorToken = "operator-secret"
	sessionKey    = "0123456789abcdef0123456789abcdef"
	waitTimeout   = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// process is a running process of the binary, with its output collected.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}

	mu  sync.Mutex // Guards out.
	out bytes.Buffer
}

// output returns what the process has printed.
func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// startProcess runs the binary and waits until it prints a line that contains
// marker. It returns the process and that line. The process is killed at the end of
// the test.
func startProcess(t *testing.T, marker string, args ...string) (*process, string) {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	reader, writer := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 1)
	go p.scanOutput(reader, marker, lines)
	go func() {
		_ = p.cmd.Wait()
		_ = writer.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		p.saveOutput()
	})
	select {
	case line := <-lines:
		return p, line
	case <-p.exited:
		t.Fatalf("%v exited before it was ready", args)
	case <-time.After(waitTimeout):
		t.Fatalf("%v was not ready before the timeout", args)
	}
	return nil, ""
}

// scanOutput collects the process's output and sends the first line that contains
// marker to lines.
func (p *process) scanOutput(r io.Reader, marker string, lines chan<- string) {
	scanner := bufio.NewScanner(r)
	found := false
	for scanner.Scan() {
		p.mu.Lock()
		p.out.WriteString(scanner.Text() + "\n")
		p.mu.Unlock()
		if !found && strings.Contains(scanner.Text(), marker) {
			found = true
			lines <- scanner.Text()
		}
	}
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// saveOutput writes what the process has printed to the test's artifacts if the test
// has failed; go test keeps them with -artifacts.
func (p *process) saveOutput() {
	if !p.t.Failed() {
		return
	}
	name := fmt.Sprintf("%d-%s.log", p.cmd.Process.Pid, p.cmd.Args[1])
	if err := os.WriteFile(filepath.Join(p.t.ArtifactDir(), name), []byte(p.output()), 0o600); err != nil {
		p.t.Error(err)
	}
}

// kill ends the process, also while it is stopped by SIGSTOP, and waits for its
// exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(os.Kill)
	<-p.exited
}

// exitCode waits for the process to exit by itself and returns its exit code.
func (p *process) exitCode() int {
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatal("process did not exit before the timeout")
	}
	return p.cmd.ProcessState.ExitCode()
}

// startStandin runs a stand-in for a platform, an engine or a service, and returns
// its process and base URL.
func startStandin(t *testing.T, kind string, args ...string) (*process, string) {
	t.Helper()
	const marker = "listening on "
	p, line := startProcess(t, marker, append([]string{"standin", kind, "-listen", "127.0.0.1:0"}, args...)...)
	return p, "http://" + line[strings.Index(line, marker)+len(marker):]
}

// instance is a running instance and the base URLs of its interfaces for callers
// and for operators.
type instance struct {
	*process
	callersURL   string
	operatorsURL string
}

// listenAddresses are the host:port addresses in the log line "server: serving".
type listenAddresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
}

// allInterfaces lists every interface for the setting tls.plain, because the
// stand-ins have no certificates.
const allInterfaces = `"callers", "operators", "peers", "platform", "endpoints"`

// instanceSettings writes the settings file of an instance and the files of its
// secrets, and returns the path of the settings file. extra is TOML appended to the
// settings.
func instanceSettings(t *testing.T, name, zone, platform, extra string) string {
	t.Helper()
	dir := t.TempDir()
	write := func(file, text string) string {
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	text := fmt.Sprintf(`
[instance]
name = %q
zone = %q
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
url = %q
[sessions]
current_key = "k1"
key_files = { k1 = %q }
[operator]
token_file = %q
[tls]
plain = [%s]
%s`, name, zone, platform, write("session.key", sessionKey), write("operator.token", operatorToken), allInterfaces, extra)
	return write("settings.toml", text)
}

// startInstance runs an instance and waits until it is ready. extra is TOML
// appended to its settings.
func startInstance(t *testing.T, name, zone, platform, extra string) *instance {
	t.Helper()
	return startInstanceFromFile(t, name, instanceSettings(t, name, zone, platform, extra))
}

// startInstanceFromFile runs an instance with the given settings file and waits
// until its readiness probe answers 200.
func startInstanceFromFile(t *testing.T, name, settings string) *instance {
	t.Helper()
	p, line := startProcess(t, "server: serving", "serve", "-settings", settings)
	var at listenAddresses
	if err := json.Unmarshal([]byte(line), &at); err != nil {
		t.Fatal(err)
	}
	in := &instance{process: p, callersURL: "http://" + at.Callers, operatorsURL: "http://" + at.Operators}
	eventually(t, name+" ready", func() bool {
		resp, err := http.Get(in.callersURL + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return in
}

// eventually polls ok until it returns true, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// response is an HTTP response with its body read to the end. err is set if there
// was none or reading it failed.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends an HTTP request with a JSON body and a bearer token. headers
// alternates names and values.
func call(method, url, token string, body any, headers ...string) response {
	data, err := json.Marshal(body)
	if err != nil {
		return response{err: err}
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// mustCall is call that fails the test without a response or with a status of 300
// or more.
func mustCall(t *testing.T, method, url, token string, body any, headers ...string) response {
	t.Helper()
	got := call(method, url, token, body, headers...)
	if got.err != nil || got.status >= 300 {
		t.Fatalf("%s %s: status %d, error %v, body %s", method, url, got.status, got.err, got.body)
	}
	return got
}

// seedTeam creates the API key "<team>:secret" for a team, tops up its main budget
// and returns the key.
func seedTeam(t *testing.T, operators, team string, tokens int64) string {
	t.Helper()
	key := team + ":secret"
	mustCall(t, http.MethodPut, operators+"/settings", operatorToken, record.Change{ID: "seed-" + team, By: "test", Ops: []record.ChangeOp{
		{Path: config.APIKeyPath(record.Team(team), key), Value: "test key"},
	}})
	topUp(t, operators, team, "seed", tokens)
	return key
}

// topUp adds tokens to a team's main budget. The id makes retries idempotent.
func topUp(t *testing.T, operators, team, id string, tokens int64) {
	t.Helper()
	mustCall(t, http.MethodPost, operators+"/topups", operatorToken, map[string]any{
		"team": team, "budget": "main", "tokens": tokens, "id": id, "by": "test",
	})
}

// budgetRow holds the totals of a budget, in tokens.
type budgetRow struct {
	Prepaid   int64 `json:"prepaid"`
	Committed int64 `json:"committed"`
	Billed    int64 `json:"billed"`
}

// readBudget returns the token totals of a team's main budget at one instance.
func readBudget(t *testing.T, operators, team string) budgetRow {
	t.Helper()
	var row budgetRow
	got := mustCall(t, http.MethodGet, operators+"/budgets/"+team+"/main", operatorToken, nil)
	if err := json.Unmarshal([]byte(got.body), &row); err != nil {
		t.Fatal(err)
	}
	return row
}

// chatBody returns the body of a chat completion request.
func chatBody(maxTokens int, stream bool) map[string]any {
	return map[string]any{
		"model": "small", "max_tokens": maxTokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": "hello"}},
	}
}

// expectedText returns the stand-in engine's complete answer of n tokens.
func expectedText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// streamText joins the tokens of a streamed answer. complete reports whether the
// closing event was received.
func streamText(body string) (text string, complete bool) {
	var b strings.Builder
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}
