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
	prepaidTokens     = 1_000_000
	shortAnswerTokens = 5
	longAnswerTokens  = 400
)

// budgetSite is a site with two instances in one zone and one in another. The
// last one, alone in its zone, is the owner of what its callers draw; its
// witness is one of the others.
type budgetDeployment struct {
	deployment
	witnesses  []*instance
	holder     *instance
	key        string
	usedTokens int64 // Tokens of the answers that callers got.
}

func startBudgetDeployment(t *testing.T) *budgetDeployment {
	t.Helper()
	s := &budgetDeployment{deployment: startDeployment(t)}
	s.witnesses = []*instance{
		startInstance(t, "a1", "hall-a", s.platform, ""),
		startInstance(t, "a2", "hall-a", s.platform, ""),
	}
	s.holder = startInstance(t, "b1", "hall-b", s.platform, "")
	s.key = seedTeam(t, s.witnesses[0].operatorsURL, "dala", prepaidTokens)
	for _, in := range append([]*instance{s.holder}, s.witnesses...) {
		eventually(t, "credential in force", func() bool {
			return call(http.MethodPost, in.callersURL+"/v1/chat/completions", s.key, map[string]any{}).status == http.StatusBadRequest
		})
		eventually(t, "budget known", func() bool {
			return call(http.MethodGet, in.operatorsURL+"/budgets/dala/main", operatorToken, nil).status == http.StatusOK
		})
	}
	s.sendShortRequest(t, s.holder)
	return s
}

// ask sends a short request that must be answered, and counts its tokens.
func (s *budgetDeployment) sendShortRequest(t *testing.T, in *instance) {
	t.Helper()
	got := mustCall(t, http.MethodPost, in.callersURL+"/v1/chat/completions", s.key, chatBody(shortAnswerTokens, false))
	var completion struct {
		Usage struct {
			Total int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(got.body), &completion); err != nil {
		t.Fatal(err)
	}
	s.usedTokens += completion.Usage.Total
}

// startLong starts a long answer at the holder and returns once it runs.
func (s *budgetDeployment) startLongRequest(t *testing.T) <-chan response {
	t.Helper()
	before := generatedTokens(t, s.engines)
	got := make(chan response, 1)
	go func() {
		got <- call(http.MethodPost, s.holder.callersURL+"/v1/chat/completions", s.key, chatBody(longAnswerTokens, true))
	}()
	eventually(t, "the long answer runs", func() bool { return generatedTokens(t, s.engines) > before+10 })
	return got
}

func (s *budgetDeployment) setPlatformFaults(t *testing.T, f standin.PlatformFaults) {
	t.Helper()
	mustCall(t, http.MethodPut, s.platform+"/faults", "", f)
}

// engineTokens is what the engines count: prompts and answers.
func (s *budgetDeployment) engineTokens(t *testing.T) int64 {
	t.Helper()
	var sum int64
	for _, engine := range s.engines {
		var runs []standin.EngineRun
		if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, engine+"/runs", "", nil).body), &runs); err != nil {
			t.Fatal(err)
		}
		for _, run := range runs {
			sum += int64(run.Prompt + run.Completion)
		}
	}
	return sum
}

// audit waits until the log has the bills that want asks for, and compares
// them with the engines: nothing ran unbilled, nothing was billed twice, and
// the budget holds.
func (s *budgetDeployment) awaitBilling(t *testing.T, in *instance, want func(budgetRow) bool) budgetRow {
	t.Helper()
	var row budgetRow
	eventually(t, "bills on the log", func() bool {
		row = readBudget(t, in.operatorsURL, "dala")
		return want(row)
	})
	ran := s.engineTokens(t)
	if ran > row.Billed || row.Billed > row.Committed || row.Committed > row.Prepaid {
		t.Fatalf("engines ran %d tokens, billed %d, committed %d, prepaid %d", ran, row.Billed, row.Committed, row.Prepaid)
	}
	return row
}

// exact says that callers' answers are billed, each once.
func (s *budgetDeployment) allAnswersBilled(row budgetRow) bool { return row.Billed == s.usedTokens }

// closed says that every grant has been closed.
func allGrantsClosed(row budgetRow) bool { return row.Billed == row.Committed }

func TestKilledHolderIsBilledOnceAndReturnsItsGrant(t *testing.T) {
	s := startBudgetDeployment(t)
	got := s.startLongRequest(t)
	s.holder.kill()
	<-got
	row := s.awaitBilling(t, s.witnesses[0], allGrantsClosed)
	if maxBilled := s.usedTokens + longAnswerTokens + 100; row.Billed <= s.usedTokens || row.Billed > maxBilled {
		t.Fatalf("billed %d, want over %d for the cut-off run and at most %d", row.Billed, s.usedTokens, maxBilled)
	}
	s.sendShortRequest(t, s.witnesses[1])
}

func TestFrozenHolderCannotSpendItsSealedGrant(t *testing.T) {
	s := startBudgetDeployment(t)
	got := s.startLongRequest(t)
	s.holder.signal(syscall.SIGSTOP)
	sealed := s.awaitBilling(t, s.witnesses[0], allGrantsClosed)
	s.holder.signal(syscall.SIGCONT)
	select {
	case <-got:
	case <-time.After(waitTimeout):
		t.Fatal("no end of the long answer")
	}
	s.usedTokens = sealed.Billed
	eventually(t, "the resumed instance serves again", func() bool {
		return call(http.MethodPost, s.holder.callersURL+"/v1/chat/completions", s.key, map[string]any{}).status == http.StatusBadRequest
	})
	s.sendShortRequest(t, s.holder)
	s.awaitBilling(t, s.witnesses[0], s.allAnswersBilled)
}

func TestBudgetsServeThroughALogOutage(t *testing.T) {
	s := startBudgetDeployment(t)
	s.setPlatformFaults(t, standin.PlatformFaults{Outage: true})
	for range 5 {
		s.sendShortRequest(t, s.holder)
	}
	s.setPlatformFaults(t, standin.PlatformFaults{})
	s.awaitBilling(t, s.witnesses[0], s.allAnswersBilled)
}

func TestLostAnswersBillOnce(t *testing.T) {
	s := startBudgetDeployment(t)
	for _, in := range append(s.witnesses, s.holder, s.holder) {
		s.setPlatformFaults(t, standin.PlatformFaults{LoseAnswers: 3})
		s.sendShortRequest(t, in)
	}
	s.setPlatformFaults(t, standin.PlatformFaults{})
	s.awaitBilling(t, s.witnesses[0], s.allAnswersBilled)
}

func TestDrainReturnsEveryGrant(t *testing.T) {
	s := startBudgetDeployment(t)
	s.holder.signal(syscall.SIGTERM)
	if code := s.holder.exitCode(); code != 0 {
		t.Fatalf("exit code %d", code)
	}
	row := s.awaitBilling(t, s.witnesses[0], s.allAnswersBilled)
	if !allGrantsClosed(row) {
		t.Fatalf("left %d tokens in grants", row.Committed-row.Billed)
	}
}
