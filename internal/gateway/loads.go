package gateway

import (
	"context"
	"sync"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

const (
	// loadsServiceName is the name under which peer.Server registers a loadReporter.
	loadsServiceName = "Loads"
	// minReportedWork is the shortest prefill time of a prompt that is reported to the other
	// instances. An endpoint takes 0.65 s for a prompt of 60,000 tokens, and delays what they
	// send it meanwhile. Shorter prompts are done before a report would arrive.
	minReportedWork = 30 * time.Millisecond
	// reportBatchDelay is how long reports are collected for one call.
	reportBatchDelay = 5 * time.Millisecond
	// reportTimeout bounds one call; an older report is useless.
	reportTimeout = 100 * time.Millisecond
	// maxQueuedReports bounds the reports that wait for a call; further ones are dropped.
	maxQueuedReports = 64
)

// SentPrompt reports that an instance has sent a prompt to an endpoint.
type SentPrompt struct {
	Endpoint string // Its ID.
	// Work is how long the endpoint takes for the prefill; 0 if that is below
	// minReportedWork.
	Work time.Duration
	// Parts are the IDs of the prompt's shared parts, which the endpoint then has cached;
	// empty if it was sent them recently.
	Parts []string
}

// TellArgs are the arguments of Loads.Tell.
type TellArgs struct{ Sent []SentPrompt }

// TellReply is the empty reply of Loads.Tell.
type TellReply struct{}

// loadReporter reports to the other instances which endpoints were sent long prompts, or
// prompts with shared parts that it was not sent recently, and receives their reports.
// Reports are hints: one that is lost or late makes a placement worse and has no other effect.
type loadReporter struct {
	caller        peer.Caller
	accounts      *prepaid.Accounts // Lists the other instances.
	endpoints     *placement.Table
	clock         func() time.Duration
	queue         chan SentPrompt
	mu            sync.Mutex
	callsInFlight map[record.InstanceID]bool // At most one call to each at a time.
}

// newLoadReporter returns a reporter that applies received reports to endpoints. Register
// it at a peer.Server and call run.
func newLoadReporter(caller peer.Caller, accounts *prepaid.Accounts, endpoints *placement.Table, clock func() time.Duration) *loadReporter {
	return &loadReporter{
		caller: caller, accounts: accounts, endpoints: endpoints, clock: clock, queue: make(chan SentPrompt, maxQueuedReports),
		callsInFlight: map[record.InstanceID]bool{},
	}
}

// Tell applies the reports of another instance, which calls it as Loads.Tell.
func (l *loadReporter) Tell(args TellArgs, _ *TellReply) error {
	now := l.clock()
	for _, prompt := range args.Sent {
		l.endpoints.RecordRemotePrefill(prompt.Endpoint, min(max(prompt.Work, 0), time.Minute), now)
		l.endpoints.RecordRemoteParts(prompt.Endpoint, prompt.Parts, now)
	}
	return nil
}

// reportPlacement queues a report of an attempt that is about to be sent. Nothing is
// reported in a large fleet: the number of calls would grow with the square of its size, and
// each instance sends too little for its reports to matter.
func (l *loadReporter) reportPlacement(assignment *placement.Assignment) {
	if l.accounts.NeedsAllocators() {
		return
	}
	report := SentPrompt{Endpoint: assignment.Endpoint.ID, Parts: assignment.PartsToAnnounce}
	if assignment.PrefillTime >= minReportedWork {
		report.Work = assignment.PrefillTime
	}
	if report.Work == 0 && len(report.Parts) == 0 {
		return
	}
	select {
	case l.queue <- report:
	default: // The queue is full: the others place without this report.
	}
}

// run sends queued reports in batches until ctx ends.
func (l *loadReporter) run(ctx context.Context) {
	for {
		select {
		case first := <-l.queue:
			logstore.Pause(ctx, reportBatchDelay, nil)
			l.broadcast(l.collectBatch(first))
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns first and all other queued reports.
func (l *loadReporter) collectBatch(first SentPrompt) []SentPrompt {
	sent := []SentPrompt{first}
	for {
		select {
		case prompt := <-l.queue:
			sent = append(sent, prompt)
		default:
			return sent
		}
	}
}

// broadcast sends a batch to every other instance that can be called.
func (l *loadReporter) broadcast(sent []SentPrompt) {
	for _, other := range l.accounts.TransferTargets() {
		if l.tryStartCall(other.Key) {
			go l.sendReport(other.Key, sent)
		}
	}
}

// tryStartCall marks a call to an instance as started and reports whether it may be made: an
// instance that does not answer is not called again before the previous call has ended.
func (l *loadReporter) tryStartCall(to record.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callsInFlight[to] {
		return false
	}
	l.callsInFlight[to] = true
	return true
}

// sendReport makes one call and marks it as ended.
func (l *loadReporter) sendReport(to record.InstanceID, sent []SentPrompt) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// The error is ignored: a lost hint is harmless, and the next report follows.
	_ = l.caller.Call(ctx, to, loadsServiceName+".Tell", TellArgs{Sent: sent}, &TellReply{})
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callsInFlight, to)
}
