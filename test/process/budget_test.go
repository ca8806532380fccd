package process_test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"guavapier/internal/standin"
)

const (
	prepaidTokens = 1_000_000
	shortAnswer   = 5
	longAnswer    = 400
)

// budgetSite is a site with two instances in one zone and one in another. The
// last one, alone in its zone, is the owner of what its callers draw; its
// witness is one of the others.
type budgetSite struct {
	site
	witnesses []*instance
	holder    *instance
	key       string
	used      int64 // Tokens of the answers that callers got.
}

func startBudgetSite(t *testing.T) *budgetSite {
	t.Helper()
	s := &budgetSite{site: startSite(t)}
	s.witnesses = []*instance{
		startInstance(t, "a1", "hall-a", s.platform, ""),
		startInstance(t, "a2", "hall-a", s.platform, ""),
	}
	s.holder = startInstance(t, "b1", "hall-b", s.platform, "")
	s.key = seedTeam(t, s.witnesses[0].operators, "dala", prepaidTokens)
	for _, in := range append([]*instance{s.holder}, s.witnesses...) {
		eventually(t, "credential in force", func() bool {
			return call(http.MethodPost, in.callers+"/v1/chat/completions", s.key, map[string]any{}).status == http.StatusBadRequest
		})
		eventually(t, "budget known", func() bool {
			return call(http.MethodGet, in.operators+"/budgets/dala/main", operatorToken, nil).status == http.StatusOK
		})
	}
	s.ask(t, s.holder)
	return s
}

// ask sends a short request that must be answered, and counts its tokens.
func (s *budgetSite) ask(t *testing.T, in *instance) {
	t.Helper()
	got := mustCall(t, http.MethodPost, in.callers+"/v1/chat/completions", s.key, chatBody(shortAnswer, false))
	var completion struct {
		Usage struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(got.body), &completion); err != nil {
		t.Fatal(err)
	}
	s.used += completion.Usage.Total
}

// startLong starts a long answer at the holder and returns once it runs.
func (s *budgetSite) startLong(t *testing.T) <-chan answer {
	t.Helper()
	before := generated(t, s.engines)
	got := make(chan answer, 1)
	go func() {
		got <- call(http.MethodPost, s.holder.callers+"/v1/chat/completions", s.key, chatBody(longAnswer, true))
	}()
	eventually(t, "the long answer runs", func() bool { return generated(t, s.engines) > before+10 })
	return got
}

func (s *budgetSite) fault(t *testing.T, f standin.PlatformFaults) {
	t.Helper()
	mustCall(t, http.MethodPut, s.platform+"/faults", "", f)
}

// engineTokens is what the engines count: prompts and answers.
func (s *budgetSite) engineTokens(t *testing.T) int64 {
	t.Helper()
	var sum int64
	for _, engine := range s.engines {
		var runs []standin.EngineRun
		if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, engine+"/runs", "", nil).body), &runs); err != nil {
			t.Fatal(err)
		}
		for _, run := range runs {
			sum += int64(run.PromptTokens + run.CompletionTokens)
		}
	}
	return sum
}

// audit waits until the log has the bills that want asks for, and compares
// them with the engines: nothing ran unbilled, nothing was billed twice, and
// the budget holds.
func (s *budgetSite) audit(t *testing.T, in *instance, want func(budgetRow) bool) budgetRow {
	t.Helper()
	var row budgetRow
	eventually(t, "bills on the log", func() bool {
		row = budget(t, in.operators, "dala")
		return want(row)
	})
	ran := s.engineTokens(t)
	if ran > row.Billed || row.Billed > row.Committed || row.Committed > row.Prepaid {
		t.Fatalf("engines ran %d tokens, billed %d, committed %d, prepaid %d", ran, row.Billed, row.Committed, row.Prepaid)
	}
	return row
}

// exact says that callers' answers are billed, each once.
func (s *budgetSite) exact(row budgetRow) bool { return row.Billed == s.used }

// closed says that every grant has been closed.
func closed(row budgetRow) bool { return row.Billed == row.Committed }

func TestKilledHolderIsBilledOnceAndReturnsItsGrant(t *testing.T) {
	s := startBudgetSite(t)
	got := s.startLong(t)
	s.holder.kill()
	<-got
	row := s.audit(t, s.witnesses[0], closed)
	if most := s.used + longAnswer + 100; row.Billed <= s.used || row.Billed > most {
		t.Fatalf("billed %d, want over %d for the cut-off run and at most %d", row.Billed, s.used, most)
	}
	s.ask(t, s.witnesses[1])
}

func TestFrozenHolderCannotSpendItsSealedGrant(t *testing.T) {
	s := startBudgetSite(t)
	got := s.startLong(t)
	s.holder.signal(syscall.SIGSTOP)
	sealed := s.audit(t, s.witnesses[0], closed)
	s.holder.signal(syscall.SIGCONT)
	select {
	case <-got:
	case <-time.After(waitLimit):
		t.Fatal("no end of the long answer")
	}
	s.used = sealed.Billed
	eventually(t, "the resumed instance serves again", func() bool {
		return call(http.MethodPost, s.holder.callers+"/v1/chat/completions", s.key, map[string]any{}).status == http.StatusBadRequest
	})
	s.ask(t, s.holder)
	s.audit(t, s.witnesses[0], s.exact)
}

func TestBudgetsServeThroughALogOutage(t *testing.T) {
	s := startBudgetSite(t)
	s.fault(t, standin.PlatformFaults{Outage: true})
	for range 5 {
		s.ask(t, s.holder)
	}
	s.fault(t, standin.PlatformFaults{})
	s.audit(t, s.witnesses[0], s.exact)
}

func TestLostAnswersBillOnce(t *testing.T) {
	s := startBudgetSite(t)
	for _, in := range append(s.witnesses, s.holder, s.holder) {
		s.fault(t, standin.PlatformFaults{LoseAnswers: 3})
		s.ask(t, in)
	}
	s.fault(t, standin.PlatformFaults{})
	s.audit(t, s.witnesses[0], s.exact)
}

func TestDrainReturnsEveryGrant(t *testing.T) {
	s := startBudgetSite(t)
	s.holder.signal(syscall.SIGTERM)
	if code := s.holder.exitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	row := s.audit(t, s.witnesses[0], s.exact)
	if !closed(row) {
		t.Fatalf("left %d tokens in grants", row.Committed-row.Billed)
	}
}
