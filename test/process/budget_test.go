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

// budgetDeployment is a deployment with two instances in one availability zone
// and one in another. The one alone in its zone holds the grants for the
// requests of its own callers; one of the other two is its witness.
type budgetDeployment struct {
	deployment
	witnesses  []*instance
	holder     *instance
	key        string
	usedTokens int64 // Tokens in the usage of all answers that callers received.
}

// startBudgetDeployment starts a budgetDeployment with a topped-up budget and sends
// one request through the holder, so that it has a grant.
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
		eventually(t, "budget readable at the instance", func() bool {
			return call(http.MethodGet, in.operatorsURL+"/budgets/dala/main", operatorToken, nil).status == http.StatusOK
		})
	}
	s.sendShortRequest(t, s.holder)
	return s
}

// sendShortRequest sends a short chat request, fails the test unless it is
// answered, and adds its tokens to usedTokens.
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

// startLongRequest streams a long answer through the holder and returns once an
// engine generates it. The channel receives the complete response.
func (s *budgetDeployment) startLongRequest(t *testing.T) <-chan response {
	t.Helper()
	before := generatedTokens(t, s.engines)
	got := make(chan response, 1)
	go func() {
		got <- call(http.MethodPost, s.holder.callersURL+"/v1/chat/completions", s.key, chatBody(longAnswerTokens, true))
	}()
	eventually(t, "engines generate the long answer", func() bool { return generatedTokens(t, s.engines) > before+10 })
	return got
}

func (s *budgetDeployment) setPlatformFaults(t *testing.T, f standin.PlatformFaults) {
	t.Helper()
	mustCall(t, http.MethodPut, s.platform+"/faults", "", f)
}

// engineTokens returns the prompt and completion tokens that the engines have
// counted over all runs.
func (s *budgetDeployment) engineTokens(t *testing.T) int64 {
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

// awaitBilling waits until the budget's totals, as one instance reads them from
// the log, satisfy want. It then requires that engines ran no more tokens than
// were billed, and that no more was billed than committed or committed than
// prepaid.
func (s *budgetDeployment) awaitBilling(t *testing.T, in *instance, want func(budgetRow) bool) budgetRow {
	t.Helper()
	var row budgetRow
	eventually(t, "expected bills read from the log", func() bool {
		row = readBudget(t, in.operatorsURL, "dala")
		return want(row)
	})
	ran := s.engineTokens(t)
	if ran > row.Billed || row.Billed > row.Committed || row.Committed > row.Prepaid {
		t.Fatalf("engines ran %d tokens, billed %d, committed %d, prepaid %d", ran, row.Billed, row.Committed, row.Prepaid)
	}
	return row
}

// allAnswersBilled reports whether exactly the answers that callers received are
// billed, each once.
func (s *budgetDeployment) allAnswersBilled(row budgetRow) bool { return row.Billed == s.usedTokens }

// allGrantsClosed reports whether no open grant is left, which is when all
// committed tokens are billed.
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
		t.Fatal("the long answer did not end in time")
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
		t.Fatalf("%d tokens left in open grants after the drain", row.Committed-row.Billed)
	}
}
