package prepaid_test

import (
	"errors"
	"testing"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// newSteadyFleet is a fleet of so many machines that has worked for some seconds.
func newSteadyFleet(t *testing.T, hosts int) *simFleet {
	t.Helper()
	f := newSimFleet(t, make([]int64, hosts)...)
	f.runBusy(60, 20, nil)
	return f
}

// powerCycle takes power from all machines for so long and starts them again.
func (f *simFleet) powerCycle(down time.Duration) {
	for i, host := range f.hosts {
		if p := f.livingOn(host); p != nil {
			f.kill(p)
		}
		host.boots++
		host.bootedAt, host.bootClockAtBoot = f.now, time.Duration(i)*time.Minute
	}
	f.now += down
	for _, host := range f.hosts {
		f.start(host)
	}
}

// reclaimableTokens is what the living processes give back for their predecessors,
// after they have heard each other's clocks.
func (f *simFleet) reclaimableTokens() (tokens int64) {
	f.exchangeRecords()
	for _, p := range f.processes {
		if !p.alive {
			continue
		}
		for _, r := range p.Reclaims(f.now) {
			tokens += r.Tokens
		}
	}
	return tokens
}

// exchangeRecords lets the living processes write and read without reclaiming.
func (f *simFleet) exchangeRecords() {
	for range 3 {
		f.now += 400 * time.Millisecond
		for _, p := range f.processes {
			if p.alive {
				p.write(f, true)
				p.follow(f)
			}
		}
	}
}

// Without what goes back, the loss of all machines strands what all of them
// held: 20 % and more of each budget.
func TestPowerLossOfAllGivesBackWhatWasHeld(t *testing.T) {
	f := newSteadyFleet(t, 4)
	var held int64
	for _, p := range f.processes {
		for _, b := range p.Balances(f.now) {
			held += b.Claimed - b.Settled - b.Reserved
		}
	}
	f.powerCycle(1300 * time.Millisecond)
	// Marks run ahead by 0.19 of what was left when they were drafted, 0.2 s
	// before: at most 0.25 of what is left now.
	left := f.prepaidTotal - f.totalUsed()
	if got := f.reclaimableTokens(); held-got > left/4 {
		t.Errorf("gave back %d of %d held, with %d left", got, held, left)
	}
	f.runBusy(500, 400, nil)
}

// Processes that live on behind a cut for so long, use all that they may and then
// lose their power together: what goes back leaves each of them at least what it
// has used, and nothing once they may have used all that they held.
func TestNothingGoesBackThatMayHaveBeenUsed(t *testing.T) {
	const round, down = 150 * time.Millisecond, 300 * time.Millisecond
	for _, rounds := range []int{0, 1, 3, 6, 10, 14, 20, 21, 28, 40, 80, 199, 220} {
		f := newSteadyFleet(t, 4)
		f.runBusy(200, rounds, allHosts(f))
		used := map[record.InstanceID]int64{}
		for _, p := range f.processes {
			used[p.key] = p.settled + p.reserved()
		}
		f.powerCycle(down)
		f.exchangeRecords()
		for _, p := range f.processes {
			if !p.alive {
				continue
			}
			for _, r := range p.Reclaims(f.now) {
				claim := r.Statement.Claims[0]
				if kept := claim.Claimed + claim.Received - claim.Transferred; kept < used[r.Key] {
					t.Errorf("after %s behind a cut %s keeps %d of %d used", time.Duration(rounds)*round, r.Key, kept, used[r.Key])
				}
				if rounds == 220 {
					t.Errorf("gave back %d tokens of a process that may have used all", r.Tokens)
				}
			}
		}
		f.runBusy(500, 400, nil)
		if f.totalUsed() < f.prepaidTotal*9/10 {
			t.Errorf("after %s behind a cut %d of %d were used in the end: the fleet did not look for the rest", time.Duration(rounds)*round, f.totalUsed(), f.prepaidTotal)
		}
	}
}

// checkReclaimedAge takes power from all machines 0.3 s after the machine's process has
// been out of touch for so long, and checks that its successor does not take it
// for younger.
func (f *simFleet) checkReclaimedAge(host *simHost, unrenewedFor time.Duration) {
	f.t.Helper()
	const down = 300 * time.Millisecond
	dead := f.livingOn(host)
	used := dead.settled + dead.reserved()
	f.powerCycle(down)
	f.exchangeRecords()
	for _, r := range f.livingOn(host).Reclaims(f.now) {
		claim := r.Statement.Claims[0]
		if kept := claim.Claimed + claim.Received - claim.Transferred; r.Age < unrenewedFor+down || kept < used {
			f.t.Fatalf("taken for %s old, left with %d of %d used", r.Age, kept, used)
		}
	}
}

// A clock that is set back across the loss makes a long loss look short.
func TestAClockSetBackDoesNotMakeAProcessYoung(t *testing.T) {
	f := newSteadyFleet(t, 5)
	host := f.hosts[0]
	cut := map[*simHost]bool{host: true}
	f.runBusy(2000, 24, cut)
	host.wallOffsetMS -= 2500
	f.checkReclaimedAge(host, 24*150*time.Millisecond)
	f.runBusy(500, 400, nil)
}

// A clock that is set ahead while its process is in touch, and back again during
// the loss, does the same.
func TestAClockSetAheadAndBackDoesNotMakeAProcessYoung(t *testing.T) {
	f := newSteadyFleet(t, 5)
	one := f.hosts[0]
	one.wallOffsetMS += 3000
	f.runBusy(60, 3, nil)
	cut := map[*simHost]bool{one: true}
	f.runBusy(2000, 24, cut)
	one.wallOffsetMS -= 3000
	f.checkReclaimedAge(one, 24*150*time.Millisecond)
}

// One machine alone can't check its clock, so nothing goes back.
func TestOneMachineTrustsNoClockAcrossAPowerLoss(t *testing.T) {
	f := newSteadyFleet(t, 1)
	f.powerCycle(time.Second)
	if got := f.reclaimableTokens(); got != 0 {
		t.Errorf("gave back %d tokens on the word of one clock", got)
	}
}

// A process that is killed alone comes back under the same boot.
func TestAKilledProcessGivesBackByTheBootClock(t *testing.T) {
	f := newSteadyFleet(t, 1)
	f.kill(f.processes[0])
	f.now += 500 * time.Millisecond
	f.start(f.hosts[0])
	if got := f.reclaimableTokens(); got == 0 {
		t.Error("gave nothing back")
	}
	f.runBusy(500, 400, nil)
}

// What a dead process holds may have been used, and nobody will free it: a
// request that would need it is refused for good, not asked to come back.
func TestWhatADeadProcessHoldsIsSpent(t *testing.T) {
	f := newSteadyFleet(t, 2)
	f.runBusy(2000, 30, nil)
	dead := f.processes[0]
	f.kill(dead)
	f.now += time.Minute // Too long to tell what it used.
	f.start(dead.host)
	f.exchangeRecords()
	live := f.processes[1]
	// It would fit into what ended requests have left.
	fits := f.prepaidTotal - live.settled - dead.settled - 1
	if err := live.Reserve(team, fits, f.now); !errors.Is(err, prepaid.ErrExhausted) {
		t.Errorf("got %v, want %v", err, prepaid.ErrExhausted)
	}
}
