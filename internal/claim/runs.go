package claim

import (
	"sync"
	"time"

	"guavapier/internal/record"
)

// maxUnloggedEnds bounds the ended runs that a runTable keeps while their outcomes
// are not on the log.
const maxUnloggedEnds = 1 << 16

// localRun is what this instance knows about a run that it executes.
type localRun struct {
	home       record.Zone
	run        record.RunID
	repeatable bool
	uncounted  bool
	endpoint   string // Where the run was last sent.
}

// endedRun is a run that was accepted here and whose outcome may not be on the log
// yet.
type endedRun struct {
	key        record.RequestKey
	outcome    record.Outcome
	answer     *Answer   // For retries; nil for none.
	reportedAt time.Time // When the run ended, or this instance last appended its end.
}

// beginsInProgress is the state of one key's calls of Begin at this instance.
type beginsInProgress struct {
	count int
	// fenced contains the runs that must not be accepted: this instance has
	// told a holder that it has not started them.
	fenced map[record.RunID]struct{}
}

// runTable contains the runs that this instance executes. It lets a holder learn
// whether a run whose outcome it lacks was ever started. It is safe for concurrent
// use.
//
// Invariants: a run is executed here only after accept has returned true for its
// ticket. A run that fence has reported as not started is never accepted later.
// A run that must not be repeated stays in the table until the fold has its
// outcome, unless it ended as not run.
type runTable struct {
	self record.InstanceID
	now  func() time.Time

	mu      sync.Mutex // Guards all below.
	running map[record.RequestKey]localRun
	ended   map[record.RunID]endedRun
	// answerBytes is the size of the bodies of the answers in ended.
	answerBytes int
	begins      map[record.RequestKey]*beginsInProgress
	// givenUp contains, by key, when an attempt was given up whose claim a holder
	// may have counted.
	givenUp map[record.RequestKey]time.Time
	// forgotten reports that a run was dropped from ended for lack of space. Runs
	// that are not in the table may then have been executed.
	forgotten bool
}

func newRunTable(self record.InstanceID, now func() time.Time) *runTable {
	return &runTable{
		self: self, now: now, givenUp: map[record.RequestKey]time.Time{},
		running: map[record.RequestKey]localRun{}, ended: map[record.RunID]endedRun{}, begins: map[record.RequestKey]*beginsInProgress{},
	}
}

// beginStarted records that a Begin for the key is in progress, which may bring a
// ticket for any run of the key. beginDone must follow.
func (t *runTable) beginStarted(key record.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.begins[key]
	if !ok {
		b = &beginsInProgress{fenced: map[record.RunID]struct{}{}}
		t.begins[key] = b
	}
	b.count++
}

// beginDone records that a Begin has returned. After the last one of a key no
// ticket can arrive for its fenced runs.
func (t *runTable) beginDone(key record.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.begins[key]
	b.count--
	if b.count == 0 {
		delete(t.begins, key)
	}
}

// accept records that this instance executes the run of a ticket, and returns
// false if the run has been fenced. It must be called between beginStarted and
// beginDone.
func (t *runTable) accept(r Request, ticket Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, fenced := t.begins[r.Key].fenced[ticket.Run]; fenced {
		return false
	}
	if earlier, ok := t.running[r.Key]; ok && earlier.run != ticket.Run {
		t.keepEnd(r.Key, earlier, record.OutcomeUnknown, nil) // Its end can no longer be told apart.
	}
	t.running[r.Key] = localRun{home: r.Home, run: ticket.Run, repeatable: r.Repeatable, uncounted: ticket.Uncounted}
	return true
}

// place records the endpoint of the key's run. It returns false if none is
// executed here.
func (t *runTable) place(key record.RequestKey, endpoint string) (localRun, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local, ok := t.running[key]
	if ok {
		local.endpoint = endpoint
		t.running[key] = local
	}
	return local, ok
}

// end records the outcome of the key's run. It returns false if none is executed
// here.
func (t *runTable) end(key record.RequestKey, outcome record.Outcome, answer *Answer) (localRun, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local, ok := t.running[key]
	if ok {
		delete(t.running, key)
		t.keepEnd(key, local, outcome, answer)
	}
	return local, ok
}

// keepEnd keeps the outcome of a run that must not be repeated, and its answer up
// to maxTotalAnswerBytes for all runs. t.mu must be held.
func (t *runTable) keepEnd(key record.RequestKey, local localRun, outcome record.Outcome, answer *Answer) {
	if answer != nil && t.answerBytes+len(answer.Body) > maxTotalAnswerBytes {
		answer = nil
	}
	switch {
	case local.repeatable || local.uncounted:
	case len(t.ended) >= maxUnloggedEnds:
		t.forgotten = t.forgotten || outcome != record.OutcomeNotRun
	default:
		t.ended[local.run] = endedRun{key: key, outcome: outcome, answer: answer, reportedAt: t.now()}
		t.answerBytes += answer.size()
	}
}

// forget drops an ended run. t.mu must be held.
func (t *runTable) forget(run record.RunID) {
	t.answerBytes -= t.ended[run].answer.size()
	delete(t.ended, run)
}

// giveUp records that an attempt has ended without a ticket although a holder may
// have counted its claim.
func (t *runTable) giveUp(key record.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.givenUp[key] = t.now()
}

// isRunning reports whether this instance executes the run.
func (t *runTable) isRunning(key record.RequestKey, run record.RunID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	local, ok := t.running[key]
	return ok && local.run == run
}

// fence returns what this instance knows about a run that must not be repeated;
// it leaves RunningReply.NextOffset unset. If the run was not started here, it
// never will be: a ticket that is still on its way is not accepted. The zero value
// means that the instance does not know.
func (t *runTable) fence(key record.RequestKey, run record.RunID) RunningReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fenceLocked(key, run)
}

// fenceLocked is fence with t.mu held.
func (t *runTable) fenceLocked(key record.RequestKey, run record.RunID) RunningReply {
	if local, ok := t.running[key]; ok && local.run == run {
		return RunningReply{Running: true}
	}
	if ended, ok := t.ended[run]; ok && ended.outcome != record.OutcomeNotRun {
		return RunningReply{Outcome: ended.outcome, Answer: ended.answer}
	}
	if t.forgotten {
		return RunningReply{}
	}
	if b, ok := t.begins[key]; ok {
		b.fenced[run] = struct{}{}
	}
	return RunningReply{NotStarted: true}
}
