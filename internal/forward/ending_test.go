package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/forward"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/quarantine"
	"guavapier/internal/record"
	"guavapier/internal/retry"
	"guavapier/internal/route"
	"guavapier/internal/upstream"
)

// plainCodec reads a request that needs tokens.
type plainCodec struct{}

func (plainCodec) Request(r *http.Request) (forward.Request, error) {
	return forward.Request{ID: "r1", Path: r.URL.Path, Host: r.Host, Key: "key", Patience: time.Minute, PromptTokens: 10}, nil
}

func (plainCodec) Attempt(*forward.Request, forward.Attempt) http.Header { return http.Header{} }

func (plainCodec) Reply(int, http.Header) forward.Reply { return forward.Reply{} }

// slowBudgets have the tokens after a wait.
type slowBudgets struct{ wait time.Duration }

func (b slowBudgets) Reserve(context.Context, record.Team, int64) (forward.Reservation, error) {
	time.Sleep(b.wait)
	return reservation{}, nil
}

func (slowBudgets) Explain(record.Team) prepaid.Balance { return prepaid.Balance{} }

// openQuarantine holds nothing.
type openQuarantine struct{}

func (openQuarantine) Admit(context.Context, quarantine.Content) error { return nil }

func (openQuarantine) Broke(context.Context, quarantine.Content, string, string, time.Duration) bool {
	return false
}

func (openQuarantine) Answered(quarantine.Content) {}

type reservation struct{}

func (reservation) Tokens() int64 { return 10 }
func (reservation) Settle(int64)  {}

// draining returns an instance without endpoints that begins to refuse what
// outlasts it in four seconds, and ends in ten.
func draining(wait time.Duration) *forward.Forwarder {
	prepaidTokens := int64(1000)
	config := route.Compile(route.State{
		Routes:        []route.Route{{Name: "reports", Host: "h", Prefix: "/", Backends: []route.Backend{{Service: "s", Weight: 1}}}},
		Services:      []route.Service{{Name: "s"}},
		Organisations: []route.Organisation{{Name: "org", Keys: []string{"key"}, Prepaid: &prepaidTokens}},
	})
	now := time.Now()
	ends := func() time.Time {
		if time.Since(now) < 4*time.Second {
			return time.Time{}
		}
		return now.Add(10 * time.Second)
	}
	return &forward.Forwarder{
		Codec: plainCodec{}, State: func() *route.Config { return config }, Budgets: slowBudgets{wait},
		Endpoints: placement.New(1), Retries: retry.NewLimiter(retry.Budget{}, 1), Quarantine: openQuarantine{}, Pool: upstream.NewPool(upstream.Options{}),
		Clock: func() time.Duration { return time.Since(now) }, SendsAway: func() bool { return true }, Outdated: func() bool { return false }, Ends: ends, Cut: func() bool { return false },
		Log: zerolog.Nop(), Observe: func(forward.Event) {}, Placed: func(*placement.Assignment) {},
	}
}

// A request that waits for tokens has less time afterwards: one that would then be
// cut is refused instead of sent.
func TestInADrainARequestIsAskedAgainAfterItsWaitForTokens(t *testing.T) {
	for _, c := range []struct {
		wait   time.Duration
		reason forward.Reason
	}{{0, forward.ReasonNoEndpoint}, {4500 * time.Millisecond, forward.ReasonEnding}} {
		synctest.Test(t, func(t *testing.T) {
			f := draining(c.wait)
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/", nil))
			if got := strings.TrimSpace(w.Body.String()); w.Code != http.StatusServiceUnavailable || got != string(c.reason) {
				t.Errorf("after %v: %d %q, want %q", c.wait, w.Code, got, c.reason)
			}
			if w.Header().Get("Connection") != "close" || w.Header().Get("Retry-After") == "" {
				t.Errorf("after %v: %v", c.wait, w.Header())
			}
		})
	}
}
