package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"guavapier/internal/claim"
	"guavapier/internal/config"
	"guavapier/internal/decide"
	"guavapier/internal/dispatch"
	"guavapier/internal/endpoint"
	"guavapier/internal/fold"
	"guavapier/internal/ledger"
	"guavapier/internal/membudget"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/run"
	"guavapier/internal/session"
	"guavapier/internal/standin"
	"guavapier/internal/upload"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testAPIKey     = "dala:secret"
	testSigningKey = "0123456789abcdef"
)

// unlimitedAccounts implements run.Budgets with a budget that never runs out.
type unlimitedAccounts struct{}

func (unlimitedAccounts) Reserve(_ context.Context, _ record.RequestKey, run record.RunID, _ record.BudgetID, tokens int64) (ledger.Reservation, error) {
	return ledger.Reservation{Run: run, Tokens: tokens}, nil
}

func (unlimitedAccounts) Settle(context.Context, record.BudgetID, ledger.Reservation, int64) error {
	return nil
}

// singleRunClaims implements claim.Claims for a single key: the first request starts a
// run, and later ones join it.
type singleRunClaims struct {
	mu     sync.Mutex
	ticket claim.Ticket
}

func (o *singleRunClaims) Begin(context.Context, claim.Request) (claim.Ticket, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.ticket
	if t.Run == "" {
		t.Run = record.NewRunID()
		o.ticket = t
		return t, nil
	}
	t.Join = true
	return t, nil
}

func (o *singleRunClaims) Place(_ context.Context, _ record.RequestKey, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ticket.Endpoint = name
}

func (o *singleRunClaims) End(_ context.Context, _ record.RequestKey, end claim.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ticket.Outcome = end.Outcome
	if end.Outcome == record.OutcomeNotRun {
		o.ticket = claim.Ticket{}
	}
}

// endpointURLs implements run.EndpointDirectory by a table of URLs.
type endpointURLs map[string]string

func (u endpointURLs) URL(name string) (string, bool) { url, ok := u[name]; return url, ok }

// testServer serves an API whose only endpoint is a stand-in engine.
type testServer struct {
	baseURL      string
	engine       *standin.Engine
	engineServer *httptest.Server // Serves engine.
	sessionKeys  session.Keyring
	limits       *Limits
	api          *API
}

// newTestServer starts an API for the team dala and the model small. Its sockets have
// small send buffers, so that a caller that doesn't read blocks writes soon.
func newTestServer(t *testing.T) *testServer {
	t.Helper()
	f := fold.NewConfig()
	change, err := record.Encode(record.Change{ID: "1", Ops: []record.ChangeOp{{Path: config.APIKeyPath("dala", testAPIKey), Value: "test"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Apply(0, record.Batch{Writer: "w", Seq: 1, Records: []record.Envelope{change}}); err != nil {
		t.Fatal(err)
	}
	s := &testServer{engine: standin.NewEngine(standin.EngineOptions{Model: "small", Step: time.Millisecond, Heartbeat: 20 * time.Millisecond})}
	engine := httptest.NewServer(s.engine.Handler())
	s.engineServer = engine
	dispatcher := dispatch.New()
	dispatcher.Update(func(decider *decide.Decider) {
		decider.SetEndpoints([]decide.Endpoint{{Name: "e1", Models: []string{"small"}, Slots: 8, Weight: 1}})
	})
	opts := endpoint.Options{ConnectTimeout: time.Second, IdleTimeout: 500 * time.Millisecond, ControlTimeout: time.Second, MaxAnswerBytes: 1 << 16}
	var counts endpoint.Counters
	runner := &run.Runner{
		Claims: &singleRunClaims{}, Budgets: unlimitedAccounts{}, Placer: dispatcher, Endpoints: endpointURLs{"e1": engine.URL},
		Engines: endpoint.NewHTTPEngines(opts, &counts), Services: endpoint.NewHTTPServices(opts, &counts),
		Limits:            run.Limits{MaxEndpoints: 2, MaxResumes: 1, ProgressTimeout: 10 * time.Second, LingerTimeout: time.Minute, ControlTimeout: 2 * time.Second},
		OnEndpointLeaving: func(string) {}, OnError: func(err error) { t.Error(err) },
	}
	s.sessionKeys = session.Keyring{CurrentKeyID: "k1", Keys: map[string][]byte{"k1": []byte(testSigningKey)}}
	memory := membudget.New(1 << 20)
	api := &API{
		Uploads: upload.NewLimiter(memory.NewPart(0), memory.NewPart(0), 0, 0),
		Zone:    "hall-a", Config: replica.New(record.ConfigStream, f), SessionKeys: s.sessionKeys, Runner: runner,
		Limits: Limits{
			MaxBodyBytes: 1 << 12, MaxAnswerBytes: 3000, MaxTokens: 100_000, MinPromptBytesPerToken: 2, FirstTokenTimeout: 5 * time.Second,
			ServiceAnswerTimeout: time.Second, BodyReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, HeartbeatInterval: 50 * time.Millisecond,
		},
		IsReady: func() bool { return true },
	}
	s.limits, s.api = &api.Limits, api
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(api.Handler())
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if tcp, ok := conn.(*net.TCPConn); ok && state == http.StateNew {
			_ = tcp.SetWriteBuffer(4 << 10)
		}
	}
	server.Start()
	s.baseURL = server.URL
	t.Cleanup(func() {
		s.engine.SetFaults(standin.EngineFaults{})
		server.Close()
		runner.Close()
		dispatcher.Close()
		engine.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return s
}

// testResponse is a response that was read whole, or the error of the request.
type testResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// request sends a request with the team's API key. header holds names and values in turn
// and may replace the key.
func (s *testServer) request(method, path, body string, header ...string) testResponse {
	req, err := http.NewRequest(method, s.baseURL+path, strings.NewReader(body))
	if err != nil {
		return testResponse{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return testResponse{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
