package prepaid_test

import (
	"errors"
	"testing"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// newSteadyFleet returns a fleet that has served requests for some seconds.
func newSteadyFleet(t *testing.T, hosts int) *simFleet {
	t.Helper()
	f := newSimFleet(t, make([]int64, hosts)...)
	f.runBusy(60, 20, nil)
	return f
}

// powerCycle cuts the power of all hosts for a time and starts a new process on each.
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

// reclaimableTokens returns how many tokens the living processes would reclaim from their
// predecessors after they have observed each other's clocks.
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

// exchangeRecords lets the living processes write and read records without reclaiming.
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

// Without reclaiming, a power loss of all hosts loses all held tokens: 20 % and more of each
// budget.
func TestPowerLossOfAllGivesBackWhatWasHeld(t *testing.T) {
	f := newSteadyFleet(t, 4)
	var held int64
	for _, p := range f.processes {
		for _, b := range p.Balances(f.now) {
			held += b.Claimed - b.Settled - b.Reserved
		}
	}
	f.powerCycle(1300 * time.Millisecond)
	// Bounds run ahead by 0.19 of what remained when they were prepared, 0.2 s earlier:
	// at most 0.25 of what remains now.
	left := f.prepaidTotal - f.totalUsed()
	if got := f.reclaimableTokens(); held-got > left/4 {
		t.Errorf("reclaimed %d of %d held tokens with %d remaining; want all but a quarter of the remainder", got, held, left)
	}
	f.runBusy(500, 400, nil)
}

// All processes are cut off for some time, use all that they may, and then lose power together.
// Reclaiming must leave each at least what it has used, and reclaim nothing once a process may
// have used all that it held.
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
					t.Errorf("after a partition of %s, %s keeps %d tokens and has used %d", time.Duration(rounds)*round, r.Key, kept, used[r.Key])
				}
				if rounds == 220 {
					t.Errorf("reclaimed %d tokens of a process that may have used all", r.Tokens)
				}
			}
		}
		f.runBusy(500, 400, nil)
		if f.totalUsed() < f.prepaidTotal*9/10 {
			t.Errorf("after a partition of %s only %d of %d tokens were used in the end, want nine tenths", time.Duration(rounds)*round, f.totalUsed(), f.prepaidTotal)
		}
	}
}

// checkReclaimedAge power-cycles all hosts for 0.3 s after the process on one of them was not
// renewed for a time, and checks that its successor does not underestimate the age of the last
// renewal.
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
			f.t.Fatalf("age taken as %s, %d tokens kept of %d used", r.Age, kept, used)
		}
	}
}

// A wall clock that is set back during a power loss makes a long loss look short.
func TestAClockSetBackDoesNotMakeAProcessYoung(t *testing.T) {
	f := newSteadyFleet(t, 5)
	host := f.hosts[0]
	cutOff := map[*simHost]bool{host: true}
	f.runBusy(2000, 24, cutOff)
	host.wallOffsetMS -= 2500
	f.checkReclaimedAge(host, 24*150*time.Millisecond)
	f.runBusy(500, 400, nil)
}

// A wall clock that is set ahead while its process reaches the log, and back again during the
// power loss, makes the loss look short as well.
func TestAClockSetAheadAndBackDoesNotMakeAProcessYoung(t *testing.T) {
	f := newSteadyFleet(t, 5)
	one := f.hosts[0]
	one.wallOffsetMS += 3000
	f.runBusy(60, 3, nil)
	cutOff := map[*simHost]bool{one: true}
	f.runBusy(2000, 24, cutOff)
	one.wallOffsetMS -= 3000
	f.checkReclaimedAge(one, 24*150*time.Millisecond)
}

// A single host cannot check its wall clock against others, so nothing is reclaimed after a
// power loss.
func TestOneMachineTrustsNoClockAcrossAPowerLoss(t *testing.T) {
	f := newSteadyFleet(t, 1)
	f.powerCycle(time.Second)
	if got := f.reclaimableTokens(); got != 0 {
		t.Errorf("reclaimed %d tokens on the basis of one clock, want 0", got)
	}
}

// After a kill without a reboot, the boot clock alone suffices for reclaiming.
func TestAKilledProcessGivesBackByTheBootClock(t *testing.T) {
	f := newSteadyFleet(t, 1)
	f.kill(f.processes[0])
	f.now += 500 * time.Millisecond
	f.start(f.hosts[0])
	if got := f.reclaimableTokens(); got == 0 {
		t.Error("reclaimed nothing")
	}
	f.runBusy(500, 400, nil)
}

// What a dead process holds may have been used, and nobody can reclaim it any more. A request
// that would need it is refused as exhausted rather than told to retry.
func TestWhatADeadProcessHoldsIsSpent(t *testing.T) {
	f := newSteadyFleet(t, 2)
	f.runBusy(2000, 30, nil)
	dead := f.processes[0]
	f.kill(dead)
	f.now += time.Minute // Too long to determine what it used.
	f.start(dead.host)
	f.exchangeRecords()
	live := f.processes[1]
	// Fits into what settled requests have left.
	fits := f.prepaidTotal - live.settled - dead.settled - 1
	if err := live.Reserve(team, fits, f.now); !errors.Is(err, prepaid.ErrExhausted) {
		t.Errorf("got error %v, want %v", err, prepaid.ErrExhausted)
	}
}
