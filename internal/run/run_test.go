package run

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"guavapier/internal/claim"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTokens  = 40
	testSilence = 200 * time.Millisecond
	testWait    = 5 * time.Second
)

// recordingBudgets is Budgets without a limit. It records what each run is billed.
type recordingBudgets struct {
	mu    sync.Mutex
	bills map[record.RunID][]int64
}

func (b *recordingBudgets) Reserve(_ context.Context, key record.RequestKey, run record.RunID, _ record.BudgetID, tokens int64) (ledger.Reservation, error) {
	return ledger.Reservation{Key: key, Run: run, Tokens: tokens}, nil
}

func (b *recordingBudgets) Settle(_ context.Context, _ record.BudgetID, r ledger.Reservation, used int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bills[r.Run] = append(b.bills[r.Run], used)
	return nil
}

// testBench is a Runner with stand-in endpoints on loopback, the real endpoint
// clients and the real dispatcher.
type testBench struct {
	*Runner
	t                *testing.T
	engines          []*standin.Engine
	services         []*standin.Service
	servers          []*httptest.Server
	urls             map[string]string
	counts           endpoint.Counters
	recordingBudgets *recordingBudgets
	// mu guards leaving, the names passed to OnEndpointLeaving.
	mu      sync.Mutex
	leaving []string
}

// URL implements EndpointDirectory.
func (b *testBench) URL(name string) (string, bool) { url, ok := b.urls[name]; return url, ok }

// Find implements Finder.
func (b *testBench) Find(ctx context.Context, run record.RunID) (string, bool) {
	for _, name := range []string{"e1", "e2"} {
		if _, err := b.Engines.State(ctx, b.urls[name], run); err == nil {
			return name, true
		}
	}
	return "", false
}

// newTestBench starts engines e1, e2 and services s1, s2. Every request is placed
// at e1 or s1 first, because of their weight.
func newTestBench(t *testing.T) *testBench {
	t.Helper()
	b := &testBench{t: t, urls: map[string]string{}, recordingBudgets: &recordingBudgets{bills: map[record.RunID][]int64{}}}
	d := dispatch.New()
	var rows []decide.Endpoint
	for _, name := range []string{"e1", "e2"} {
		e := standin.NewEngine(standin.EngineOptions{Model: "small", Step: 2 * time.Millisecond, Heartbeat: testSilence / 5})
		b.engines = append(b.engines, e)
		rows = append(rows, b.serve(name, e.Handler(), decide.Endpoint{Models: []string{"small"}}))
	}
	for _, name := range []string{"s1", "s2"} {
		s := standin.NewService()
		b.services = append(b.services, s)
		rows = append(rows, b.serve(name, s.Handler(), decide.Endpoint{Service: "rig"}))
	}
	d.Update(func(decider *decide.Decider) { decider.SetEndpoints(rows) })
	opts := endpoint.Options{ConnectTimeout: time.Second, IdleTimeout: testSilence, ControlTimeout: time.Second, MaxAnswerBytes: 1 << 16}
	b.Runner = &Runner{
		Claims: &memoryClaims{rows: map[record.RequestKey]*claimRow{}}, Budgets: b.recordingBudgets, Placer: d, Endpoints: b,
		Engines: endpoint.NewHTTPEngines(opts, &b.counts), Services: endpoint.NewHTTPServices(opts, &b.counts),
		RunFinder: b,
		Limits:    Limits{MaxEndpoints: 2, MaxResumes: 1, ProgressTimeout: 3 * testSilence, LingerTimeout: time.Minute, ControlTimeout: 2 * time.Second},
		OnEndpointLeaving: func(name string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.leaving = append(b.leaving, name)
		},
		OnError: func(err error) { t.Error(err) },
	}
	t.Cleanup(func() {
		b.Close()
		for _, e := range b.engines {
			e.SetFaults(standin.EngineFaults{})
		}
		for _, s := range b.servers {
			s.Close()
		}
		d.Close()
		eventually(t, "engines stop", func() bool {
			for _, e := range b.engines {
				for _, run := range e.Runs() {
					if !run.Done {
						return false
					}
				}
			}
			return true
		})
	})
	return b
}

// serve starts an endpoint's server and returns its row for the dispatcher.
func (b *testBench) serve(name string, h http.Handler, row decide.Endpoint) decide.Endpoint {
	server := httptest.NewServer(h)
	b.servers = append(b.servers, server)
	b.urls[name] = server.URL
	row.Name, row.Slots, row.Weight = name, 16, 1
	if strings.HasSuffix(name, "1") {
		row.Weight = 1e9
	}
	return row
}

// kill ends the endpoint with index n in servers (0 is e1) abruptly: it closes the
// listener and resets all connections, as SIGKILL does.
func (b *testBench) kill(n int) {
	b.servers[n].Listener.Close()
	b.servers[n].CloseClientConnections()
}

// eventually waits up to 10 s for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// newChat returns a chat of testTokens tokens. keyed says that key is the caller's
// own.
func newChat(key string, keyed bool) Chat {
	q := Request{Key: record.RequestKey{Team: "dala", Key: key}, HasCallerKey: keyed, MaxWait: testWait, Priority: decide.PriorityInteractive}
	q.Team.Name = "dala"
	return Chat{Request: q, Model: "small", Messages: []byte(`["hello"]`), PromptTokens: 20, MaxTokens: testTokens}
}

// answerTextOf returns the stand-in's text of the tokens in [from, to).
func answerTextOf(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(standin.TokenText(i))
	}
	return b.String()
}

// callerResult is what a caller received.
type callerResult struct {
	text   string
	result ChatResult
	err    error
}

// chat runs a chat for a caller and calls onToken, unless nil, with the index of
// each token. The caller's sink fails once ctx has ended.
func (b *testBench) chat(ctx context.Context, c Chat, onToken func(int)) callerResult {
	var text strings.Builder
	result, err := b.Chat(ctx, c, func(_ record.RunID, token endpoint.Token) error {
		if onToken != nil {
			onToken(token.Index)
		}
		text.WriteString(token.Text)
		return ctx.Err()
	})
	return callerResult{text: text.String(), result: result, err: err}
}

// billsOf waits for the runner's background work and returns the bills of a run in
// tokens.
func (b *testBench) billsOf(run record.RunID) []int64 {
	b.Close()
	b.recordingBudgets.mu.Lock()
	defer b.recordingBudgets.mu.Unlock()
	return slices.Clone(b.recordingBudgets.bills[run])
}

// generatedTokens returns the number of tokens that each engine generated for a
// run.
func (b *testBench) generatedTokens(run record.RunID) (out []int) {
	for _, e := range b.engines {
		n := 0
		for _, row := range e.Runs() {
			if row.ID == string(run) {
				n = row.CompletionTokens
			}
		}
		out = append(out, n)
	}
	return out
}

// promptTokens is what the stand-in engine reports for the prompt of newChat.
const promptTokens = int64(len(`["hello"]`)/4 + 1)

// failureOf returns the *Failure that err must be.
func failureOf(t *testing.T, err error) Failure {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("got error %v, want a *Failure", err)
	}
	return *f
}

// memoryClaims is claim.Claims in memory, as one holder that is always reachable.
type memoryClaims struct {
	mu   sync.Mutex
	rows map[record.RequestKey]*claimRow
}

// claimRow is one claim and its run.
type claimRow struct {
	digest uint64
	ticket claim.Ticket
	// isIdle says that the runner answers and does not know the run.
	isIdle bool
}

// Begin implements claim.Claims.
func (c *memoryClaims) Begin(_ context.Context, r claim.Request) (claim.Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	existing, ok := c.rows[r.Key]
	if !ok {
		c.rows[r.Key] = &claimRow{digest: r.Digest, ticket: claim.Ticket{Run: record.NewRunID(), Runner: "a1"}}
		return c.rows[r.Key].ticket, nil
	}
	if existing.digest != r.Digest {
		return claim.Ticket{}, claim.ErrKeyReused
	}
	if (existing.ticket.RunnerGone || existing.isIdle) && r.Lost == existing.ticket.Run {
		existing.isIdle = false
		existing.ticket.Runner, existing.ticket.RunnerGone, existing.ticket.Endpoint = "a1", false, ""
		return existing.ticket, nil
	}
	joined := existing.ticket
	joined.Join = true
	return joined, nil
}

// Place implements claim.Claims.
func (c *memoryClaims) Place(_ context.Context, key record.RequestKey, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.rows[key]; ok {
		known.ticket.Endpoint = endpoint
	}
}

// End implements claim.Claims.
func (c *memoryClaims) End(_ context.Context, key record.RequestKey, end claim.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.rows[key]
	if !ok {
		return
	}
	switch end.Outcome {
	case record.OutcomeNotRun:
		delete(c.rows, key)
		return
	case 0:
		known.isIdle = true
		return
	}
	known.ticket.Outcome, known.ticket.Answer = end.Outcome, end.Answer
}
