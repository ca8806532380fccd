package claim_test

import (
	"testing"
	"testing/synctest"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// withSettledFleet plays in a bubble of fake time, with a fleet whose shard has its
// holder and witness.
func withSettledFleet(t *testing.T, play func(*testing.T, *simFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimFleet(defects{}, claim.ModeServe)
		defer awaitCallTimeouts() // After stop: a bubble must not end before its goroutines.
		defer sim.stop()
		time.Sleep(5 * time.Second)
		play(t, sim)
	})
}

// awaitCallTimeouts lets calls to instances that are cut off reach their time limits, which
// no stop waits for; the time is the bubble's.
func awaitCallTimeouts() { time.Sleep(time.Minute) }

func repeatableRequest() claim.Request {
	return claim.Request{Key: record.RequestKey{Team: "t", Key: "k"}, Digest: 1, Home: homeZone, Repeatable: true}
}

// claimThenKillRunner has an instance that does not hold the shard claim a repeatable
// request and die. It returns the slots of the two that are left, and the run.
func claimThenKillRunner(t *testing.T, sim *simFleet, r claim.Request) (survivors [2]int, run record.RunID) {
	t.Helper()
	holder := sim.holderSlot(t)
	victim := (holder + 1) % fleetSize
	ticket, err := sim.at(victim).client.Begin(sim.ctx, r)
	if err != nil || ticket.Join {
		t.Fatalf("claim: %+v, %v", ticket, err)
	}
	time.Sleep(time.Second) // The witness has it.
	sim.killAndClose(victim)
	time.Sleep(5 * time.Second)
	return [2]int{holder, (holder + 2) % fleetSize}, ticket.Run
}

// holderSlot returns the slot of the instance that holds the shard.
func (sim *simFleet) holderSlot(t *testing.T) int {
	t.Helper()
	for slot := range fleetSize {
		n := sim.at(slot)
		var last fold.Shard
		var ok bool
		n.partition.View(func(l *fold.Ledger) { last, ok = l.ClaimShard(homeZone, 0) })
		if ok && !last.Closed && last.Holder == n.id && n.alive() {
			return slot
		}
	}
	t.Fatal("no holder")
	return 0
}

// TestLostRunIsTakenOverOnce has two attempts find the run of a dead instance
// lost. One gets it under the same id, the other joins it, and its end is what
// later attempts learn.
func TestLostRunIsTakenOverOnce(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		survivors, run := claimThenKillRunner(t, sim, r)
		first, second := sim.at(survivors[0]).client, sim.at(survivors[1]).client
		if got := mustBegin(t, sim, second, r); !got.Join || !got.RunnerGone || got.Run != run {
			t.Fatalf("joined: %+v", got)
		}
		r.Lost = run
		if got := mustBegin(t, sim, second, r); got.Join || got.Run != run {
			t.Fatalf("first attempt that found it lost: %+v", got)
		}
		if got := mustBegin(t, sim, first, r); !got.Join || got.RunnerGone || got.Run != run {
			t.Fatalf("second attempt that found it lost: %+v", got)
		}
		second.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(2 * time.Second)
		if got := mustBegin(t, sim, first, r); !got.Join || got.Outcome != record.OutcomeAnswered || got.Run != run {
			t.Fatalf("after its end: %+v", got)
		}
	})
}

// TestLostRunIsTakenOverByTheNextHolder has the holder of the shard die with
// its own run: the next holder knows the claim from the log only, and the end
// must reach the log for the holder after that.
func TestLostRunIsTakenOverByTheNextHolder(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		holder := sim.holderSlot(t)
		ticket := mustBegin(t, sim, sim.at(holder).client, r)
		time.Sleep(time.Second)
		sim.killAndClose(holder)
		time.Sleep(10 * time.Second)
		next := sim.holderSlot(t)
		r.Lost = ticket.Run
		if got := mustBegin(t, sim, sim.at(next).client, r); got.Join || got.Run != ticket.Run {
			t.Fatalf("taken over: %+v", got)
		}
		sim.at(next).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(5 * time.Second)
		sim.killAndClose(next)
		time.Sleep(10 * time.Second)
		for slot := range fleetSize {
			if slot == holder || slot == next {
				continue
			}
			if got := mustBegin(t, sim, sim.at(slot).client, r); !got.Join || got.Outcome != record.OutcomeAnswered {
				t.Fatalf("after its end: %+v", got)
			}
		}
	})
}

// killAndClose kills an instance for good.
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

// TestEndNamesTheEndpoint loses the word of a run's place: a retry must learn
// from its end where the answer is.
func TestEndNamesTheEndpoint(t *testing.T) {
	withSettledFleet(t, func(t *testing.T, sim *simFleet) {
		r := repeatableRequest()
		holder := sim.holderSlot(t)
		runner := (holder + 1) % fleetSize
		mustBegin(t, sim, sim.at(runner).client, r)
		sim.apply(op{Kind: opCutLink, A: runner, B: holder}, claim.ModeServe)
		sim.at(runner).client.Place(sim.ctx, r.Key, "e1")
		time.Sleep(6 * time.Second) // The telling has been given up.
		sim.apply(op{Kind: opHealLinks}, claim.ModeServe)
		sim.at(runner).client.End(sim.ctx, r.Key, claim.End{Outcome: record.OutcomeAnswered})
		time.Sleep(2 * time.Second)
		if got := mustBegin(t, sim, sim.at(holder).client, r); got.Outcome != record.OutcomeAnswered || got.Endpoint != "e1" {
			t.Fatalf("%+v", got)
		}
	})
}

// TestRunThatItsRunnerNeverGotIsTakenOver loses the answer to a Begin and the
// word that the attempt was given up: the runner lives and knows of no run.
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
		if got := mustBegin(t, sim, sim.at(runner).client, r); !got.Uncounted {
			t.Fatalf("the runner got %+v", got)
		}
		time.Sleep(8 * time.Second) // The telling has been given up.
		sim.apply(op{Kind: opHealLinks}, claim.ModeServe)
		time.Sleep(2 * time.Second)
		found := mustBegin(t, sim, sim.at(holder).client, r)
		if !found.Join || found.RunnerGone || found.Outcome != 0 {
			t.Fatalf("joined: %+v", found)
		}
		r.Lost = found.Run
		if got := mustBegin(t, sim, sim.at(holder).client, r); got.Join || got.Run != found.Run {
			t.Fatalf("taken over: %+v", got)
		}
		// The new runner is this instance and knows the run, so others join it.
		if got := mustBegin(t, sim, sim.at(runner).client, r); !got.Join {
			t.Fatalf("taken over twice: %+v", got)
		}
	})
}
