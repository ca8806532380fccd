package run

import (
	"context"
	"testing"

	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

// claimForGoneInstance claims a run for an instance that is gone, which had placed it at an
// endpoint; "" for nowhere.
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

// startOrder has a run begun at an endpoint as the gone instance did, and leaves it
// to itself once it has brought a token.
func (b *testBench) startOrder(c Chat, run record.RunID, at string) {
	b.t.Helper()
	order := c.newOrder(run)
	order.Attempt = 1
	stream, err := b.Engines.Start(context.Background(), b.urls[at], order)
	if err != nil {
		b.t.Fatal(err)
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		b.t.Fatal(err)
	}
}

// TestRunOfAGoneInstanceIsTakenOver has the instance of a run die, and with it
// the endpoint, if there was one.
func TestRunOfAGoneInstanceIsTakenOver(t *testing.T) {
	for name, c := range map[string]struct {
		placed string
		begun  bool
		kill   func(b *testBench, index int)
	}{
		"before it was placed":     {},
		"placed, never ordered":    {placed: "e2"},
		"endpoint left the list":   {placed: "e9"},
		"endpoint dies meanwhile":  {placed: "e1", begun: true, kill: func(b *testBench, i int) { b.killAt(i, testTokens/2, 0) }},
		"endpoint refuses already": {placed: "e1", begun: true, kill: func(b *testBench, i int) { b.killAt(i, 0, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			chat := newChat("k", true)
			run := b.claimForGoneInstance(chat, c.placed)
			if c.begun {
				b.startOrder(chat, run, c.placed)
			}
			got := b.chat(t.Context(), chat, func(i int) {
				if c.kill != nil {
					c.kill(b, i)
				}
			})
			if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != run {
				t.Fatalf("%q, run %s of %s, %v", got.text, got.result.Run, run, got.err)
			}
			if bills := b.billsOf(run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
				t.Fatalf("bills %v", bills)
			}
		})
	}
}

// killAt kills an endpoint when the caller is at a token.
func (b *testBench) killAt(index, at, endpoint int) {
	if index == at {
		b.kill(endpoint)
	}
}

// TestPartOfALostRunIsNotContinued has a caller come back with a part of an
// answer that nobody else has: parts of two runs never make one answer, and the
// caller learns that instead of waiting.
func TestPartOfALostRunIsNotContinued(t *testing.T) {
	b := newTestBench(t)
	chat := newChat("k", true)
	run := b.claimForGoneInstance(chat, "e1")
	chat.ResumeFrom = ResumePosition{Run: run, Tokens: 3}
	f := failureOf(t, b.chat(t.Context(), chat, nil).err)
	if f.Code != CodeRunGone || f.Outcome != record.OutcomeUnknown {
		t.Fatalf("%+v", f)
	}
}

// TestCancelledRunOfAGoneInstanceIsTakenOver has an endpoint that still knows
// the run but will not go on with it.
func TestCancelledRunOfAGoneInstanceIsTakenOver(t *testing.T) {
	b := newTestBench(t)
	chat := newChat("k", true)
	run := b.claimForGoneInstance(chat, "e1")
	b.startOrder(chat, run, "e1")
	if err := b.Engines.Cancel(t.Context(), b.urls["e1"], run, 1); err != nil {
		t.Fatal(err)
	}
	got := b.chat(t.Context(), chat, nil)
	if got.err != nil || got.text != answerTextOf(0, testTokens) || got.result.Run != run {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// TestAnswerIsFoundWhereverItIs has runs that ended, with their endpoint unknown
// or wrong at the holder, and with nobody left who has the answer.
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
				t.Fatalf("%q, %v", got.text, got.err)
			}
			b.kill(0)
			if f := failureOf(t, b.chat(t.Context(), chat, nil).err); f.Code != CodeAnswerGone || f.Outcome != record.OutcomeUnknown {
				t.Fatalf("nobody has it: %+v", f)
			}
		})
	}
}

// TestLostRunIsNeverSaidNotToHaveRun has a run taken over that no endpoint takes
// now, or that the budget does not cover: its first runner may have run it.
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
				t.Fatalf("%+v", f)
			}
		})
	}
}

// exhaustedBudgets has no tokens.
type exhaustedBudgets struct{ *recordingBudgets }

// Reserve implements Accounts.
func (exhaustedBudgets) Reserve(context.Context, record.RequestKey, record.RunID, record.BudgetID, int64) (ledger.Reservation, error) {
	return ledger.Reservation{}, ledger.ErrExhausted
}
