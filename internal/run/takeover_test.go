package run

import (
	"context"
	"testing"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// claimForGoneInstance claims a run for an instance that has failed since. at is the
// endpoint where that instance had placed the run; empty if it had not.
func (b *testBench) claimForGoneInstance(c Chat, at string) record.RunID {
	b.t.Helper()
	claims := b.Claims.(*memoryClaims)
	ticket, err := claims.Begin(context.Background(), c.claimRequest(true))
	if err != nil {
		b.t.Fatal(err)
	}
	claims.Place(context.Background(), c.Key, at)
	claims.rows[c.Key].ticket.Runner, claims.rows[c.Key].ticket.RunnerGone = "gone", true
	return ticket.Run
}

// startRunAt starts a run at an endpoint, as the failed instance did, and closes the
// connection after the first token.
func (b *testBench) startRunAt(c Chat, run record.RunID, at string) {
	b.t.Helper()
	runRequest := c.newRunRequest(run)
	runRequest.Attempt = 1
	stream, err := b.Engines.Start(context.Background(), b.urls[at], runRequest)
	if err != nil {
		b.t.Fatal(err)
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		b.t.Fatal(err)
	}
}

// TestRunOfAGoneInstanceIsTakenOver has the instance that owned a run fail, and
// with it the run's endpoint, if it had one. A retry must complete the same run,
// with one bill.
func TestRunOfAGoneInstanceIsTakenOver(t *testing.T) {
	for name, c := range map[string]struct {
		placed string
		begun  bool
		kill   func(b *testBench, index int)
	}{
		"before it was placed":     {},
		"placed, never started":    {placed: "e2"},
		"endpoint left the list":   {placed: "e9"},
		"endpoint dies meanwhile":  {placed: "e1", begun: true, kill: func(b *testBench, i int) { b.killAt(i, testTokens/2, 0) }},
		"endpoint refuses already": {placed: "e1", begun: true, kill: func(b *testBench, i int) { b.killAt(i, 0, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			chat := newChat("k", true)
			run := b.claimForGoneInstance(chat, c.placed)
			if c.begun {
				b.startRunAt(chat, run, c.placed)
			}
			got := b.chat(t.Context(), chat, func(i int) {
				if c.kill != nil {
					c.kill(b, i)
				}
			})
			if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != run {
				t.Fatalf("text %q, run %s, want run %s; error %v", got.text, got.result.Run, run, got.err)
			}
			if bills := b.billsOf(run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
				t.Fatalf("bills %v, want one for the prompt and the whole answer", bills)
			}
		})
	}
}

// killAt kills an endpoint if index, the caller's current token, is at.
func (b *testBench) killAt(index, at, endpoint int) {
	if index == at {
		b.kill(endpoint)
	}
}

// TestPartOfALostRunIsNotContinued has a caller resume an answer that no engine has
// any longer. A new run could give another answer, and parts of two answers must
// not be combined: the caller is told so instead of waiting.
func TestPartOfALostRunIsNotContinued(t *testing.T) {
	b := newTestBench(t)
	chat := newChat("k", true)
	run := b.claimForGoneInstance(chat, "e1")
	chat.ResumeFrom = ResumePosition{Run: run, Tokens: 3}
	f := failureOf(t, b.chat(t.Context(), chat, nil).err)
	if f.Code != CodeRunGone || f.Outcome != record.OutcomeUnknown {
		t.Fatalf("got %+v, want run_gone with the outcome unknown", f)
	}
}

// TestCancelledRunOfAGoneInstanceIsTakenOver has an endpoint that still knows the
// run, but was told to cancel it and refuses to resume it.
func TestCancelledRunOfAGoneInstanceIsTakenOver(t *testing.T) {
	b := newTestBench(t)
	chat := newChat("k", true)
	run := b.claimForGoneInstance(chat, "e1")
	b.startRunAt(chat, run, "e1")
	if err := b.Engines.Cancel(t.Context(), b.urls["e1"], run, 1); err != nil {
		t.Fatal(err)
	}
	got := b.chat(t.Context(), chat, nil)
	if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != run {
		t.Fatalf("text %q, error %v; want the whole answer of the same run", got.text, got.err)
	}
}

// TestAnswerIsFoundWhereverItIs retries requests whose runs were answered, while the
// claim's holder has no endpoint for them or a wrong one. Once no engine has the
// answer, the retry fails.
func TestAnswerIsFoundWhereverItIs(t *testing.T) {
	for name, at := range map[string]string{"unknown": "", "left the list": "e9", "another": "e2"} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			chat := newChat("k", true)
			owner := b.chat(t.Context(), chat, nil)
			claims := b.Claims.(*memoryClaims)
			claims.rows[chat.Key].ticket.Endpoint = at
			got := b.chat(t.Context(), chat, nil)
			if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != owner.result.Run {
				t.Fatalf("text %q, error %v; want the whole answer of the same run", got.text, got.err)
			}
			b.kill(0)
			if f := failureOf(t, b.chat(t.Context(), chat, nil).err); f.Code != CodeAnswerGone || f.Outcome != record.OutcomeUnknown {
				t.Fatalf("no engine has the answer: got %+v, want answer_gone with the outcome unknown", f)
			}
		})
	}
}

// TestLostRunIsNeverSaidNotToHaveRun has a takeover fail, because no endpoint
// accepts the run or the budget does not cover it. The previous runner may have
// had the run executed, so the outcome is unknown.
func TestLostRunIsNeverSaidNotToHaveRun(t *testing.T) {
	for name, fail := range map[string]func(*testBench){
		"no endpoint": func(b *testBench) { b.kill(0); b.kill(1) },
		"no tokens":   func(b *testBench) { b.Budgets = exhaustedBudgets{b.recordingBudgets} },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			chat := newChat("k", true)
			b.claimForGoneInstance(chat, "")
			fail(b)
			if f := failureOf(t, b.chat(t.Context(), chat, nil).err); f.Outcome != record.OutcomeUnknown {
				t.Fatalf("got %+v, want the outcome unknown", f)
			}
		})
	}
}

// TestTakeoverThatIsRefusedCanBeRepeated guards against a chat whose retries are
// told for ever that it may have run, because one attempt took the run over from a
// lost instance and got no tokens or no endpoint.
func TestTakeoverThatIsRefusedCanBeRepeated(t *testing.T) {
	for name, fail := range map[string]func(*testBench) (heal func()){
		"no endpoint": func(b *testBench) func() {
			for _, e := range b.engines {
				e.SetFaults(standin.EngineFaults{Refuse: true})
			}
			return func() {
				for _, e := range b.engines {
					e.SetFaults(standin.EngineFaults{})
				}
			}
		},
		"no tokens": func(b *testBench) func() {
			b.Budgets = exhaustedBudgets{b.recordingBudgets}
			return func() { b.Budgets = b.recordingBudgets }
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			chat := newChat("k", true)
			run := b.claimForGoneInstance(chat, "")
			heal := fail(b)
			if f := failureOf(t, b.chat(t.Context(), chat, nil).err); f.Outcome != record.OutcomeUnknown {
				t.Fatalf("attempt that is refused: got %+v, want the outcome unknown", f)
			}
			heal()
			got := b.chat(t.Context(), chat, nil)
			if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != run {
				t.Fatalf("retry: text %q, error %v; want the whole answer of the same run", got.text, got.err)
			}
		})
	}
}

// TestTakeoverThatIsRefusedAfterTokensCanBeRepeated is the same for an attempt that has
// read a part of the answer before the run's endpoint failed too. A caller that resumes
// from such a part is told at once that it can't be continued.
func TestTakeoverThatIsRefusedAfterTokensCanBeRepeated(t *testing.T) {
	b := newTestBench(t)
	chat := newChat("k", true)
	run := b.claimForGoneInstance(chat, "e1")
	b.startRunAt(chat, run, "e1")
	b.Budgets = exhaustedBudgets{b.recordingBudgets}
	refused := b.chat(t.Context(), chat, func(token int) { b.killAt(token, testTokens/2, 0) })
	if f := failureOf(t, refused.err); f.Outcome != record.OutcomeUnknown || refused.text == "" {
		t.Fatalf("attempt that is refused: text %q, %+v; want a part and the outcome unknown", refused.text, f)
	}
	b.Budgets = b.recordingBudgets
	resumed := chat
	resumed.ResumeFrom = ResumePosition{Run: run, Tokens: 3}
	if f := failureOf(t, b.chat(t.Context(), resumed, nil).err); f.Code != CodeRunGone {
		t.Fatalf("retry from a part: %+v, want run_gone", f)
	}
	got := b.chat(t.Context(), chat, nil)
	if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != run {
		t.Fatalf("retry: text %q, error %v; want the whole answer of the same run", got.text, got.err)
	}
}

// exhaustedBudgets is Budgets in which no tokens are left.
type exhaustedBudgets struct{ *recordingBudgets }

// Reserve implements Budgets.
func (exhaustedBudgets) Reserve(context.Context, record.RequestKey, record.RunID, record.BudgetID, int64) (ledger.Reservation, error) {
	return ledger.Reservation{}, ledger.ErrExhausted
}

// releasingClaims frees the key of a joined run, as its owner does that has not
// executed it, just before the joiner would search the engines for that run.
type releasingClaims struct {
	*memoryClaims
	joinedAt time.Time
	released bool
}

func (c *releasingClaims) Begin(ctx context.Context, r claim.Request) (claim.Ticket, error) {
	const margin = 50 * time.Millisecond // Until the joiner's search interval is over for certain.
	if c.joinedAt.IsZero() {
		c.joinedAt = time.Now()
	}
	if !c.released && r.Lost == "" && time.Since(c.joinedAt) > searchInterval-margin/2 {
		c.released = true
		c.End(ctx, r.Key, claim.End{Outcome: record.OutcomeNotRun})
		time.Sleep(margin)
	}
	return c.memoryClaims.Begin(ctx, r)
}

// TestJoinerThatGetsTheRunExecutesIt guards against a joiner that is given a new run
// of its own and takes it for a lost one: it then waited its whole time for a run that
// it was to execute itself.
func TestJoinerThatGetsTheRunExecutesIt(t *testing.T) {
	b := newTestBench(t)
	claims := &releasingClaims{memoryClaims: b.Claims.(*memoryClaims)}
	chat := newChat("k", true)
	if _, err := claims.memoryClaims.Begin(t.Context(), chat.claimRequest(true)); err != nil {
		t.Fatal(err)
	}
	b.Claims = claims
	got := b.chat(t.Context(), chat, nil)
	if got.err != nil || got.text != answerTextOf(0, testTokens) {
		t.Fatalf("text %q, error %v; want the whole answer", got.text, got.err)
	}
	if bills := b.billsOf(got.result.Run); len(bills) != 1 {
		t.Fatalf("bills %v, want one", bills)
	}
}
