package prepaid_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// fleetModel is the simulated fleet of the model-based test, with the faults in effect.
type fleetModel struct {
	*simFleet
	cutOff    map[*simHost]bool
	clocksSet int // Number of hosts whose wall clocks were set.
}

func (f *fleetModel) reserve(t *rapid.T) {
	if p := f.pick(t); p != nil {
		n := int64(rapid.IntRange(1, 9000).Draw(t, "tokens"))
		if p.Reserve(team, n, f.now) == nil {
			p.reservations = append(p.reservations, n)
		}
	}
}

func (f *fleetModel) settle(t *rapid.T) {
	if p := f.pick(t); p != nil && len(p.reservations) > 0 {
		n := p.reservations[0]
		used := n * int64(rapid.IntRange(0, 4).Draw(t, "quarters")) / 4
		p.reservations = p.reservations[1:]
		p.Settle(team, n, used)
		p.settled += used
	}
}

func (f *fleetModel) writeRecord(t *rapid.T) {
	if p := f.pick(t); p != nil && !f.cutOff[p.host] {
		p.write(f.simFleet, rapid.IntRange(0, 3).Draw(t, "answered") > 0)
	}
}

func (f *fleetModel) follow(t *rapid.T) {
	if p := f.pick(t); p != nil && !f.cutOff[p.host] {
		p.follow(f.simFleet)
	}
}

func (f *fleetModel) lateWriteArrives(_ *rapid.T) {
	if len(f.lateWrites) > 0 {
		f.log = append(f.log, f.lateWrites[0])
		f.lateWrites = f.lateWrites[1:]
	}
}

func (f *fleetModel) reclaim(t *rapid.T) {
	p := f.pick(t)
	if p == nil || f.cutOff[p.host] {
		return
	}
	for _, r := range p.Reclaims(f.now) {
		final := r.Statement
		f.log = append(f.log, logEntry{r.Key, &final})
	}
}

func (f *fleetModel) timePasses(t *rapid.T) {
	f.now += time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond
}

func (f *fleetModel) toggleCutOff(t *rapid.T) {
	host := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "machine")]
	f.cutOff[host] = !f.cutOff[host]
}

func (f *fleetModel) killOne(t *rapid.T) {
	if p := f.pick(t); p != nil && occasionally(t) {
		f.kill(p)
	}
}

func (f *fleetModel) powerOff(t *rapid.T) {
	if !occasionally(t) {
		return
	}
	all := rapid.Bool().Draw(t, "all")
	down := time.Duration(rapid.IntRange(300, 5000).Draw(t, "down ms")) * time.Millisecond
	chosen := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "machine")]
	for _, host := range f.hosts {
		if !all && host != chosen {
			continue
		}
		if p := f.livingOn(host); p != nil {
			f.kill(p)
		}
		host.boots++
		host.bootedAt, host.bootClockAtBoot = f.now, time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "boot s"))*time.Second
	}
	f.now += down
}

func (f *fleetModel) startAll(_ *rapid.T) {
	for _, host := range f.hosts {
		if f.livingOn(host) == nil && !f.cutOff[host] {
			f.start(host)
		}
	}
}

func (f *fleetModel) clockIsSet(t *rapid.T) {
	// Fewer than half of the hosts, so that the median stays correct.
	if 2*(f.clocksSet+1) >= len(f.hosts) {
		return
	}
	f.hosts[f.clocksSet].wallOffsetMS += int64(rapid.SampledFrom([]int{-2000, 2000, -3500}).Draw(t, "step"))
	f.clocksSet++
}

func (f *fleetModel) transferBetweenPeers(t *rapid.T) {
	from, to := f.pick(t), f.pick(t)
	if from == nil || from == to {
		return
	}
	total := from.Transfer(to.key, team, int64(rapid.IntRange(1, 20_000).Draw(t, "asked")), f.now)
	if rapid.Bool().Draw(t, "reply arrives") {
		to.Receive(from.key, team, total)
	}
}

func (f *fleetModel) handOver(t *rapid.T) {
	from, to := f.pick(t), f.pick(t)
	if from == nil || from == to || !occasionally(t) {
		return
	}
	totals := from.TransferAll(to.key, f.now)
	if rapid.Bool().Draw(t, "call arrives") {
		to.Receive(from.key, team, totals[team])
	}
	f.kill(from)
}

func (f *fleetModel) closeProcess(t *rapid.T) {
	p := f.pick(t)
	if p == nil || f.cutOff[p.host] || len(p.reservations) > 0 || p.pending != nil || !occasionally(t) {
		return
	}
	f.log = append(f.log, logEntry{p.key, p.Close(f.now)})
	f.kill(p)
}

func (f *fleetModel) leave(t *rapid.T) {
	if p := f.pick(t); p != nil && occasionally(t) {
		p.Leave()
	}
}

func (f *fleetModel) totalChanges(t *rapid.T) {
	f.prepaidTotal += int64(rapid.SampledFrom([]int{-30_000, 50_000}).Draw(t, "by"))
	f.prepaidTotal = max(f.prepaidTotal, 10_000)
	f.maxPrepaid = max(f.maxPrepaid, f.prepaidTotal)
	for _, p := range f.processes {
		if p.alive && !f.cutOff[p.host] {
			p.SetPrepaid(map[record.Team]int64{team: f.prepaidTotal})
		}
	}
}

func (f *fleetModel) historyIsLost(t *rapid.T) {
	p := f.pick(t)
	if p == nil || f.cutOff[p.host] || p.Role() == allocator.Member {
		return
	}
	f.reloadLog(p)
}

// roleChanges makes a process a member of its zone, which does not read the log, or a claimant
// or allocator again, which reads it anew.
func (f *fleetModel) roleChanges(t *rapid.T) {
	p := f.pick(t)
	if p == nil || f.cutOff[p.host] {
		return
	}
	if p.Role() != allocator.Member {
		p.SetRole(allocator.Member)
		return
	}
	p.SetRole(rapid.SampledFrom([]allocator.Role{allocator.Claimant, allocator.Allocator}).Draw(t, "role"))
	f.reloadLog(p)
}

// memberWithdraws transfers tokens from an allocator to a member, and the member's excess back.
func (f *fleetModel) memberWithdraws(t *rapid.T) {
	from, to := f.pick(t), f.pick(t)
	if from == nil || from == to || from.Role() != allocator.Allocator || to.Role() != allocator.Member {
		return
	}
	tokens := int64(rapid.IntRange(1, 20_000).Draw(t, "tokens"))
	total, _ := from.TransferToMember(to.key, team, to.WithdrawalNeed(team, tokens, f.now), f.now)
	if rapid.Bool().Draw(t, "reply arrives") {
		to.Receive(from.key, team, total)
		to.SetHeadroom(team, from.Headroom(team, f.now))
		to.ObserveStatus(from.Status(f.now), f.now)
	}
	excess := to.TransferExcess(from.key, rapid.Bool().Draw(t, "all"), f.now)
	if rapid.Bool().Draw(t, "spare arrives") {
		from.AcceptReturn(to.key, team, excess[team], f.now)
	}
}

func (f *fleetModel) busySeconds(t *rapid.T) { f.runBusy(drawBusyArgs(t, f.cutOff)) }

// TestNothingOverspends runs random sequences of lost acknowledgements, late writes, partitions
// of any length, kills, power losses, clock changes, lost replies of peers and changes of the
// prepaid total. At no point may more tokens be used than were ever prepaid.
func TestNothingOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skews := rapid.SliceOfN(rapid.Int64Range(-3000, 3000), 1, 5).Draw(t, "skews")
		f := &fleetModel{simFleet: newSimFleet(t, skews...), cutOff: map[*simHost]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"":                   func(*rapid.T) { f.checkNotOverspent() },
			"busy seconds":       f.busySeconds,
			"more busy seconds":  f.busySeconds,
			"reserve":            f.reserve,
			"settle":             f.settle,
			"write":              f.writeRecord,
			"follow":             f.follow,
			"late write arrives": f.lateWriteArrives,
			"reclaim":            f.reclaim,
			"time passes":        f.timePasses,
			"cut":                f.toggleCutOff,
			"kill":               f.killOne,
			"power off":          f.powerOff,
			"start":              f.startAll,
			"clock is set":       f.clockIsSet,
			"peers give":         f.transferBetweenPeers,
			"hand over":          f.handOver,
			"close":              f.closeProcess,
			"leave":              f.leave,
			"total changes":      f.totalChanges,
			"history is lost":    f.historyIsLost,
			"role changes":       f.roleChanges,
			"more role changes":  f.roleChanges,
			"member draws":       f.memberWithdraws,
			"more draws":         f.memberWithdraws,
		})
	})
}
