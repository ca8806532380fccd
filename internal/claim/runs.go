package claim

import (
	"sync"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// maxUnloggedEnds bounds the ended runs that a runTable keeps while their
// outcomes are not on the log.
const maxUnloggedEnds = 1 << 16

// localRun is what this instance knows about a run that it executes.
type localRun struct {
	home       record.Zone
	run        record.RunID
	repeatable bool
	uncounted  bool
	endpoint   string // Where the run was last sent.
}

// endedRun is a run that was executed here and whose outcome may not be on the
// log yet.
type endedRun struct {
	key     record.RequestKey
	outcome record.Outcome
}

// beginsInProgress is the state of one key's calls of Begin at this instance.
type beginsInProgress struct {
	count int
	// disowned contains the runs that must not be accepted: this instance has
	// told the holder that it does not execute them.
	disowned map[record.RunID]struct{}
}

// runTable contains the runs that this instance executes. It lets a holder learn
// whether a run whose outcome it lacks was ever begun. It is safe for concurrent
// use.
//
// Invariants: a run is executed here only after accept has returned true for its
// ticket. A run that disown has reported as not started is never accepted later.
// A run that must not be repeated stays in the table until the fold has its
// outcome, unless it ended as not run.
type runTable struct {
	mu      sync.Mutex // Guards all below.
	running map[record.RequestKey]localRun
	ended   map[record.RunID]endedRun
	begins  map[record.RequestKey]*beginsInProgress
	// forgotten reports that a run was dropped from ended for lack of space. Runs
	// that are not in the table may then have been executed.
	forgotten bool
}

func newRunTable() *runTable {
	return &runTable{
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
		b = &beginsInProgress{disowned: map[record.RunID]struct{}{}}
		t.begins[key] = b
	}
	b.count++
}

// beginDone records that a Begin has returned. After the last one of a key no
// ticket can arrive for its disowned runs.
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
// false if the run has been disowned. It must be called between beginStarted and
// beginDone.
func (t *runTable) accept(r Request, ticket Ticket) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, disowned := t.begins[r.Key].disowned[ticket.Run]; disowned {
		return false
	}
	if earlier, ok := t.running[r.Key]; ok && earlier.run != ticket.Run {
		t.keepEnd(r.Key, earlier, record.OutcomeUnknown) // Its end can no longer be told apart.
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
func (t *runTable) end(key record.RequestKey, outcome record.Outcome) (localRun, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	local, ok := t.running[key]
	if ok {
		delete(t.running, key)
		t.keepEnd(key, local, outcome)
	}
	return local, ok
}

// keepEnd keeps the outcome of a run that must not be repeated, unless it was not
// executed. t.mu must be held.
func (t *runTable) keepEnd(key record.RequestKey, local localRun, outcome record.Outcome) {
	switch {
	case local.repeatable || local.uncounted || outcome == record.OutcomeNotRun:
	case len(t.ended) >= maxUnloggedEnds:
		t.forgotten = true
	default:
		t.ended[local.run] = endedRun{key: key, outcome: outcome}
	}
}

// isRunning reports whether this instance executes the run.
func (t *runTable) isRunning(key record.RequestKey, run record.RunID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	local, ok := t.running[key]
	return ok && local.run == run
}

// disown returns the state of a run that must not be repeated. If the run was
// not started here, it never will be: a ticket that is still on its way is not
// accepted.
func (t *runTable) disown(key record.RequestKey, run record.RunID) runState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if local, ok := t.running[key]; ok && local.run == run {
		return runState{running: true}
	}
	if ended, ok := t.ended[run]; ok {
		return runState{outcome: ended.outcome}
	}
	if t.forgotten {
		return runState{}
	}
	if b, ok := t.begins[key]; ok {
		b.disowned[run] = struct{}{}
	}
	return runState{notStarted: true}
}

// runState is what a runner knows about a run. The zero value means that it does
// not know.
type runState struct {
	running    bool
	notStarted bool           // The run was not begun, or ended as not run, and will not be begun.
	outcome    record.Outcome // Of a run that was executed and has ended.
}

// forgetLogged drops the ended runs whose outcome the fold has. claimOf returns
// the fold's claim of a key.
func (t *runTable) forgetLogged(claimOf func(record.RequestKey) (fold.Claim, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, ended := range t.ended {
		if c, ok := claimOf(ended.key); ok && c.Run == run && c.Outcome != 0 {
			delete(t.ended, run)
		}
	}
}
