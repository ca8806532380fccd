package run

import (
	"context"
	"errors"
	"testing"

	"guavapier/internal/claim"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// unreachableHolder is claim.Claims without a reachable holder.
type unreachableHolder struct {
	claim.Claims
	err error // Returned by Begin; if nil, Begin returns an uncounted ticket.
}

// Begin implements claim.Claims.
func (d unreachableHolder) Begin(context.Context, claim.Request) (claim.Ticket, error) {
	return claim.Ticket{Run: record.NewRunID(), Runner: "a1", Uncounted: true}, d.err
}

// The outcome "not run" covers earlier attempts too, so it must not be reported
// while the claim's holder is unreachable, unless the caller declared this to be
// the first attempt.
func TestNotRunIsSaidOnlyWhereItIsKnown(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		first bool
		want  record.Outcome
	}{
		"uncounted":                {want: record.OutcomeUnknown},
		"uncounted, first attempt": {first: true, want: record.OutcomeNotRun},
		"not counted by holder":    {err: claim.ErrNotCounted, want: record.OutcomeNotRun},
		"key reused":               {err: claim.ErrKeyReused, want: record.OutcomeNotRun},
		"unknown":                  {err: claim.ErrUnknown, want: record.OutcomeUnknown},
		"any other error":          {err: errors.New("surprise"), want: record.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.Claims = unreachableHolder{Claims: b.Claims, err: c.err}
			for _, e := range b.engines {
				e.SetFaults(standin.EngineFaults{Refuse: true})
			}
			chat := newChat("k", true)
			chat.FirstAttempt = c.first
			got := b.chat(t.Context(), chat, nil)
			if f := failureOf(t, got.err); f.Outcome != c.want {
				t.Errorf("chat: got %+v", f)
			}
			for _, s := range b.services {
				s.SetFaults(standin.ServiceFaults{Refuse: true})
			}
			_, err := b.Call(t.Context(), Call{Request: chat.Request, Service: "rig", Method: "POST", Path: "/x"})
			if f := failureOf(t, err); f.Outcome != c.want {
				t.Errorf("call: got %+v", f)
			}
		})
	}
}

// TestUndecidedCallIsAskedToComeBack guards against callers that take an outcome
// for final which a retry can learn.
func TestUndecidedCallIsAskedToComeBack(t *testing.T) {
	for err, comesBack := range map[error]bool{claim.ErrUndecided: true, claim.ErrUnknown: false} {
		if f := claimFailure(err); f.Outcome != record.OutcomeUnknown || (f.RetryAfter > 0) != comesBack {
			t.Errorf("failure of %q: %+v, want the outcome unknown and a retry delay: %t", err, f, comesBack)
		}
	}
}
