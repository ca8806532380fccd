package prepaid_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/allocator"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

const team = record.Team("dala")

// simHost is one host with its clocks.
type simHost struct {
	node            string
	bootedAt        time.Duration // Of the world's time at its last boot.
	bootClockAtBoot time.Duration // What its boot clock showed then.
	boots           int
	wallOffsetMS    int64 // Its time of day minus the world's time.
}

// simProcess is one life of an instance.
type simProcess struct {
	*prepaid.Accounts
	key          record.InstanceID
	host         *simHost
	alive        bool
	nextOffset   int                  // Offset of the next record.
	pending      *prepaid.ClaimRecord // Being written.
	logged       bool                 // The pending statement is on the log.
	reservations []int64              // Reservations.
	settled      int64                // What it has used for good.
}

type logEntry struct {
	key    record.InstanceID
	record *prepaid.ClaimRecord
}

// testFailer is a test of either kind.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simFleet is a fleet, its log and its clocks.
type simFleet struct {
	t            testFailer
	now          time.Duration
	log          []logEntry
	lateWrites   []logEntry // Writes that may still arrive.
	hosts        []*simHost
	processes    []*simProcess
	prepaidTotal int64
	maxPrepaid   int64 // The highest total ever.
	usedByEnded  int64 // By processes that have ended.
}

func newSimFleet(t testFailer, skews ...int64) *simFleet {
	f := &simFleet{t: t, now: time.Hour, prepaidTotal: 100_000, maxPrepaid: 100_000}
	for i, skew := range skews {
		f.hosts = append(f.hosts, &simHost{node: fmt.Sprintf("node-%d", i), wallOffsetMS: skew, bootClockAtBoot: time.Duration(i+1) * time.Hour})
	}
	for _, host := range f.hosts {
		f.start(host)
	}
	return f
}

func (f *simFleet) clocks(host *simHost) prepaid.Clocks {
	return prepaid.Clocks{
		BootID:    fmt.Sprintf("%s-%d", host.node, host.boots),
		SinceBoot: func() time.Duration { return host.bootClockAtBoot + f.now - host.bootedAt },
		Wall:      func() int64 { return f.now.Milliseconds() + host.wallOffsetMS },
	}
}

func (f *simFleet) start(host *simHost) {
	p := &simProcess{host: host, key: record.InstanceID(fmt.Sprintf("%s.%d", host.node, len(f.processes))), alive: true}
	self := prepaid.Identity{Key: p.key, Node: host.node, Started: int64(len(f.processes)), Peer: string(p.key)}
	p.Accounts = prepaid.NewAccounts(self, prepaid.DefaultPolicy(), f.clocks(host))
	p.SetPrepaid(map[record.Team]int64{team: f.prepaidTotal})
	f.processes = append(f.processes, p)
	f.reloadLog(p)
}

// reloadLog has the process read the newest statements.
func (f *simFleet) reloadLog(p *simProcess) {
	newest := map[record.InstanceID]*prepaid.ClaimRecord{}
	for _, e := range f.log {
		newest[e.key] = e.record
	}
	p.ResetOthers()
	for key, rec := range newest {
		p.Apply(key, rec, f.now)
	}
	p.MarkCaughtUp(f.now)
	p.nextOffset = len(f.log)
}

func (f *simFleet) kill(p *simProcess) {
	p.alive = false
	f.usedByEnded += p.settled + p.reserved() // Its callers may have had all of that.
	if p.pending != nil && !p.logged {
		f.lateWrites = append(f.lateWrites, logEntry{p.key, p.pending})
	}
}

// reserved is what its running requests may use.
func (p *simProcess) reserved() (sum int64) {
	for _, r := range p.reservations {
		sum += r
	}
	return sum
}

func (f *simFleet) livingOn(host *simHost) *simProcess {
	for _, p := range f.processes {
		if p.host == host && p.alive {
			return p
		}
	}
	return nil
}

// write brings the pending statement onto the log, once, and answers if told.
func (p *simProcess) write(f *simFleet, answered bool) {
	if p.pending == nil {
		if p.pending = p.NextRecord(f.now); p.pending == nil {
			return
		}
		p.logged = false
	}
	if !p.logged {
		p.logged = true
		f.log = append(f.log, logEntry{p.key, p.pending})
	}
	if answered {
		p.MarkAcknowledged(p.pending, f.now)
		p.pending = nil
	}
}

// follow reads the log, unless the process is a member of its zone.
func (p *simProcess) follow(f *simFleet) {
	if p.Role() == allocator.Member {
		return
	}
	for ; p.nextOffset < len(f.log); p.nextOffset++ {
		p.Apply(f.log[p.nextOffset].key, f.log[p.nextOffset].record, f.now)
	}
	p.MarkCaughtUp(f.now)
}

func (f *simFleet) totalUsed() int64 {
	sum := f.usedByEnded
	for _, p := range f.processes {
		if !p.alive {
			continue
		}
		sum += p.settled + p.reserved()
	}
	return sum
}

func (f *simFleet) checkNotOverspent() {
	if total := f.totalUsed(); total > f.maxPrepaid {
		f.t.Fatalf("used %d of %d at %s", total, f.maxPrepaid, f.now)
	}
}

func (f *simFleet) pick(t *rapid.T) *simProcess {
	var alive []*simProcess
	for _, p := range f.processes {
		if p.alive {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "process")]
}

func occasionally(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "seldom") == 0 }

func drawBusyArgs(t *rapid.T, cut map[*simHost]bool) (size int64, rounds int, _ map[*simHost]bool) {
	return int64(rapid.IntRange(50, 3000).Draw(t, "request")), rapid.IntRange(1, 25).Draw(t, "rounds"), cut
}

// runBusy plays some seconds in which every living process serves all it can.
func (f *simFleet) runBusy(size int64, rounds int, cut map[*simHost]bool) {
	for range rounds {
		f.now += 150 * time.Millisecond
		for _, p := range f.processes {
			if p.alive {
				p.serveRound(f, size, cut[p.host])
			}
		}
		f.checkNotOverspent()
	}
}

// serveRound reserves for a few requests, ends some and does the log's work.
func (p *simProcess) serveRound(f *simFleet, size int64, cut bool) {
	for i := range int64(4) {
		if p.Reserve(team, size+i, f.now) == nil {
			p.reservations = append(p.reservations, size+i)
		} else {
			p.AddShortfall(team, size)
			defer p.AddShortfall(team, -size)
		}
	}
	for len(p.reservations) > 3 {
		n := p.reservations[0]
		p.reservations = p.reservations[1:]
		p.Settle(team, n, n)
		p.settled += n
	}
	if cut {
		return
	}
	p.write(f, true)
	p.follow(f)
	for _, r := range p.Reclaims(f.now) {
		final := r.Statement
		f.log = append(f.log, logEntry{r.Key, &final})
	}
}
