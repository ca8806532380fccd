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

// books is Accounts that only writes down.
type books struct {
	mu    sync.Mutex
	bills map[record.RunID][]int64
}

func (b *books) Reserve(_ context.Context, key record.RequestKey, run record.RunID, _ record.BudgetID, tokens int64) (ledger.Reservation, error) {
	return ledger.Reservation{Key: key, Run: run, Tokens: tokens}, nil
}

func (b *books) Settle(_ context.Context, _ record.BudgetID, r ledger.Reservation, used int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bills[r.Run] = append(b.bills[r.Run], used)
	return nil
}

// bench is a runner in front of stand-ins on loopback, with the real clients
// and the real dispatcher.
type bench struct {
	*Runner
	t        *testing.T
	engines  []*standin.Engine
	services []*standin.Service
	servers  []*httptest.Server
	urls     map[string]string
	counts   endpoint.Counts
	books    *books
	// mu guards left, the endpoints that were told to be leaving.
	mu   sync.Mutex
	left []string
}

// URL implements Endpoints.
func (b *bench) URL(name string) (string, bool) { url, ok := b.urls[name]; return url, ok }

// Find implements Finder.
func (b *bench) Find(ctx context.Context, run record.RunID) (string, bool) {
	for _, name := range []string{"e1", "e2"} {
		if _, err := b.Engines.State(ctx, b.urls[name], run); err == nil {
			return name, true
		}
	}
	return "", false
}

// newBench starts engines e1, e2 and services s1, s2, the first of each first
// in line, since every session is placed there.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, urls: map[string]string{}, books: &books{bills: map[record.RunID][]int64{}}}
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
	opts := endpoint.Options{Connect: time.Second, Silence: testSilence, Control: time.Second, AnswerBytes: 1 << 16}
	b.Runner = &Runner{
		Claims: &table{rows: map[record.RequestKey]*row{}}, Accounts: b.books, Placer: d, Endpoints: b,
		Engines: endpoint.NewHTTPEngines(opts, &b.counts), Services: endpoint.NewHTTPServices(opts, &b.counts),
		Finder: b,
		Limits: Limits{Endpoints: 2, Resumes: 1, Progress: 3 * testSilence, Linger: time.Minute, Control: 2 * time.Second},
		Leaving: func(name string) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.left = append(b.left, name)
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

func (b *bench) serve(name string, h http.Handler, row decide.Endpoint) decide.Endpoint {
	server := httptest.NewServer(h)
	b.servers = append(b.servers, server)
	b.urls[name] = server.URL
	row.Name, row.Slots, row.Weight = name, 16, 1
	if strings.HasSuffix(name, "1") {
		row.Weight = 1e9
	}
	return row
}

// kill ends an endpoint as SIGKILL does.
func (b *bench) kill(n int) {
	b.servers[n].Listener.Close()
	b.servers[n].CloseClientConnections()
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func chatOf(key string, keyed bool) Chat {
	q := Request{Key: record.RequestKey{Team: "dala", Key: key}, Keyed: keyed, Wait: testWait, Priority: decide.PriorityInteractive}
	q.Team.Name = "dala"
	return Chat{Request: q, Model: "small", Messages: []byte(`["hello"]`), PromptTokens: 20, MaxTokens: testTokens}
}

func textOf(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(standin.TokenText(i))
	}
	return b.String()
}

// told is what a caller got. at is called with each token's index.
type told struct {
	text   string
	result ChatResult
	err    error
}

func (b *bench) ask(ctx context.Context, c Chat, at func(int)) told {
	var text strings.Builder
	result, err := b.Chat(ctx, c, func(_ record.RunID, token endpoint.Token) error {
		if at != nil {
			at(token.Index)
		}
		text.WriteString(token.Text)
		return ctx.Err()
	})
	return told{text: text.String(), result: result, err: err}
}

// billed waits for the background work and returns the bills of a run.
func (b *bench) billed(run record.RunID) []int64 {
	b.Close()
	b.books.mu.Lock()
	defer b.books.mu.Unlock()
	return slices.Clone(b.books.bills[run])
}

// generated returns what each engine generated for a run.
func (b *bench) generated(run record.RunID) (out []int) {
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

const promptTokens = int64(len(`["hello"]`)/4 + 1)

func failureOf(t *testing.T, err error) Failure {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("no failure: %v", err)
	}
	return *f
}

// table is Claims in one instance's memory.
type table struct {
	mu   sync.Mutex
	rows map[record.RequestKey]*row
}

type row struct {
	digest uint64
	ticket claim.Ticket
}

// Begin implements claim.Claims.
func (c *table) Begin(_ context.Context, r claim.Request) (claim.Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.rows[r.Key]
	if !ok {
		c.rows[r.Key] = &row{digest: r.Digest, ticket: claim.Ticket{Run: record.NewRunID(), Runner: "a1"}}
		return c.rows[r.Key].ticket, nil
	}
	if known.digest != r.Digest {
		return claim.Ticket{}, claim.ErrKeyReused
	}
	if known.ticket.RunnerGone && r.Lost == known.ticket.Run {
		known.ticket.Runner, known.ticket.RunnerGone, known.ticket.Endpoint = "a1", false, ""
		return known.ticket, nil
	}
	joined := known.ticket
	joined.Join = true
	return joined, nil
}

// Place implements claim.Claims.
func (c *table) Place(_ context.Context, key record.RequestKey, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.rows[key]; ok {
		known.ticket.Endpoint = endpoint
	}
}

// End implements claim.Claims.
func (c *table) End(_ context.Context, key record.RequestKey, end claim.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.rows[key]
	if !ok {
		return
	}
	if end.Outcome == record.OutcomeNotRun {
		delete(c.rows, key)
		return
	}
	known.ticket.Outcome, known.ticket.Answer = end.Outcome, end.Answer
}
