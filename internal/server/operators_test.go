package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"guavapier/internal/metrics"
	"guavapier/internal/operator"
	"guavapier/internal/server"
	"guavapier/internal/session"
	"guavapier/internal/settings"
	"guavapier/internal/standin"
)

const operatorToken = "operator-secret"

// startServer runs an instance with a stand-in for the platform until the test
// ends.
func startServer(t *testing.T) *server.Server {
	t.Helper()
	p := httptest.NewServer(standin.NewPlatform(standin.PlatformOptions{AppendsPerSecond: 300, InstanceTTL: 5 * time.Second}).Handler())
	s := settings.Default()
	const anyPort = "127.0.0.1:0"
	s.Instance = settings.Instance{Name: "a1", Zone: "hall-a", Callers: anyPort, Operators: anyPort, Peers: anyPort}
	s.Platform.URL = p.URL
	secrets := server.Secrets{
		Sessions: session.Keyring{CurrentKeyID: "k1", Keys: map[string][]byte{"k1": []byte("key")}}, Operator: operatorToken,
	}
	srv, err := server.New(s, secrets, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		p.CloseClientConnections()
		p.Close()
	})
	return srv
}

// sendOperatorRequest sends a request with the operators' token. body is nil if the
// response is not a JSON object.
func sendOperatorRequest(t *testing.T, method, url string) (status int, body map[string]json.RawMessage) {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&body) // Ignored: not every response is a JSON object.
	return resp.StatusCode, body
}

func TestMetricsMatchTheCatalogue(t *testing.T) {
	srv := startServer(t)
	status, got := sendOperatorRequest(t, http.MethodGet, "http://"+srv.OperatorsAddr()+"/metrics")
	if status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	var want []string
	for _, m := range metrics.Catalogue() {
		want = append(want, m.Name)
		if m.Unit == "" || m.Help == "" || m.Kind == "" {
			t.Errorf("metric %s lacks its unit, help text or kind", m.Name)
		}
		if _, ok := got[m.Name]; !ok {
			t.Errorf("metric %s is in the catalogue but not published", m.Name)
		}
	}
	for name := range got {
		if !slices.Contains(want, name) {
			t.Errorf("metric %s is published but not in the catalogue", name)
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), metrics.CatalogueTable()) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", metrics.CatalogueTable())
	}
}

func TestStateDumpHasTheTables(t *testing.T) {
	srv := startServer(t)
	_, tables := sendOperatorRequest(t, http.MethodGet, "http://"+srv.OperatorsAddr()+"/state")
	for _, name := range []string{"instance", "applied", "members", "live", "budgets", "config", "streams"} {
		if _, ok := tables[name]; !ok {
			t.Errorf("the state dump lacks the table %s", name)
		}
	}
}

// Callers must not reach any route of the operators' interface, not even with the
// operators' token.
func TestCallersAddressHasNoOperatorsRoute(t *testing.T) {
	srv := startServer(t)
	routes := (&operator.API{Metrics: metrics.New()}).Handler().(chi.Routes)
	walked := 0
	err := chi.Walk(routes, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		walked++
		path := strings.NewReplacer("{team}", "dala", "{name}", "main", "{id}", "x").Replace(route)
		if status, _ := sendOperatorRequest(t, method, "http://"+srv.CallersAddr()+path); status != http.StatusNotFound {
			t.Errorf("%s %s on the callers' address: status %d, want 404", method, path, status)
		}
		return nil
	})
	if err != nil || walked == 0 {
		t.Fatal(err, walked)
	}
}
