package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// callTimeout is how long a caller of the simulation waits for one attempt.
const callTimeout = 10 * time.Second

// callRequest returns the first attempt of a call that must not be repeated.
func callRequest() claim.Request {
	return claim.Request{Key: record.RequestKey{Team: "t", Key: "call"}, Digest: 1, Home: homeZone, First: true}
}

// attempt makes one attempt of a call at an instance, as package run does.
func (sim *simFleet) attempt(slot int, r claim.Request) (claim.Ticket, error) {
	ctx, cancel := context.WithTimeout(sim.ctx, callTimeout)
	defer cancel()
	return claim.BeginOrJoin(ctx, sim.instance(slot).client, r)
}

// loseClaimReply lets an instance claim a call, loses the holder's reply and then
// the holder, by a call of lose, so that the next holder finds a claim that its
// runner was never told of.
func (sim *simFleet) loseClaimReply(runner, holder int, lose func(holder int)) {
	sim.apply(op{Kind: opLoseAnswers, A: runner, B: holder}, claim.ModeServe)
	sim.running.Go(func() {
		sleep(sim.ctx, 50*time.Millisecond) // Until the witness has the claim.
		lose(holder)
	})
}

func (sim *simFleet) freeze(slot int) { sim.instance(slot).freeze() }

// otherSlots calls play for each pair of a slot that does not hold the shard and
// the remaining one.
func otherSlots(t *testing.T, play func(t *testing.T, sim *simFleet, holder, runner, third int)) {
	t.Helper()
	for offset := 1; offset < fleetSize; offset++ {
		t.Run(fmt.Sprint("runner ", offset, " after the holder"), func(t *testing.T) {
			withSettledFleet(t, func(t *testing.T, sim *simFleet) {
				holder := sim.holderSlot(t)
				play(t, sim, holder, (holder+offset)%fleetSize, (holder+fleetSize-offset)%fleetSize)
			})
		})
	}
}

// TestCallWhoseClaimReplyIsLostWithItsHolderRuns guards against an attempt that
// joins its own run: the next holder knows the claim, its runner does not, and the
// caller waited in vain for a run that nobody had started.
func TestCallWhoseClaimReplyIsLostWithItsHolderRuns(t *testing.T) {
	for fault, lose := range map[string]func(*simFleet, int){"frozen": (*simFleet).freeze, "killed": (*simFleet).killAndClose, "restarted": (*simFleet).restart} {
		t.Run(fault, func(t *testing.T) {
			otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, _ int) {
				sim.loseClaimReply(runner, holder, func(slot int) { lose(sim, slot) })
				ticket, err := sim.attempt(runner, callRequest())
				if err != nil || ticket.Join {
					t.Fatalf("ticket %+v, error %v; want a run of its own", ticket, err)
				}
			})
		})
	}
}

// TestCallThatItsRunnerGaveUpRunsElsewhere guards against a claim that stays open
// for ever: the runner's caller has left before the next holder is there, and a
// retry at another instance waited in vain for that run.
func TestCallThatItsRunnerGaveUpRunsElsewhere(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, third int) {
		sim.loseClaimReply(runner, holder, sim.freeze)
		ctx, leave := context.WithTimeout(sim.ctx, 500*time.Millisecond)
		defer leave()
		if ticket, err := claim.BeginOrJoin(ctx, sim.instance(runner).client, callRequest()); !errors.Is(err, claim.ErrNotCounted) {
			t.Fatalf("attempt that was given up: ticket %+v, error %v; want %v", ticket, err, claim.ErrNotCounted)
		}
		time.Sleep(8 * time.Second) // Until the next holder is there and no report is under way.
		r := callRequest()
		r.First = false
		ticket, err := sim.attempt(third, r)
		if err != nil || ticket.Join {
			t.Fatalf("retry at another instance: ticket %+v, error %v; want a run of its own", ticket, err)
		}
	})
}

// witnessSlot returns the slot of the instance that is the shard's witness.
func (sim *simFleet) witnessSlot(t *testing.T, holder int) int {
	t.Helper()
	var latest fold.Shard
	sim.instance(holder).partition.View(func(l *fold.Ledger) { latest, _ = l.ClaimShard(homeZone, 0) })
	for slot := range fleetSize {
		if sim.instance(slot).id == latest.Witness {
			return slot
		}
	}
	t.Fatalf("witness %q is not an instance of the fleet", latest.Witness)
	return 0
}

// TestCallWaitsWhileTheHolderCannotCountClaims guards against an unknown outcome
// for a call that has time left: the holder reached neither the log nor its
// witness for a moment, and its first answer ended the call.
func TestCallWaitsWhileTheHolderCannotCountClaims(t *testing.T) {
	for outage, want := range map[time.Duration]error{2 * time.Second: nil, 5 * time.Second: claim.ErrUndecided} {
		t.Run(outage.String(), func(t *testing.T) {
			withSettledFleet(t, func(t *testing.T, sim *simFleet) {
				holder := sim.holderSlot(t)
				witness := sim.witnessSlot(t, holder)
				sim.instance(witness).freeze()
				sim.apply(op{Kind: opCutPlatform, A: holder}, claim.ModeServe)
				sim.running.Go(func() {
					sleep(sim.ctx, outage)
					sim.apply(op{Kind: opRestorePlatform, A: holder}, claim.ModeServe)
					sim.instance(witness).unfreeze()
				})
				r := callRequest()
				r.First = false
				ticket, err := sim.attempt(fleetSize-holder-witness, r)
				if !errors.Is(err, want) || err == nil && ticket.Join {
					t.Fatalf("ticket %+v, error %v; want a run of its own if the outage is short, else %v", ticket, err, want)
				}
				time.Sleep(outage)
			})
		})
	}
}

// TestHolderLearnsAnEndFromTheLog guards against a claim that stays open in the
// holder's memory: the runner could not report the end to the holder and appended
// it to the log, and later attempts waited for the run to end.
func TestHolderLearnsAnEndFromTheLog(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, _ int) {
		r := callRequest()
		mustBegin(t, sim, sim.instance(runner).client, r)
		sim.apply(op{Kind: opCutLink, A: runner, B: holder}, claim.ModeServe)
		sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(10 * time.Second) // Until the reports have timed out and the end is on the log.
		sim.apply(op{Kind: opHealLinks}, claim.ModeServe)
		r.First = false
		if ticket, err := sim.attempt(holder, r); err != nil || ticket.Outcome != record.OutcomeAnswered {
			t.Fatalf("retry at the holder: ticket %+v, error %v; want the outcome answered", ticket, err)
		}
	})
}

// restart replaces an instance by a new one, which no call to the old one reaches.
func (sim *simFleet) restart(slot int) { sim.apply(op{Kind: opRestart, A: slot}, claim.ModeServe) }

// TestEndReachesTheLogWithoutItsHolder guards against an end that is lost with the
// holder: it was appended to the log before the claim, which the close of the
// holder's epoch adds, and so had no effect. The runner leaves before anyone asks.
func TestEndReachesTheLogWithoutItsHolder(t *testing.T) {
	for _, outcome := range []record.Outcome{record.OutcomeAnswered, record.OutcomeNotRun} {
		t.Run(outcome.String(), func(t *testing.T) {
			otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, third int) {
				r := callRequest()
				run := mustBegin(t, sim, sim.instance(runner).client, r).Run
				sim.restart(holder)
				sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: outcome})
				time.Sleep(15 * time.Second)
				sim.restart(runner)
				r.First = false
				ticket, err := sim.attempt(third, r)
				switch {
				case err != nil:
					t.Fatal(err)
				case outcome == record.OutcomeAnswered && ticket.Outcome != outcome, outcome == record.OutcomeNotRun && (ticket.Join || ticket.Run == run):
					t.Fatalf("retry after the runner has left: ticket %+v; the run %s ended as %s", ticket, run, outcome)
				}
			})
		})
	}
}

// TestAttemptThatWasGivenUpFreesItsKey is TestCallThatItsRunnerGaveUpRunsElsewhere
// with a runner that leaves before the retry.
func TestAttemptThatWasGivenUpFreesItsKey(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, third int) {
		sim.loseClaimReply(runner, holder, sim.freeze)
		ctx, leave := context.WithTimeout(sim.ctx, 500*time.Millisecond)
		defer leave()
		if ticket, err := claim.BeginOrJoin(ctx, sim.instance(runner).client, callRequest()); err == nil {
			t.Fatalf("attempt that was given up got the ticket %+v", ticket)
		}
		time.Sleep(15 * time.Second)
		sim.restart(runner)
		r := callRequest()
		r.First = false
		if ticket, err := sim.attempt(third, r); err != nil || ticket.Join {
			t.Fatalf("retry after the runner has left: ticket %+v, error %v; want a run of its own", ticket, err)
		}
	})
}

// TestLeavingInstanceLogsItsEnds guards against an end that is lost with its
// runner, which leaves while it cannot reach the holder.
func TestLeavingInstanceLogsItsEnds(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, third int) {
		r := callRequest()
		mustBegin(t, sim, sim.instance(runner).client, r)
		time.Sleep(2 * time.Second) // Until the claim is on the log.
		sim.apply(op{Kind: opCutLink, A: runner, B: holder}, claim.ModeServe)
		sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		sim.instance(runner).client.Close()
		time.Sleep(time.Second) // Until the holder has read the log.
		sim.restart(runner)
		r.First = false
		if ticket, err := sim.attempt(third, r); err != nil || ticket.Outcome != record.OutcomeAnswered {
			t.Fatalf("retry after the runner has left: ticket %+v, error %v; want the outcome answered", ticket, err)
		}
	})
}

// TestRetryGetsTheAnswerFromItsRunner guards against an answer that is lost
// although its runner has it: the report of the end is under way to a holder that
// does not answer, and a retry asks the next one.
func TestRetryGetsTheAnswerFromItsRunner(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, holder, runner, third int) {
		r := callRequest()
		mustBegin(t, sim, sim.instance(runner).client, r)
		sim.instance(holder).freeze()
		sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{
			Outcome: record.OutcomeAnswered, Answer: &claim.Answer{Status: 200, Body: []byte("done")},
		})
		r.First = false
		ticket, err := sim.attempt(third, r)
		if err != nil || ticket.Outcome != record.OutcomeAnswered || ticket.Answer == nil || string(ticket.Answer.Body) != "done" {
			t.Fatalf("retry while the holder is frozen: ticket %+v, error %v; want the answer", ticket, err)
		}
	})
}

// TestOneMissedHeartbeatDoesNotEndAJoinedCall guards against an unknown outcome for
// a call whose runner missed one heartbeat and answered the call a moment later.
func TestOneMissedHeartbeatDoesNotEndAJoinedCall(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, _, runner, third int) {
		r := callRequest()
		mustBegin(t, sim, sim.instance(runner).client, r)
		sim.apply(op{Kind: opSuspect, A: runner}, claim.ModeServe)
		sim.running.Go(func() {
			sleep(sim.ctx, 500*time.Millisecond)
			sim.apply(op{Kind: opTrust, A: runner}, claim.ModeServe)
			sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		})
		r.First = false
		if ticket, err := sim.attempt(third, r); err != nil || ticket.Outcome != record.OutcomeAnswered {
			t.Fatalf("retry: ticket %+v, error %v; want the outcome answered", ticket, err)
		}
	})
}

// TestRunnerThatAnswersTheHolderIsNotGone guards against an unknown outcome for a
// call whose runner misses heartbeats for longer but answers when it is asked.
func TestRunnerThatAnswersTheHolderIsNotGone(t *testing.T) {
	otherSlots(t, func(t *testing.T, sim *simFleet, _, runner, third int) {
		r := callRequest()
		mustBegin(t, sim, sim.instance(runner).client, r)
		sim.apply(op{Kind: opSuspect, A: runner}, claim.ModeServe)
		sim.running.Go(func() {
			sleep(sim.ctx, 4*time.Second)
			sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		})
		r.First = false
		if ticket, err := sim.attempt(third, r); err != nil || ticket.Outcome != record.OutcomeAnswered {
			t.Fatalf("retry: ticket %+v, error %v; want the outcome answered", ticket, err)
		}
	})
}

// TestCallOfALostRunnerEndsAtOnce checks that a caller does not wait its whole time
// for a call whose runner is gone.
func TestCallOfALostRunnerEndsAtOnce(t *testing.T) {
	const limit = 2 * time.Second
	otherSlots(t, func(t *testing.T, sim *simFleet, _, runner, third int) {
		r := callRequest()
		mustBegin(t, sim, sim.instance(runner).client, r)
		sim.killAndClose(runner)
		time.Sleep(5 * time.Second)
		r.First = false
		began := time.Now()
		ticket, err := sim.attempt(third, r)
		if took := time.Since(began); !errors.Is(err, claim.ErrUnknown) || errors.Is(err, claim.ErrUndecided) || took > limit {
			t.Fatalf("retry: ticket %+v, error %v after %s; want %v within %s", ticket, err, took, claim.ErrUnknown, limit)
		}
	})
}
