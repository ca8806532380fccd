package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/claim"
	"guavapier/internal/record"
)

// checker checks the invariants of package claim. It records runs as the called
// service would see them.
type checker struct {
	mu         sync.Mutex
	runs       map[string][]int // Attempts that executed the request, by key.
	attempts   map[string]int   // Number of attempts that callers made, by key.
	digests    map[record.RunID]uint64
	violations []string
	outcomes   map[string]int // Number of runs and of each error, to show what a test has reached.
}

func newChecker() checker {
	return checker{runs: map[string][]int{}, attempts: map[string]int{}, digests: map[record.RunID]uint64{}, outcomes: map[string]int{}}
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordTicket records a ticket. All tickets of one run must be for the same
// body.
func (c *checker) recordTicket(key string, digest uint64, t claim.Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.digests[t.Run]; ok && known != digest {
		c.fail("key %s: request body %d got the run of body %d", key, digest, known)
	}
	c.digests[t.Run] = digest
}

func (c *checker) recordRun(key string, attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes["ran"]++
	c.runs[key] = append(c.runs[key], attempt)
	if len(c.runs[key]) > 1 {
		c.fail("key %s: ran more than once, in attempts %v", key, c.runs[key])
	}
}

// recordError records an error of Begin. ErrNotCounted asserts that neither
// this attempt nor an earlier one has run.
func (c *checker) recordError(key string, attempt int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[err.Error()]++
	for _, ran := range c.runs[key] {
		if errors.Is(err, claim.ErrNotCounted) && ran <= attempt {
			c.fail("key %s: attempt %d got ErrNotCounted although attempt %d ran", key, attempt, ran)
		}
	}
}

type opKind int

const (
	opRequest opKind = iota
	opCutLink
	opLoseAnswers
	opDelayCalls
	opHealLinks
	opCutPlatform
	opRestorePlatform
	opFreeze
	opUnfreeze
	opRestart
	opLoseAppendAnswer
	opSuspect
	opTrust
	opKindCount
)

// op is one generated step: a call, or a fault that is injected or removed.
type op struct {
	Kind   opKind
	A, B   int
	Key    int
	Digest uint64
	End    record.Outcome
	Work   time.Duration
	After  time.Duration
}

func genOps(t *rapid.T) []op {
	kind := rapid.Custom(func(t *rapid.T) opKind {
		if rapid.Bool().Draw(t, "request") {
			return opRequest
		}
		return opKind(rapid.IntRange(1, int(opKindCount)-1).Draw(t, "kind"))
	})
	one := rapid.Custom(func(t *rapid.T) op {
		return op{
			Kind: kind.Draw(t, "op"), A: rapid.IntRange(0, fleetSize-1).Draw(t, "a"), B: rapid.IntRange(0, fleetSize-1).Draw(t, "b"),
			Key: rapid.IntRange(0, 2).Draw(t, "key"), Digest: rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "digest"),
			End:   rapid.SampledFrom([]record.Outcome{record.OutcomeAnswered, record.OutcomeNotRun, record.OutcomeUnknown}).Draw(t, "end"),
			Work:  time.Duration(rapid.SampledFrom([]int{1, 500, 5000}).Draw(t, "work")) * time.Millisecond,
			After: time.Duration(rapid.SampledFrom([]int{0, 20, 700, 4000}).Draw(t, "after")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(t, "ops")
}

// runOps applies the steps in a synctest bubble and returns the violated
// invariants.
func runOps(t *testing.T, enabled defects, mode claim.Mode, ops []op) (violations []string, outcomes map[string]int) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimFleet(enabled, mode)
		time.Sleep(5 * time.Second)
		for _, o := range ops {
			sim.apply(o, mode)
			if enabled.closeOnSuspicion {
				sim.closeSuspected()
			}
			time.Sleep(o.After)
		}
		sim.heal()
		time.Sleep(15 * time.Second)
		sim.stop()
		violations, outcomes = sim.checker.violations, sim.checker.outcomes
	})
	return violations, outcomes
}

func (sim *simFleet) apply(o op, mode claim.Mode) {
	link := [2]int{o.A, o.B}
	set := func(m map[[2]int]bool) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		m[link] = o.A != o.B
	}
	flag := func(f *[fleetSize]bool, v bool) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		f[o.A] = v
	}
	switch o.Kind {
	case opRequest:
		sim.startCall(sim.instance(o.A), o)
	case opCutLink:
		set(sim.cutLinks)
	case opLoseAnswers:
		set(sim.answerLossLinks)
	case opDelayCalls:
		set(sim.slowLinks)
	case opHealLinks:
		sim.mu.Lock()
		clear(sim.cutLinks)
		clear(sim.answerLossLinks)
		clear(sim.slowLinks)
		sim.mu.Unlock()
	case opCutPlatform:
		flag(&sim.platformCut, true)
	case opRestorePlatform:
		flag(&sim.platformCut, false)
	case opSuspect:
		flag(&sim.suspected, true)
	case opTrust:
		flag(&sim.suspected, false)
	case opFreeze:
		sim.instance(o.A).freeze()
	case opUnfreeze:
		sim.instance(o.A).unfreeze()
	case opRestart:
		n := sim.kill(o.A)
		sim.running.Go(func() { n.holder.Close(); _ = n.log.Close() })
		sim.start(o.A, mode)
	case opLoseAppendAnswer:
		sim.mu.Lock()
		sim.lostAppendAnswers++
		sim.mu.Unlock()
	case opKindCount:
	}
}

func (sim *simFleet) heal() {
	for slot := range fleetSize {
		for _, kind := range []opKind{opHealLinks, opRestorePlatform, opTrust, opUnfreeze} {
			sim.apply(op{Kind: kind, A: slot}, 0)
		}
	}
}

// startCall makes one attempt of a caller: it begins, runs and ends a call as
// package run does. It sets First only if there was no earlier attempt.
func (sim *simFleet) startCall(n *simInstance, o op) {
	key := fmt.Sprint("key-", o.Key)
	c := &sim.checker
	c.mu.Lock()
	attempt := c.attempts[key]
	c.attempts[key]++
	c.mu.Unlock()
	r := claim.Request{Key: record.RequestKey{Team: "t", Key: key}, Digest: o.Digest, Home: homeZone, First: attempt == 0}
	if sim.activeDefects.ignoreDigest {
		r.Digest = 0
	}
	sim.running.Go(func() {
		ctx, cancel := context.WithTimeout(sim.ctx, 10*time.Second)
		defer cancel()
		if !n.alive() {
			return
		}
		ticket, err := claim.BeginOrJoin(ctx, n.client, r)
		if !n.alive() || sim.ctx.Err() != nil {
			return
		}
		if sim.activeDefects.unknownAsNotRun && errors.Is(err, claim.ErrUnknown) {
			err = claim.ErrNotCounted
		}
		if err != nil {
			c.recordError(key, attempt, err)
			return
		}
		c.recordTicket(key, o.Digest, ticket)
		if ticket.Join && !sim.activeDefects.rerunJoined {
			return
		}
		sim.runCall(n, r.Key, attempt, o)
	})
}

func (sim *simFleet) runCall(n *simInstance, key record.RequestKey, attempt int, o op) {
	n.client.Place(sim.ctx, key, "e")
	sleep(sim.ctx, o.Work/2)
	if !n.alive() {
		return
	}
	if o.End != record.OutcomeNotRun {
		sim.checker.recordRun(key.Key, attempt)
	}
	sleep(sim.ctx, o.Work/2)
	if !n.alive() {
		return
	}
	end := o.End
	if sim.activeDefects.unknownFreesKey && end == record.OutcomeUnknown {
		end = record.OutcomeNotRun
	}
	n.client.End(sim.ctx, key, claim.End{Outcome: end})
}

// cutOffHolder returns steps that cut instance a off from the platform while
// the others suspect it, so that they take its shard over if it holds one, and
// then send the same call to another instance and to a.
func cutOffHolder(a int) []op {
	b := (a + 1) % fleetSize
	call := op{Kind: opRequest, Digest: 1, End: record.OutcomeAnswered, Work: time.Millisecond, After: 4 * time.Second}
	onReachable, onCutOff := call, call
	onReachable.A, onCutOff.A = b, a
	return []op{
		{Kind: opCutPlatform, A: a}, {Kind: opSuspect, A: a, After: 8 * time.Second}, {Kind: opTrust, A: a}, onReachable, onCutOff,
	}
}

func TestCallsRunAtMostOnce(t *testing.T) {
	for name, mode := range map[string]claim.Mode{"serve": claim.ModeServe, "refuse": claim.ModeRefuse} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if violations, _ := runOps(t, defects{}, mode, genOps(rt)); len(violations) > 0 {
					rt.Fatal(violations)
				}
			})
		})
	}
}

// Each defect must be detected with at least one of a fixed series of seeds.
func TestCheckerSeesBrokenClaims(t *testing.T) {
	const seeds = 1000
	for name, enabled := range map[string]defects{
		"sealed witness acknowledges":       {sealedWitnessAcknowledges: true},
		"takeover by timeout":               {closeOnSuspicion: true},
		"unknown said to be not run":        {unknownAsNotRun: true},
		"bodies not compared":               {ignoreDigest: true},
		"joined run is run again":           {rerunJoined: true},
		"unknown outcome frees its key":     {unknownFreesKey: true},
		"runner denies runs it has started": {runnerDeniesRuns: true},
	} {
		t.Run(name, func(t *testing.T) {
			gen := rapid.Custom(genOps)
			for seed := range seeds {
				ops := gen.Example(seed)
				if seed < fleetSize {
					ops = cutOffHolder(seed)
				}
				if violations, _ := runOps(t, enabled, claim.ModeServe, ops); len(violations) > 0 {
					t.Logf("seed %d: %s", seed, violations[0])
					return
				}
			}
			t.Fatal("defect not detected with any seed")
		})
	}
}
