package run

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"guavapier/internal/config"
	"guavapier/internal/endpoint"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// TestEveryFaultEndsInOneWholeAnswerAndOneBill injects one fault at a time into a
// run that is placed at e1. Whether the run is retried, resumed or moved to e2,
// the caller must get each token once and the team one bill.
func TestEveryFaultEndsInOneWholeAnswerAndOneBill(t *testing.T) {
	const faultAt = testTokens / 2
	for name, c := range map[string]struct {
		faults       standin.EngineFaults
		midStream    func(b *testBench) // Called at token faultAt.
		wantFailover bool               // Whether the run has to continue at e2.
	}{
		"no fault":              {},
		"cut, again and again":  {faults: standin.EngineFaults{CutAfterTokens: 7}},
		"dead in mid-stream":    {midStream: func(b *testBench) { b.kill(0) }, wantFailover: true},
		"dead from the start":   {faults: standin.EngineFaults{}, wantFailover: true, midStream: nil},
		"silent in mid-stream":  {midStream: func(b *testBench) { b.engines[0].SetFaults(standin.EngineFaults{Silent: true}) }, wantFailover: true},
		"hanging in mid-stream": {midStream: func(b *testBench) { b.engines[0].SetFaults(standin.EngineFaults{Hang: true}) }, wantFailover: true},
		"leaving":               {faults: standin.EngineFaults{Leaving: true}, wantFailover: true},
		"leaving in mid-stream": {midStream: func(b *testBench) { b.engines[0].SetFaults(standin.EngineFaults{Leaving: true}) }},
		"refusing":              {faults: standin.EngineFaults{Refuse: true}, wantFailover: true},
		"masked":                {faults: standin.EngineFaults{ProxyError: true}, wantFailover: true},
		"late head":             {faults: standin.EngineFaults{AnswerDelayMs: int(testSilence/time.Millisecond) * 3}, wantFailover: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.engines[0].SetFaults(c.faults)
			if name == "dead from the start" {
				b.kill(0)
			}
			got := b.chat(t.Context(), newChat("k", true), func(i int) {
				if i == faultAt && c.midStream != nil {
					c.midStream(b)
				}
			})
			if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Usage.Completion != testTokens {
				t.Fatalf("text %q, usage %+v, error %v; want the whole answer and its usage", got.text, got.result.Usage, got.err)
			}
			generated := b.checkBill(got.result.Run)
			if moved := generated[1] > 0; moved != c.wantFailover {
				t.Fatalf("tokens generated per engine: %v; the answer has to move to e2 exactly if e1 cannot complete it", generated)
			}
			if c.midStream != nil && c.wantFailover && generated[1] >= testTokens {
				t.Fatalf("tokens generated per engine: %v; e2 generated the answer anew instead of continuing it", generated)
			}
			if c.faults.Leaving && (len(b.leaving) != 1 || b.leaving[0] != "e1" || generated[0] != 0) {
				t.Fatalf("endpoints reported as leaving: %v, want e1 only; tokens generated per engine: %v, want none at e1", b.leaving, generated)
			}
		})
	}
}

// checkBill fails the test unless the run has exactly one bill, for the whole
// answer. It returns the number of tokens that each engine generated.
func (b *testBench) checkBill(run record.RunID) []int {
	b.t.Helper()
	if bills := b.billsOf(run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
		b.t.Fatalf("bills %v, want one for the prompt and the whole answer", bills)
	}
	return b.generatedTokens(run)
}

// TestBegunAnswerOutlivesEveryEndpoint leaves a partial answer without an endpoint
// for a while: e2 refuses, and e1, which has the run, is silent. The run has to
// wait and to continue at e1, although e1 failed before.
func TestBegunAnswerOutlivesEveryEndpoint(t *testing.T) {
	b := newTestBench(t)
	b.engines[1].SetFaults(standin.EngineFaults{Refuse: true})
	got := b.chat(t.Context(), newChat("k", true), func(i int) {
		if i == testTokens/2 {
			b.engines[0].SetFaults(standin.EngineFaults{Silent: true})
			time.AfterFunc(5*testSilence, func() { b.engines[0].SetFaults(standin.EngineFaults{}) })
		}
	})
	if got.err != nil || got.text != answerTextOf(0, testTokens) {
		t.Fatalf("text %q, error %v; want the whole answer", got.text, got.err)
	}
	if generated := b.checkBill(got.result.Run); generated[0] != testTokens || generated[1] != 0 {
		t.Fatalf("tokens generated per engine: %v, want all at e1", generated)
	}
}

// TestSwappedAnswersAreDroppedAndReadAgain has e1 swap the answers of two requests.
// The swap must be detected, and each caller must get its own answer.
func TestSwappedAnswersAreDroppedAndReadAgain(t *testing.T) {
	b := newTestBench(t)
	b.engines[0].SetFaults(standin.EngineFaults{SwapPairs: 1})
	var wait sync.WaitGroup
	for _, n := range []int{10, 20} {
		wait.Go(func() {
			c := newChat("k"+string(rune('0'+n/10)), true)
			c.MaxTokens = n
			got := b.chat(t.Context(), c, nil)
			if got.err != nil || got.text != answerTextOf(0, n) {
				t.Errorf("answer of %d tokens: got text %q, error %v", n, got.text, got.err)
			}
		})
	}
	wait.Wait()
	if wrongRun := b.counts.WrongRun.Load(); wrongRun != 2 {
		t.Fatalf("%d answers counted as answers of another run, want 2", wrongRun)
	}
}

// TestNoTokenInTimeIsAnsweredAtOnceAndCancelled has e1 send heartbeats but no token.
// The request has to fail after MaxWait, and e1 must not go on with it.
func TestNoTokenInTimeIsAnsweredAtOnceAndCancelled(t *testing.T) {
	b := newTestBench(t)
	b.engines[0].SetFaults(standin.EngineFaults{Hang: true})
	c := newChat("k", true)
	c.MaxWait = testSilence
	got := b.chat(t.Context(), c, nil)
	f := failureOf(t, got.err)
	if f.Code != CodeNoAnswerInTime || f.Outcome != record.OutcomeUnknown || f.RetryAfter == 0 {
		t.Fatalf("got %+v, want no_answer_in_time with the outcome unknown and a retry delay", f)
	}
	if bills := b.billsOf(got.result.Run); len(bills) != 1 || bills[0] != promptTokens {
		t.Fatalf("bills %v, want one for the prompt", bills)
	}
	if runs := b.engines[0].Runs(); len(runs) != 1 || !runs[0].Done {
		t.Fatalf("run not cancelled at e1: %+v", runs)
	}
}

// TestWhatAllEndpointsRefuseHasNotRunAndCostsNothing also checks that the refused
// request frees its key, so that a retry runs.
func TestWhatAllEndpointsRefuseHasNotRunAndCostsNothing(t *testing.T) {
	b := newTestBench(t)
	for _, e := range b.engines {
		e.SetFaults(standin.EngineFaults{Refuse: true})
	}
	got := b.chat(t.Context(), newChat("k", true), nil)
	if f := failureOf(t, got.err); f.Outcome != record.OutcomeNotRun || f.RetryAfter == 0 {
		t.Fatalf("got %+v, want the outcome \"not run\" and a retry delay", f)
	}
	if bills := b.billsOf(got.result.Run); len(bills) != 1 || bills[0] != 0 {
		t.Fatalf("bills %v, want one of 0 tokens", bills)
	}
	for _, e := range b.engines {
		e.SetFaults(standin.EngineFaults{})
	}
	if again := b.chat(t.Context(), newChat("k", true), nil); again.err != nil || again.text != answerTextOf(0, testTokens) {
		t.Fatalf("retry after the refusal got text %q, error %v; want the whole answer", again.text, again.err)
	}
}

// TestCallerWhoLeaves has the caller disconnect at token 5. Without an
// Idempotency-Key the run is cancelled and billed for what was generated. With a
// key it completes, and a retry reads the rest of it without a second bill.
func TestCallerWhoLeaves(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		b := newTestBench(t)
		ctx, leave := context.WithCancel(t.Context())
		got := b.chat(ctx, newChat("k", keyed), func(i int) {
			if i == 5 {
				leave()
			}
		})
		bills := b.billsOf(got.result.Run)
		done := b.generatedTokens(got.result.Run)[0]
		if len(bills) != 1 || bills[0] != promptTokens+int64(done) {
			t.Fatalf("keyed %v: bills %v, want one for the prompt and the %d tokens that were generated", keyed, bills, done)
		}
		if whole := done == testTokens; whole != keyed || (got.err == nil) != keyed {
			t.Fatalf("keyed %v: %d tokens generated, error %v; want the whole answer with a key and an abandoned run without", keyed, done, got.err)
		}
		if !keyed {
			continue
		}
		c := newChat("k", true)
		c.ResumeFrom = ResumePosition{Run: got.result.Run, Tokens: 6}
		if rest := b.chat(t.Context(), c, nil); rest.err != nil || rest.text != answerTextOf(6, testTokens) {
			t.Fatalf("retry from token 6 got text %q, error %v; want the rest of the answer", rest.text, rest.err)
		}
		if again := b.billsOf(got.result.Run); len(again) != 1 {
			t.Fatalf("bills after the retry: %v, want one", again)
		}
	}
}

// TestJoinFollowsTheRunToAnotherEndpoint kills e1 while a second attempt reads the
// run there. Both attempts must get the whole answer, and the run one bill.
func TestJoinFollowsTheRunToAnotherEndpoint(t *testing.T) {
	b := newTestBench(t)
	joined := make(chan callerResult, 1)
	owner := b.chat(t.Context(), newChat("k", true), func(i int) {
		if i == 3 {
			go func() { joined <- b.chat(context.Background(), newChat("k", true), nil) }()
		}
		if i == testTokens/2 {
			b.kill(0)
		}
	})
	got := <-joined
	if owner.err != nil || got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != owner.result.Run {
		t.Fatalf("owner: error %v; joined request: text %q, error %v; want the whole answer of the owner's run", owner.err, got.text, got.err)
	}
	if bills := b.billsOf(owner.result.Run); len(bills) != 1 {
		t.Fatalf("bills %v, want one", bills)
	}
}

// TestRunWhoseClaimIsLostGoesOnByItsID drops all claims, as the failure of their
// holder does. A caller that names the run must still get the rest of its answer,
// from the engine that has it.
func TestRunWhoseClaimIsLostGoesOnByItsID(t *testing.T) {
	b := newTestBench(t)
	owner := b.chat(t.Context(), newChat("k", true), nil)
	b.Claims = &memoryClaims{rows: map[record.RequestKey]*claimRow{}}
	for _, keyed := range []bool{true, false} {
		c := newChat("k", keyed)
		c.ResumeFrom = ResumePosition{Run: owner.result.Run, Tokens: 7}
		got := b.chat(t.Context(), c, nil)
		if got.err != nil || got.text != answerTextOf(7, testTokens) || got.result.Run != owner.result.Run {
			t.Fatalf("keyed %v: text %q, error %v; want the rest of the same run's answer", keyed, got.text, got.err)
		}
	}
	if bills := b.billsOf(owner.result.Run); len(bills) != 1 {
		t.Fatalf("bills %v, want one", bills)
	}
}

// TestJoinWhereNothingIsLeftToJoin resumes from a run that nobody has, and retries a
// request whose answer was lost with its engine. Both may have run, so neither
// may be answered with another run's tokens or with "not run".
func TestJoinWhereNothingIsLeftToJoin(t *testing.T) {
	b := newTestBench(t)
	owner := b.chat(t.Context(), newChat("k", true), nil)
	c := newChat("k", true)
	c.ResumeFrom = ResumePosition{Run: "another", Tokens: 3}
	for _, key := range []string{"k", "new"} {
		c.Key.Key = key
		if f := failureOf(t, b.chat(t.Context(), c, nil).err); f.Code != CodeRunGone || f.Outcome != record.OutcomeUnknown {
			t.Fatalf("key %s: got %+v, want run_gone with the outcome unknown", key, f)
		}
	}
	b.kill(0)
	if f := failureOf(t, b.chat(t.Context(), newChat("k", true), nil).err); f.Code != CodeAnswerGone || f.Outcome != record.OutcomeUnknown {
		t.Fatalf("got %+v, want answer_gone with the outcome unknown; error of the owner: %v", f, owner.err)
	}
}

// unboundedEngines has engines generate 100 times the requested maximum.
type unboundedEngines struct{ endpoint.Engines }

func (e unboundedEngines) Start(ctx context.Context, base string, runRequest endpoint.RunRequest) (endpoint.Stream, error) {
	runRequest.MaxTokens *= 100
	return e.Engines.Start(ctx, base, runRequest)
}

func TestOutputPastTheMaximumIsCutAndNotBilled(t *testing.T) {
	b := newTestBench(t)
	b.Engines = unboundedEngines{b.Engines}
	got := b.chat(t.Context(), newChat("k", true), nil)
	if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.FinishReason != finishReasonLength {
		t.Fatalf("text %q, finish reason %q, error %v; want an answer cut at max_tokens", got.text, got.result.FinishReason, got.err)
	}
	if bills := b.billsOf(got.result.Run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
		t.Fatalf("bills %v, want one for the prompt and max_tokens", bills)
	}
	if runs := b.engines[0].Runs(); !runs[0].Done {
		t.Fatalf("run not cancelled at e1: %+v", runs)
	}
}

// TestServiceCalls injects one fault at a time into s1. A call that may have run is
// sent to s2 only if a repeat rule allows it; else its outcome is unknown. A retry
// of the call never runs it again.
func TestServiceCalls(t *testing.T) {
	const get, post = http.MethodGet, http.MethodPost
	rules, err := config.ParseRepeatRules("GET /status")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		faults  standin.ServiceFaults // Injected at s1.
		method  string
		path    string
		outcome record.Outcome
		runs    [2]int
	}{
		"no fault":                    {standin.ServiceFaults{}, post, "/setpoint", record.OutcomeAnswered, [2]int{1, 0}},
		"refused":                     {standin.ServiceFaults{Refuse: true}, post, "/setpoint", record.OutcomeAnswered, [2]int{0, 1}},
		"leaving":                     {standin.ServiceFaults{Leaving: true}, post, "/setpoint", record.OutcomeAnswered, [2]int{0, 1}},
		"lost after running":          {standin.ServiceFaults{LoseAnswers: 1}, post, "/setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"masked":                      {standin.ServiceFaults{ProxyError: true}, post, "/setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"late":                        {standin.ServiceFaults{SlowMs: 2000}, post, "/setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"lost, repeatable":            {standin.ServiceFaults{LoseAnswers: 1}, get, "/status", record.OutcomeAnswered, [2]int{1, 1}},
		"late, repeatable":            {standin.ServiceFaults{SlowMs: 2000}, get, "/status/x", record.OutcomeAnswered, [2]int{1, 1}},
		"lost, other method":          {standin.ServiceFaults{LoseAnswers: 1}, post, "/status", record.OutcomeUnknown, [2]int{1, 0}},
		"lost, path with dots":        {standin.ServiceFaults{LoseAnswers: 1}, get, "/status/../setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"lost, similar first segment": {standin.ServiceFaults{LoseAnswers: 1}, get, "/statusx", record.OutcomeUnknown, [2]int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.RepeatRules = repeatRules(rules)
			b.services[0].SetFaults(c.faults)
			call := Call{Request: newChat("k", true).Request, Service: "rig", Method: c.method, Path: c.path}
			call.MaxWait = 400 * time.Millisecond
			for range 2 { // The second time is a retry, with the same outcome.
				_, err := b.Call(t.Context(), call)
				outcome := record.OutcomeAnswered
				var f *Failure
				if errors.As(err, &f) {
					outcome = f.Outcome
				}
				if outcome != c.outcome {
					t.Fatalf("got outcome %v, error %v", outcome, err)
				}
			}
			if runs := [2]int{b.services[0].TotalRuns(), b.services[1].TotalRuns()}; runs != c.runs {
				t.Fatalf("runs at s1 and s2: %v", runs)
			}
		})
	}
}

// repeatRules applies the same rules to every service.
type repeatRules []config.RepeatRule

func (r repeatRules) Repeatable(_, method, path string) bool {
	return config.IsRepeatable(r, method, path)
}
