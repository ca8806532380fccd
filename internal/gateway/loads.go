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
	// loadsServiceName is under which loads is registered, see peer.Server.
	loadsServiceName = "Loads"
	// minReportedWork is the reading time from which a prompt is told to the other
	// instances: an endpoint reads one of 60,000 tokens for 0.65 s, and what they
	// send there meanwhile comes late. Shorter ones are done before the word is round.
	minReportedWork = 30 * time.Millisecond
	// reportBatchDelay gathers what is told at once.
	reportBatchDelay = 5 * time.Millisecond
	// reportTimeout bounds one call: older news is useless.
	reportTimeout = 100 * time.Millisecond
	// maxQueuedReports bounds what waits to be told; the rest is dropped.
	maxQueuedReports = 64
)

// SentPrompt says that an endpoint was sent a prompt.
type SentPrompt struct {
	Endpoint string
	// Work is how long reading takes; 0 if that is not worth telling.
	Work time.Duration
	// Parts are shared parts of prompts that it then has.
	Parts []string
}

// TellArgs is what one instance tells another.
type TellArgs struct{ Sent []SentPrompt }

// TellReply is empty.
type TellReply struct{}

// loadReporter tells other instances which prompts went where, long ones and those with
// shared parts that are news, and hears of theirs. It is a hint: what is lost or
// late costs a worse placement and nothing else.
type loadReporter struct {
	caller        peer.Caller
	accounts      *prepaid.Book // Knows the other instances.
	endpoints     *placement.Table
	clock         func() time.Duration
	queue         chan SentPrompt
	mu            sync.Mutex
	callsInFlight map[record.InstanceID]bool // One call to each at a time.
}

func newLoadReporter(caller peer.Caller, accounts *prepaid.Book, endpoints *placement.Table, clock func() time.Duration) *loadReporter {
	return &loadReporter{
		caller: caller, accounts: accounts, endpoints: endpoints, clock: clock, queue: make(chan SentPrompt, maxQueuedReports),
		callsInFlight: map[record.InstanceID]bool{},
	}
}

// Tell is called by other instances.
func (l *loadReporter) Tell(args TellArgs, _ *TellReply) error {
	now := l.clock()
	for _, prompt := range args.Sent {
		l.endpoints.Busy(prompt.Endpoint, min(max(prompt.Work, 0), time.Minute), now)
		l.endpoints.Sent(prompt.Endpoint, prompt.Parts, now)
	}
	return nil
}

// reportPlacement notes an attempt that is about to be sent. In a large fleet nothing is told:
// calls would grow with the square of its size, and each instance sends too little for
// its news to matter.
func (l *loadReporter) reportPlacement(ticket *placement.Ticket) {
	if l.accounts.Pooled() {
		return
	}
	report := SentPrompt{Endpoint: ticket.Endpoint.ID, Parts: ticket.News}
	if ticket.Work >= minReportedWork {
		report.Work = ticket.Work
	}
	if report.Work == 0 && len(report.Parts) == 0 {
		return
	}
	select {
	case l.queue <- report:
	default: // Too much to tell: the others place without it.
	}
}

// run tells the news until ctx ends.
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

func (l *loadReporter) broadcast(sent []SentPrompt) {
	for _, other := range l.accounts.Heirs() {
		if l.tryStartCall(other.Key) {
			go l.sendReport(other.Key, sent)
		}
	}
}

// tryStartCall says whether the instance can be called: a silent one is not called
// again before its call has ended.
func (l *loadReporter) tryStartCall(to record.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callsInFlight[to] {
		return false
	}
	l.callsInFlight[to] = true
	return true
}

func (l *loadReporter) sendReport(to record.InstanceID, sent []SentPrompt) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	// A hint that is lost needs no word: the next one follows.
	_ = l.caller.Call(ctx, to, loadsServiceName+".Tell", TellArgs{Sent: sent}, &TellReply{})
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callsInFlight, to)
}
