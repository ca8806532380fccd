package claim_test

import (
	"testing"
	"testing/synctest"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// withSettledFleet runs play in a synctest bubble, with a fleet whose shard has
// a holder and a witness.
func withSettledFleet(t *testing.T, play func(*testing.T, *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimFleet(defects{}, claim.ModeServe)
		defer awaitCallTimeouts() // After stop, because a bubble must not end before its goroutines.
		defer sim.stop()
		time.Sleep(5 * time.Second)
		play(t, sim)
	})
}

// awaitCallTimeouts lets calls to partitioned instances time out, which stop
// does not wait for. The time is that of the bubble.
func awaitCallTimeouts() { time.Sleep(time.Minute) }

func repeatableRequest() claim.Request {
	return claim.Request{Key: record.RequestKey{Team: "t", Key: "k"}, Digest: 1, Home: homeZone, Repeatable: true}
}

// claimThenKillRunner lets an instance that does not hold the shard claim a
// repeatable request, and kills it. It returns the slots of the two surviving
// instances, the holder's first, and the run.
func claimThenKillRunner(t *testing.T, sim *simFleet, r claim.Request) (survivors [2]int, run record.RunID) {
	t.Helper()
	holder := sim.holderSlot(t)
	victim := (holder + 1) % fleetSize
	ticket, err := sim.instance(victim).client.Begin(sim.ctx, r)
	if err != nil || ticket.Join {
		t.Fatalf("first attempt, at the instance to kill: ticket %+v, error %v; want a new run", ticket, err)
	}
	time.Sleep(time.Second) // Until the witness has the claim.
	sim.killAndClose(victim)
	time.Sleep(5 * time.Second)
	return [2]int{holder, (holder + 2) % fleetSize}, ticket.Run
}

// holderSlot returns the slot of the instance that holds the shard.
func (sim *simFleet) holderSlot(t *testing.T) int {
	t.Helper()
	for slot := range fleetSize {
		n := sim.instance(slot)
		var latest fold.Shard
		var ok bool
		n.partition.View(func(l *fold.Ledger) { latest, ok = l.ClaimShard(homeZone, 0) })
		if ok && !latest.Closed && latest.Holder == n.id && n.alive() {
			return slot
		}
	}
	t.Fatal("no live instance holds an open claim shard")
	return 0
}

// TestLostRunIsTakenOverOnce lets two attempts find the run of a dead instance
// lost. One must get the run under the same ID and the other join it, and later
// attempts must see the outcome.
func TestLostRunIsTakenOverOnce(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		survivors, run := claimThenKillRunner(t, sim, r)
		first, second := sim.instance(survivors[0]).client, sim.instance(survivors[1]).client
		if got := mustBegin(t, sim, second, r); !got.Join || !got.RunnerGone || got.Run != run {
			t.Fatalf("attempt after the runner died: %+v, want to join its run with the runner gone", got)
		}
		r.Lost = run
		if got := mustBegin(t, sim, second, r); got.Join || got.Run != run {
			t.Fatalf("first attempt that found the run lost: %+v, want the run", got)
		}
		if got := mustBegin(t, sim, first, r); !got.Join || got.RunnerGone || got.Run != run {
			t.Fatalf("second attempt that found the run lost: %+v, want to join it at its new runner", got)
		}
		second.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(2 * time.Second)
		if got := mustBegin(t, sim, first, r); !got.Join || got.Outcome != record.OutcomeAnswered || got.Run != run {
			t.Fatalf("attempt after the run ended: %+v, want to join it with outcome answered", got)
		}
	})
}

// TestLostRunIsTakenOverByTheNextHolder kills the shard's holder together with
// its own run. The next holder knows the claim only from the log, and must log
// the end for the holder after it.
func TestLostRunIsTakenOverByTheNextHolder(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		holder := sim.holderSlot(t)
		ticket := mustBegin(t, sim, sim.instance(holder).client, r)
		time.Sleep(time.Second)
		sim.killAndClose(holder)
		time.Sleep(10 * time.Second)
		next := sim.holderSlot(t)
		r.Lost = ticket.Run
		if got := mustBegin(t, sim, sim.instance(next).client, r); got.Join || got.Run != ticket.Run {
			t.Fatalf("attempt that found the run lost: %+v, want the run", got)
		}
		sim.instance(next).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(5 * time.Second)
		sim.killAndClose(next)
		time.Sleep(10 * time.Second)
		for slot := range fleetSize {
			if slot == holder || slot == next {
				continue
			}
			if got := mustBegin(t, sim, sim.instance(slot).client, r); !got.Join || got.Outcome != record.OutcomeAnswered {
				t.Fatalf("attempt after the run ended: %+v, want to join it with outcome answered", got)
			}
		}
	})
}

// killAndClose kills an instance and releases its goroutines.
func (sim *simFleet) killAndClose(slot int) {
	n := sim.kill(slot)
	sim.running.Go(func() { n.holder.Close(); _ = n.log.Close() })
}

func mustBegin(t *testing.T, sim *simFleet, f *claim.Client, r claim.Request) claim.Ticket {
	t.Helper()
	ticket, err := f.Begin(sim.ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// TestEndNamesTheEndpoint loses the call of Place: a retry must get the
// endpoint that has the answer from the run's end.
func TestEndNamesTheEndpoint(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		holder := sim.holderSlot(t)
		runner := (holder + 1) % fleetSize
		mustBegin(t, sim, sim.instance(runner).client, r)
		sim.apply(op{Kind: opCutLink, A: runner, B: holder}, claim.ModeServe)
		sim.instance(runner).client.Place(sim.ctx, r.Key, "e1")
		time.Sleep(6 * time.Second) // Until the call of Place has timed out.
		sim.apply(op{Kind: opHealLinks}, claim.ModeServe)
		sim.instance(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(2 * time.Second)
		if got := mustBegin(t, sim, sim.instance(holder).client, r); got.Outcome != record.OutcomeAnswered || got.Endpoint != "e1" {
			t.Fatalf("retry after the run ended: %+v, want outcome answered and endpoint e1", got)
		}
	})
}

// TestRunThatItsRunnerNeverGotIsTakenOver loses the reply of a Begin and the
// call that aborts the attempt: the runner is alive but does not know the run.
func TestRunThatItsRunnerNeverGotIsTakenOver(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		holder := sim.holderSlot(t)
		runner := (holder + 1) % fleetSize
		sim.apply(op{Kind: opLoseAnswers, A: runner, B: holder}, claim.ModeServe)
		sim.running.Go(func() {
			time.Sleep(time.Second)
			sim.apply(op{Kind: opHealLinks}, claim.ModeServe)
			sim.apply(op{Kind: opCutLink, A: runner, B: holder}, claim.ModeServe)
		})
		if got := mustBegin(t, sim, sim.instance(runner).client, r); !got.Uncounted {
			t.Fatalf("ticket of the runner that got no reply: %+v, want one marked as uncounted", got)
		}
		time.Sleep(8 * time.Second) // Until the calls to abort the attempt have timed out.
		sim.apply(op{Kind: opHealLinks}, claim.ModeServe)
		time.Sleep(2 * time.Second)
		found := mustBegin(t, sim, sim.instance(holder).client, r)
		if !found.Join || found.RunnerGone || found.Outcome != 0 {
			t.Fatalf("attempt at the holder: %+v, want to join a run that has not ended", found)
		}
		r.Lost = found.Run
		if got := mustBegin(t, sim, sim.instance(holder).client, r); got.Join || got.Run != found.Run {
			t.Fatalf("attempt that found the run lost: %+v, want the run", got)
		}
		// The holder's instance is now the runner and knows the run, so others join
		// it.
		if got := mustBegin(t, sim, sim.instance(runner).client, r); !got.Join {
			t.Fatalf("attempt after the takeover: %+v, want to join the run", got)
		}
	})
}
