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

// TestEveryFaultEndsInOneWholeAnswerAndOneBill brings one fault at a time over
// a run that is placed at e1.
func TestEveryFaultEndsInOneWholeAnswerAndOneBill(t *testing.T) {
	const at = testTokens / 2
	for name, c := range map[string]struct {
		before standin.EngineFaults
		during func(b *bench) // Called after token at.
		moved  bool           // The run must go on at e2.
	}{
		"no fault":              {},
		"cut, again and again":  {before: standin.EngineFaults{CutAfterTokens: 7}},
		"dead in mid-stream":    {during: func(b *bench) { b.kill(0) }, moved: true},
		"dead from the start":   {before: standin.EngineFaults{}, moved: true, during: nil},
		"silent in mid-stream":  {during: func(b *bench) { b.engines[0].SetFaults(standin.EngineFaults{Silent: true}) }, moved: true},
		"hanging in mid-stream": {during: func(b *bench) { b.engines[0].SetFaults(standin.EngineFaults{Hang: true}) }, moved: true},
		"leaving":               {before: standin.EngineFaults{Leaving: true}, moved: true},
		"leaving in mid-stream": {during: func(b *bench) { b.engines[0].SetFaults(standin.EngineFaults{Leaving: true}) }},
		"refusing":              {before: standin.EngineFaults{Refuse: true}, moved: true},
		"masked":                {before: standin.EngineFaults{ProxyError: true}, moved: true},
		"late head":             {before: standin.EngineFaults{AnswerDelayMs: int(testSilence/time.Millisecond) * 3}, moved: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.engines[0].SetFaults(c.before)
			if name == "dead from the start" {
				b.kill(0)
			}
			got := b.ask(t.Context(), chatOf("k", true), func(i int) {
				if i == at && c.during != nil {
					c.during(b)
				}
			})
			if got.err != nil || got.text != textOf(0, testTokens) || got.result.Usage.Completion != testTokens {
				t.Fatalf("text %q, usage %+v, error %v", got.text, got.result.Usage, got.err)
			}
			generated := b.checkBill(got.result.Run)
			if moved := generated[1] > 0; moved != c.moved {
				t.Fatalf("generated %v", generated)
			}
			if c.during != nil && c.moved && generated[1] >= testTokens {
				t.Fatalf("generated anew: %v", generated)
			}
			if c.before.Leaving && (len(b.left) != 1 || b.left[0] != "e1" || generated[0] != 0) {
				t.Fatalf("leaving told of %v, generated %v", b.left, generated)
			}
		})
	}
}

// checkBill wants one bill for a whole answer and returns what each engine
// generated for it.
func (b *bench) checkBill(run record.RunID) []int {
	b.t.Helper()
	if bills := b.billed(run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
		b.t.Fatalf("bills %v", bills)
	}
	return b.generated(run)
}

// TestBegunAnswerOutlivesEveryEndpoint has no endpoint for a while: e2 refuses,
// and e1, which has the run, is silent. The run comes back to e1.
func TestBegunAnswerOutlivesEveryEndpoint(t *testing.T) {
	b := newBench(t)
	b.engines[1].SetFaults(standin.EngineFaults{Refuse: true})
	got := b.ask(t.Context(), chatOf("k", true), func(i int) {
		if i == testTokens/2 {
			b.engines[0].SetFaults(standin.EngineFaults{Silent: true})
			time.AfterFunc(5*testSilence, func() { b.engines[0].SetFaults(standin.EngineFaults{}) })
		}
	})
	if got.err != nil || got.text != textOf(0, testTokens) {
		t.Fatalf("text %q, error %v", got.text, got.err)
	}
	if generated := b.checkBill(got.result.Run); generated[0] != testTokens || generated[1] != 0 {
		t.Fatalf("generated %v", generated)
	}
}

func TestCrossedAnswersAreDroppedAndReadAgain(t *testing.T) {
	b := newBench(t)
	b.engines[0].SetFaults(standin.EngineFaults{SwapPairs: 1})
	var wait sync.WaitGroup
	for _, n := range []int{10, 20} {
		wait.Go(func() {
			c := chatOf("k"+string(rune('0'+n/10)), true)
			c.MaxTokens = n
			got := b.ask(t.Context(), c, nil)
			if got.err != nil || got.text != textOf(0, n) {
				t.Errorf("%d tokens: text %q, error %v", n, got.text, got.err)
			}
		})
	}
	wait.Wait()
	if crossed := b.counts.Crossed.Load(); crossed != 2 {
		t.Fatalf("%d crossed answers counted", crossed)
	}
}

func TestNoTokenInTimeIsAnsweredAtOnceAndCancelled(t *testing.T) {
	b := newBench(t)
	b.engines[0].SetFaults(standin.EngineFaults{Hang: true})
	c := chatOf("k", true)
	c.Wait = testSilence
	got := b.ask(t.Context(), c, nil)
	f := failureOf(t, got.err)
	if f.Code != CodeNoAnswerInTime || f.Outcome != record.OutcomeUnknown || f.RetryAfter == 0 {
		t.Fatalf("failure %+v", f)
	}
	if bills := b.billed(got.result.Run); len(bills) != 1 || bills[0] != promptTokens {
		t.Fatalf("bills %v", bills)
	}
	if runs := b.engines[0].Runs(); len(runs) != 1 || !runs[0].Done {
		t.Fatalf("run not cancelled: %+v", runs)
	}
}

func TestWhatAllEndpointsRefuseHasNotRunAndCostsNothing(t *testing.T) {
	b := newBench(t)
	for _, e := range b.engines {
		e.SetFaults(standin.EngineFaults{Refuse: true})
	}
	got := b.ask(t.Context(), chatOf("k", true), nil)
	if f := failureOf(t, got.err); f.Outcome != record.OutcomeNotRun || f.RetryAfter == 0 {
		t.Fatalf("failure %+v", f)
	}
	if bills := b.billed(got.result.Run); len(bills) != 1 || bills[0] != 0 {
		t.Fatalf("bills %v", bills)
	}
	for _, e := range b.engines {
		e.SetFaults(standin.EngineFaults{})
	}
	if again := b.ask(t.Context(), chatOf("k", true), nil); again.err != nil || again.text != textOf(0, testTokens) {
		t.Fatalf("the retry got %q, %v", again.text, again.err)
	}
}

func TestCallerWhoLeaves(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		b := newBench(t)
		ctx, leave := context.WithCancel(t.Context())
		got := b.ask(ctx, chatOf("k", keyed), func(i int) {
			if i == 5 {
				leave()
			}
		})
		bills := b.billed(got.result.Run)
		done := b.generated(got.result.Run)[0]
		if len(bills) != 1 || bills[0] != promptTokens+int64(done) {
			t.Fatalf("keyed %v: bills %v, %d tokens generated", keyed, bills, done)
		}
		if whole := done == testTokens; whole != keyed || (got.err == nil) != keyed {
			t.Fatalf("keyed %v: %d tokens generated, error %v", keyed, done, got.err)
		}
		if !keyed {
			continue
		}
		c := chatOf("k", true)
		c.Have = Position{Run: got.result.Run, Tokens: 6}
		if rest := b.ask(t.Context(), c, nil); rest.err != nil || rest.text != textOf(6, testTokens) {
			t.Fatalf("the retry got %q, %v", rest.text, rest.err)
		}
		if again := b.billed(got.result.Run); len(again) != 1 {
			t.Fatalf("bills after the retry %v", again)
		}
	}
}

func TestJoinFollowsTheRunToAnotherEndpoint(t *testing.T) {
	b := newBench(t)
	joined := make(chan told, 1)
	owner := b.ask(t.Context(), chatOf("k", true), func(i int) {
		if i == 3 {
			go func() { joined <- b.ask(context.Background(), chatOf("k", true), nil) }()
		}
		if i == testTokens/2 {
			b.kill(0)
		}
	})
	got := <-joined
	if owner.err != nil || got.err != nil || got.text != textOf(0, testTokens) || got.result.Run != owner.result.Run {
		t.Fatalf("owner %v; joined %q, %v", owner.err, got.text, got.err)
	}
	if bills := b.billed(owner.result.Run); len(bills) != 1 {
		t.Fatalf("bills %v", bills)
	}
}

// TestRunWhoseClaimIsLostGoesOnByItsID forgets the claims, as the death of
// their holder does.
func TestRunWhoseClaimIsLostGoesOnByItsID(t *testing.T) {
	b := newBench(t)
	owner := b.ask(t.Context(), chatOf("k", true), nil)
	b.Claims = &table{rows: map[record.RequestKey]*row{}}
	for _, keyed := range []bool{true, false} {
		c := chatOf("k", keyed)
		c.Have = Position{Run: owner.result.Run, Tokens: 7}
		got := b.ask(t.Context(), c, nil)
		if got.err != nil || got.text != textOf(7, testTokens) || got.result.Run != owner.result.Run {
			t.Fatalf("keyed %v: %q, %v", keyed, got.text, got.err)
		}
	}
	if bills := b.billed(owner.result.Run); len(bills) != 1 {
		t.Fatalf("bills %v", bills)
	}
}

func TestJoinWhereNothingIsLeftToJoin(t *testing.T) {
	b := newBench(t)
	owner := b.ask(t.Context(), chatOf("k", true), nil)
	c := chatOf("k", true)
	c.Have = Position{Run: "another", Tokens: 3}
	for _, key := range []string{"k", "new"} {
		c.Key.Key = key
		if f := failureOf(t, b.ask(t.Context(), c, nil).err); f.Code != CodeRunGone || f.Outcome != record.OutcomeUnknown {
			t.Fatalf("key %s: %+v", key, f)
		}
	}
	b.kill(0)
	if f := failureOf(t, b.ask(t.Context(), chatOf("k", true), nil).err); f.Code != CodeAnswerGone || f.Outcome != record.OutcomeUnknown {
		t.Fatalf("answer gone: %+v, owner %v", f, owner.err)
	}
}

// endless ignores max_tokens.
type endless struct{ endpoint.Engines }

func (e endless) Start(ctx context.Context, base string, o endpoint.Order) (endpoint.Stream, error) {
	o.MaxTokens *= 100
	return e.Engines.Start(ctx, base, o)
}

func TestOutputPastTheMaximumIsCutAndNotBilled(t *testing.T) {
	b := newBench(t)
	b.Engines = endless{b.Engines}
	got := b.ask(t.Context(), chatOf("k", true), nil)
	if got.err != nil || got.text != textOf(0, testTokens) || got.result.Finish != finishLength {
		t.Fatalf("text %q, finish %q, error %v", got.text, got.result.Finish, got.err)
	}
	if bills := b.billed(got.result.Run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
		t.Fatalf("bills %v", bills)
	}
	if runs := b.engines[0].Runs(); !runs[0].Done {
		t.Fatalf("run not cancelled: %+v", runs)
	}
}

func TestServiceCalls(t *testing.T) {
	const get, post = http.MethodGet, http.MethodPost
	rules, err := config.ParseRepeatRules("GET /status")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		faults  standin.ServiceFaults // Of s1.
		method  string
		path    string
		outcome record.Outcome
		runs    [2]int
	}{
		"no fault":                  {standin.ServiceFaults{}, post, "/setpoint", record.OutcomeAnswered, [2]int{1, 0}},
		"refused":                   {standin.ServiceFaults{Refuse: true}, post, "/setpoint", record.OutcomeAnswered, [2]int{0, 1}},
		"leaving":                   {standin.ServiceFaults{Leaving: true}, post, "/setpoint", record.OutcomeAnswered, [2]int{0, 1}},
		"lost after running":        {standin.ServiceFaults{LoseAnswers: 1}, post, "/setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"masked":                    {standin.ServiceFaults{ProxyError: true}, post, "/setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"late":                      {standin.ServiceFaults{SlowMs: 2000}, post, "/setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"lost, repeatable":          {standin.ServiceFaults{LoseAnswers: 1}, get, "/status", record.OutcomeAnswered, [2]int{1, 1}},
		"late, repeatable":          {standin.ServiceFaults{SlowMs: 2000}, get, "/status/x", record.OutcomeAnswered, [2]int{1, 1}},
		"lost, other method":        {standin.ServiceFaults{LoseAnswers: 1}, post, "/status", record.OutcomeUnknown, [2]int{1, 0}},
		"lost, path with dots":      {standin.ServiceFaults{LoseAnswers: 1}, get, "/status/../setpoint", record.OutcomeUnknown, [2]int{1, 0}},
		"lost, only a like segment": {standin.ServiceFaults{LoseAnswers: 1}, get, "/statusx", record.OutcomeUnknown, [2]int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.Repeats = repeats(rules)
			b.services[0].SetFaults(c.faults)
			call := Call{Request: chatOf("k", true).Request, Service: "rig", Method: c.method, Path: c.path}
			call.Wait = 400 * time.Millisecond
			for range 2 { // The second time is a retry, with the same outcome.
				_, err := b.Call(t.Context(), call)
				outcome := record.OutcomeAnswered
				var f *Failure
				if errors.As(err, &f) {
					outcome = f.Outcome
				}
				if outcome != c.outcome {
					t.Fatalf("outcome %v: %v", outcome, err)
				}
			}
			if runs := [2]int{b.services[0].TotalRuns(), b.services[1].TotalRuns()}; runs != c.runs {
				t.Fatalf("runs %v", runs)
			}
		})
	}
}

type repeats []config.RepeatRule

func (r repeats) Repeatable(_, method, path string) bool { return config.AnyRepeats(r, method, path) }
