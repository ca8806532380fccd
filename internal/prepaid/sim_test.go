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

// simHost is a simulated host with its clocks.
type simHost struct {
	node            string
	bootedAt        time.Duration // Simulated time of the last boot.
	bootClockAtBoot time.Duration // Reading of the boot clock at that time.
	boots           int
	wallOffsetMS    int64 // Wall clock minus simulated time.
}

// simProcess is one process of an instance, from its start to its end.
type simProcess struct {
	*prepaid.Accounts
	key          record.InstanceID
	host         *simHost
	alive        bool
	nextOffset   int                  // Offset of the next log record to read.
	pending      *prepaid.ClaimRecord // Record being written.
	logged       bool                 // The pending record is on the log.
	reservations []int64              // Tokens of the requests in flight.
	settled      int64                // Tokens used by ended requests.
}

// logEntry is a record on the simulated log.
type logEntry struct {
	key    record.InstanceID
	record *prepaid.ClaimRecord
}

// testFailer is implemented by *testing.T and *rapid.T.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simFleet is a simulated fleet with its log and its clocks.
type simFleet struct {
	t            testFailer
	now          time.Duration
	log          []logEntry
	lateWrites   []logEntry // Writes of killed processes that may still arrive.
	hosts        []*simHost
	processes    []*simProcess
	prepaidTotal int64
	maxPrepaid   int64 // Highest prepaid total so far.
	usedByEnded  int64 // Tokens used by ended processes.
}

// newSimFleet starts one process per skew. Skews are wall clock offsets in milliseconds.
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

// clocks returns the clocks of a host in its current boot.
func (f *simFleet) clocks(host *simHost) prepaid.Clocks {
	return prepaid.Clocks{
		BootID:    fmt.Sprintf("%s-%d", host.node, host.boots),
		SinceBoot: func() time.Duration { return host.bootClockAtBoot + f.now - host.bootedAt },
		Wall:      func() int64 { return f.now.Milliseconds() + host.wallOffsetMS },
	}
}

// start starts a new process on a host.
func (f *simFleet) start(host *simHost) {
	p := &simProcess{host: host, key: record.InstanceID(fmt.Sprintf("%s.%d", host.node, len(f.processes))), alive: true}
	self := prepaid.Identity{Key: p.key, Node: host.node, Started: int64(len(f.processes)), Peer: string(p.key)}
	p.Accounts = prepaid.NewAccounts(self, prepaid.DefaultPolicy(), f.clocks(host))
	p.SetPrepaid(map[record.Team]int64{team: f.prepaidTotal})
	f.processes = append(f.processes, p)
	f.reloadLog(p)
}

// reloadLog makes a process read the newest records, as after a loss of history.
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

// kill ends a process. Its unwritten record may still arrive later.
func (f *simFleet) kill(p *simProcess) {
	p.alive = false
	f.usedByEnded += p.settled + p.reserved() // Callers may have received the output of all of its requests in flight.
	if p.pending != nil && !p.logged {
		f.lateWrites = append(f.lateWrites, logEntry{p.key, p.pending})
	}
}

// reserved is the sum that the requests in flight may use.
func (p *simProcess) reserved() (sum int64) {
	for _, r := range p.reservations {
		sum += r
	}
	return sum
}

// livingOn returns the living process of a host, or nil.
func (f *simFleet) livingOn(host *simHost) *simProcess {
	for _, p := range f.processes {
		if p.host == host && p.alive {
			return p
		}
	}
	return nil
}

// write appends the pending record to the log once, and acknowledges it if answered.
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

// follow applies new log records, unless the process is a member of its zone.
func (p *simProcess) follow(f *simFleet) {
	if p.Role() == allocator.Member {
		return
	}
	for ; p.nextOffset < len(f.log); p.nextOffset++ {
		p.Apply(f.log[p.nextOffset].key, f.log[p.nextOffset].record, f.now)
	}
	p.MarkCaughtUp(f.now)
}

// totalUsed is what all processes have used, requests in flight at their maximum.
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

// checkNotOverspent fails the test if more was used than ever prepaid.
func (f *simFleet) checkNotOverspent() {
	if total := f.totalUsed(); total > f.maxPrepaid {
		f.t.Fatalf("overspent: used %d of %d tokens at %s", total, f.maxPrepaid, f.now)
	}
}

// pick draws a living process; nil if there is none.
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

// occasionally is true for one draw in five.
func occasionally(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "seldom") == 0 }

// drawBusyArgs draws arguments of runBusy.
func drawBusyArgs(t *rapid.T, cutOff map[*simHost]bool) (size int64, rounds int, _ map[*simHost]bool) {
	return int64(rapid.IntRange(50, 3000).Draw(t, "request")), rapid.IntRange(1, 25).Draw(t, "rounds"), cutOff
}

// runBusy simulates rounds of 150 ms in which every living process serves all it can.
func (f *simFleet) runBusy(size int64, rounds int, cutOff map[*simHost]bool) {
	for range rounds {
		f.now += 150 * time.Millisecond
		for _, p := range f.processes {
			if p.alive {
				p.serveRound(f, size, cutOff[p.host])
			}
		}
		f.checkNotOverspent()
	}
}

// serveRound reserves tokens for four requests, settles old ones and, unless cut off, writes,
// reads and reclaims.
func (p *simProcess) serveRound(f *simFleet, size int64, cutOff bool) {
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
	if cutOff {
		return
	}
	p.write(f, true)
	p.follow(f)
	for _, r := range p.Reclaims(f.now) {
		final := r.Statement
		f.log = append(f.log, logEntry{r.Key, &final})
	}
}
