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

// checker holds the invariants. Runs are counted at the service, as the
// service would count them.
type checker struct {
	mu       sync.Mutex
	runs     map[string][]int // The attempts that executed, by key.
	attempts map[string]int   // Attempts that callers made by key.
	digests  map[record.RunID]uint64
	bad      []string
	outcomes map[string]int // How often each outcome came, to see what a test reached.
}

func newChecker() checker {
	return checker{runs: map[string][]int{}, attempts: map[string]int{}, digests: map[record.RunID]uint64{}, outcomes: map[string]int{}}
}

func (c *checker) fail(format string, args ...any) {
	c.bad = append(c.bad, fmt.Sprintf(format, args...))
}

// took notes a ticket. All tickets of one run are for one body.
func (c *checker) took(key string, digest uint64, t claim.Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.digests[t.Run]; ok && known != digest {
		c.fail("key %s: body %d got the run of body %d", key, digest, known)
	}
	c.digests[t.Run] = digest
}

func (c *checker) ran(key string, attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes["ran"]++
	c.runs[key] = append(c.runs[key], attempt)
	if len(c.runs[key]) > 1 {
		c.fail("key %s ran in attempts %v", key, c.runs[key])
	}
}

// refused notes an error. "Not run" speaks of this attempt and all before it.
func (c *checker) refused(key string, attempt int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[err.Error()]++
	for _, ran := range c.runs[key] {
		if errors.Is(err, claim.ErrNotCounted) && ran <= attempt {
			c.fail("key %s: attempt %d was told that it had not run, after attempt %d ran", key, attempt, ran)
		}
	}
}

type opKind int

const (
	opRequest opKind = iota
	opCut
	opDeaf
	opSlow
	opHeal
	opOffline
	opOnline
	opFreeze
	opThaw
	opRestart
	opLose
	opSuspect
	opTrust
	opKinds
)

// op is one step of the adversary.
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
		return opKind(rapid.IntRange(1, int(opKinds)-1).Draw(t, "kind"))
	})
	one := rapid.Custom(func(t *rapid.T) op {
		return op{
			Kind: kind.Draw(t, "op"), A: rapid.IntRange(0, worldSize-1).Draw(t, "a"), B: rapid.IntRange(0, worldSize-1).Draw(t, "b"),
			Key: rapid.IntRange(0, 2).Draw(t, "key"), Digest: rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "digest"),
			End:   rapid.SampledFrom([]record.Outcome{record.OutcomeAnswered, record.OutcomeNotRun, record.OutcomeUnknown}).Draw(t, "end"),
			Work:  time.Duration(rapid.SampledFrom([]int{1, 500, 5000}).Draw(t, "work")) * time.Millisecond,
			After: time.Duration(rapid.SampledFrom([]int{0, 20, 700, 4000}).Draw(t, "after")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 5, 40).Draw(t, "ops")
}

// play runs the steps in a bubble of fake time and returns what was violated.
func play(t *testing.T, b breakage, mode claim.Mode, ops []op) (bad []string, outcomes map[string]int) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(b, mode)
		time.Sleep(5 * time.Second)
		for _, o := range ops {
			w.do(o, mode)
			if b.forceClose {
				w.closeByTimeout()
			}
			time.Sleep(o.After)
		}
		w.heal()
		time.Sleep(15 * time.Second)
		w.stop()
		bad, outcomes = w.checks.bad, w.checks.outcomes
	})
	return bad, outcomes
}

func (w *world) do(o op, mode claim.Mode) {
	link := [2]int{o.A, o.B}
	set := func(m map[[2]int]bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		m[link] = o.A != o.B
	}
	flag := func(f *[worldSize]bool, v bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		f[o.A] = v
	}
	switch o.Kind {
	case opRequest:
		w.request(w.at(o.A), o)
	case opCut:
		set(w.cut)
	case opDeaf:
		set(w.deaf)
	case opSlow:
		set(w.slow)
	case opHeal:
		w.mu.Lock()
		clear(w.cut)
		clear(w.deaf)
		clear(w.slow)
		w.mu.Unlock()
	case opOffline:
		flag(&w.offline, true)
	case opOnline:
		flag(&w.offline, false)
	case opSuspect:
		flag(&w.wrongly, true)
	case opTrust:
		flag(&w.wrongly, false)
	case opFreeze:
		w.at(o.A).freeze()
	case opThaw:
		w.at(o.A).thaw()
	case opRestart:
		n := w.kill(o.A)
		w.running.Go(func() { n.holder.Close(); _ = n.log.Close() })
		w.start(o.A, mode)
	case opLose:
		w.mu.Lock()
		w.lose++
		w.mu.Unlock()
	case opKinds:
	}
}

func (w *world) heal() {
	for slot := range worldSize {
		for _, kind := range []opKind{opHeal, opOnline, opTrust, opThaw} {
			w.do(op{Kind: kind, A: slot}, 0)
		}
	}
}

// request is a caller's attempt: it begins, runs and ends a call as package
// run does. First is only promised where it is true.
func (w *world) request(n *node, o op) {
	key := fmt.Sprint("key-", o.Key)
	c := &w.checks
	c.mu.Lock()
	attempt := c.attempts[key]
	c.attempts[key]++
	c.mu.Unlock()
	r := claim.Request{Key: record.RequestKey{Team: "t", Key: key}, Digest: o.Digest, Home: homeZone, First: attempt == 0}
	if w.broken.noDigest {
		r.Digest = 0
	}
	w.running.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
		defer cancel()
		if !n.alive() {
			return
		}
		ticket, err := n.fleet.Begin(ctx, r)
		if !n.alive() || w.ctx.Err() != nil {
			return
		}
		if w.broken.neverKnown && errors.Is(err, claim.ErrUnknown) {
			err = claim.ErrNotCounted
		}
		if err != nil {
			c.refused(key, attempt, err)
			return
		}
		c.took(key, o.Digest, ticket)
		if ticket.Join && !w.broken.blindRetry {
			return
		}
		w.run(n, r.Key, attempt, o)
	})
}

func (w *world) run(n *node, key record.RequestKey, attempt int, o op) {
	n.fleet.Place(w.ctx, key, "e")
	sleep(w.ctx, o.Work/2)
	if !n.alive() {
		return
	}
	if o.End != record.OutcomeNotRun {
		w.checks.ran(key.Key, attempt)
	}
	sleep(w.ctx, o.Work/2)
	if !n.alive() {
		return
	}
	end := o.End
	if w.broken.forgetEnded && end == record.OutcomeUnknown {
		end = record.OutcomeNotRun
	}
	n.fleet.End(w.ctx, key, claim.End{Outcome: end})
}

// cutOffHolder cuts one instance off from the platform alone, has its shard
// taken over if it holds one, and sends the same call through both sides.
func cutOffHolder(a int) []op {
	b := (a + 1) % worldSize
	call := op{Kind: opRequest, Digest: 1, End: record.OutcomeAnswered, Work: time.Millisecond, After: 4 * time.Second}
	there, here := call, call
	there.A, here.A = b, a
	return []op{
		{Kind: opOffline, A: a}, {Kind: opSuspect, A: a, After: 8 * time.Second}, {Kind: opTrust, A: a}, there, here,
	}
}

func TestCallsRunAtMostOnce(t *testing.T) {
	for name, mode := range map[string]claim.Mode{"serve": claim.Serve, "refuse": claim.Refuse} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if bad, _ := play(t, breakage{}, mode, genOps(rt)); len(bad) > 0 {
					rt.Fatal(bad)
				}
			})
		})
	}
}

// The checker finds each of these faults with some of a fixed row of seeds.
func TestCheckerSeesBrokenClaims(t *testing.T) {
	const seeds = 1000
	for name, b := range map[string]breakage{
		"sealed witness acknowledges":   {ackSealed: true},
		"takeover by timeout":           {forceClose: true},
		"unknown said to be not run":    {neverKnown: true},
		"bodies not compared":           {noDigest: true},
		"joined run is run again":       {blindRetry: true},
		"unknown outcome frees its key": {forgetEnded: true},
	} {
		t.Run(name, func(t *testing.T) {
			gen := rapid.Custom(genOps)
			for seed := range seeds {
				ops := gen.Example(seed)
				if seed < worldSize {
					ops = cutOffHolder(seed)
				}
				if bad, _ := play(t, b, claim.Serve, ops); len(bad) > 0 {
					t.Logf("seed %d: %s", seed, bad[0])
					return
				}
			}
			t.Fatal("not seen")
		})
	}
}
