package run

import (
	"context"
	"testing"

	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

// orphan claims a run for an instance that is gone, which had placed it at an
// endpoint; "" for nowhere.
func (b *bench) orphan(c Chat, at string) record.RunID {
	b.t.Helper()
	claims := b.Claims.(*table)
	ticket, err := claims.Begin(context.Background(), c.claim(true))
	if err != nil {
		b.t.Fatal(err)
	}
	claims.Place(context.Background(), c.Key, at)
	claims.rows[c.Key].ticket.Runner, claims.rows[c.Key].ticket.RunnerGone = "gone", true
	return ticket.Run
}

// order has a run begun at an endpoint as the gone instance did, and leaves it
// to itself once it has brought a token.
func (b *bench) order(c Chat, run record.RunID, at string) {
	b.t.Helper()
	order := c.order(run)
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
		kill   func(b *bench, index int)
	}{
		"before it was placed":     {},
		"placed, never ordered":    {placed: "e2"},
		"endpoint left the list":   {placed: "e9"},
		"endpoint dies meanwhile":  {placed: "e1", begun: true, kill: func(b *bench, i int) { b.killAt(i, testTokens/2, 0) }},
		"endpoint refuses already": {placed: "e1", begun: true, kill: func(b *bench, i int) { b.killAt(i, 0, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			chat := chatOf("k", true)
			run := b.orphan(chat, c.placed)
			if c.begun {
				b.order(chat, run, c.placed)
			}
			got := b.ask(t.Context(), chat, func(i int) {
				if c.kill != nil {
					c.kill(b, i)
				}
			})
			if got.err != nil || got.text != textOf(0, testTokens) || got.result.Run != run {
				t.Fatalf("%q, run %s of %s, %v", got.text, got.result.Run, run, got.err)
			}
			if bills := b.billed(run); len(bills) != 1 || bills[0] != promptTokens+testTokens {
				t.Fatalf("bills %v", bills)
			}
		})
	}
}

// killAt kills an endpoint when the caller is at a token.
func (b *bench) killAt(index, at, endpoint int) {
	if index == at {
		b.kill(endpoint)
	}
}

// TestPartOfALostRunIsNotContinued has a caller come back with a part of an
// answer that nobody else has: parts of two runs never make one answer, and the
// caller learns that instead of waiting.
func TestPartOfALostRunIsNotContinued(t *testing.T) {
	b := newBench(t)
	chat := chatOf("k", true)
	run := b.orphan(chat, "e1")
	chat.Have = Position{Run: run, Tokens: 3}
	f := failureOf(t, b.ask(t.Context(), chat, nil).err)
	if f.Code != CodeRunGone || f.Outcome != record.OutcomeUnknown {
		t.Fatalf("%+v", f)
	}
}

// TestCancelledRunOfAGoneInstanceIsTakenOver has an endpoint that still knows
// the run but will not go on with it.
func TestCancelledRunOfAGoneInstanceIsTakenOver(t *testing.T) {
	b := newBench(t)
	chat := chatOf("k", true)
	run := b.orphan(chat, "e1")
	b.order(chat, run, "e1")
	if err := b.Engines.Cancel(t.Context(), b.urls["e1"], run, 1); err != nil {
		t.Fatal(err)
	}
	got := b.ask(t.Context(), chat, nil)
	if got.err != nil || got.text != textOf(0, testTokens) || got.result.Run != run {
		t.Fatalf("%q, %v", got.text, got.err)
	}
}

// TestAnswerIsFoundWhereverItIs has runs that ended, with their endpoint unknown
// or wrong at the holder, and with nobody left who has the answer.
func TestAnswerIsFoundWhereverItIs(t *testing.T) {
	for name, at := range map[string]string{"unknown": "", "left the list": "e9", "another": "e2"} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			chat := chatOf("k", true)
			owner := b.ask(t.Context(), chat, nil)
			claims := b.Claims.(*table)
			claims.rows[chat.Key].ticket.Endpoint = at
			got := b.ask(t.Context(), chat, nil)
			if got.err != nil || got.text != textOf(0, testTokens) || got.result.Run != owner.result.Run {
				t.Fatalf("%q, %v", got.text, got.err)
			}
			b.kill(0)
			if f := failureOf(t, b.ask(t.Context(), chat, nil).err); f.Code != CodeAnswerGone || f.Outcome != record.OutcomeUnknown {
				t.Fatalf("nobody has it: %+v", f)
			}
		})
	}
}

// TestLostRunIsNeverSaidNotToHaveRun has a run taken over that no endpoint takes
// now, or that the budget does not cover: its first runner may have run it.
func TestLostRunIsNeverSaidNotToHaveRun(t *testing.T) {
	for name, hinder := range map[string]func(*bench){
		"no endpoint": func(b *bench) { b.kill(0); b.kill(1) },
		"no tokens":   func(b *bench) { b.Accounts = emptyBooks{b.books} },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			chat := chatOf("k", true)
			b.orphan(chat, "")
			hinder(b)
			if f := failureOf(t, b.ask(t.Context(), chat, nil).err); f.Outcome != record.OutcomeUnknown {
				t.Fatalf("%+v", f)
			}
		})
	}
}

// emptyBooks has no tokens.
type emptyBooks struct{ *books }

// Reserve implements Accounts.
func (emptyBooks) Reserve(context.Context, record.RequestKey, record.RunID, record.BudgetID, int64) (ledger.Reservation, error) {
	return ledger.Reservation{}, ledger.ErrExhausted
}
