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
	// loadsService is under which loads is registered, see peer.Server.
	loadsService = "Loads"
	// worthTelling is the reading time from which a prompt is told to the other
	// instances: an endpoint reads one of 60,000 tokens for 0.65 s, and what they
	// send there meanwhile comes late. Shorter ones are done before the word is round.
	worthTelling = 30 * time.Millisecond
	// tellEvery gathers what is told at once.
	tellEvery = 5 * time.Millisecond
	// tellWithin bounds one call: older news is useless.
	tellWithin = 100 * time.Millisecond
	// mostTold bounds what waits to be told; the rest is dropped.
	mostTold = 64
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

// loads tells other instances which prompts went where, long ones and those with
// shared parts that are news, and hears of theirs. It is a hint: what is lost or
// late costs a worse placement and nothing else.
type loads struct {
	caller  peer.Caller
	book    *prepaid.Accounts // Knows the other instances.
	table   *placement.Table
	clock   func() time.Duration
	news    chan SentPrompt
	mu      sync.Mutex
	calling map[record.InstanceID]bool // One call to each at a time.
}

func newLoads(caller peer.Caller, book *prepaid.Accounts, table *placement.Table, clock func() time.Duration) *loads {
	return &loads{
		caller: caller, book: book, table: table, clock: clock, news: make(chan SentPrompt, mostTold),
		calling: map[record.InstanceID]bool{},
	}
}

// Tell is called by other instances.
func (l *loads) Tell(args TellArgs, _ *TellReply) error {
	now := l.clock()
	for _, b := range args.Sent {
		l.table.Busy(b.Endpoint, min(max(b.Work, 0), time.Minute), now)
		l.table.Sent(b.Endpoint, b.Parts, now)
	}
	return nil
}

// placed notes an attempt that is about to be sent. In a large fleet nothing is told:
// calls would grow with the square of its size, and each instance sends too little for
// its news to matter.
func (l *loads) placed(k *placement.Ticket) {
	if l.book.NeedsAllocators() {
		return
	}
	told := SentPrompt{Endpoint: k.Endpoint.ID, Parts: k.News}
	if k.Work >= worthTelling {
		told.Work = k.Work
	}
	if told.Work == 0 && len(told.Parts) == 0 {
		return
	}
	select {
	case l.news <- told:
	default: // Too much to tell: the others place without it.
	}
}

// run tells the news until ctx ends.
func (l *loads) run(ctx context.Context) {
	for {
		select {
		case first := <-l.news:
			logstore.Pause(ctx, tellEvery, nil)
			l.tell(l.gather(first))
		case <-ctx.Done():
			return
		}
	}
}

func (l *loads) gather(first SentPrompt) []SentPrompt {
	sent := []SentPrompt{first}
	for {
		select {
		case b := <-l.news:
			sent = append(sent, b)
		default:
			return sent
		}
	}
}

func (l *loads) tell(sent []SentPrompt) {
	for _, other := range l.book.TransferTargets() {
		if l.begin(other.Key) {
			go l.call(other.Key, sent)
		}
	}
}

// begin says whether the instance can be called: a silent one is not called
// again before its call has ended.
func (l *loads) begin(to record.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calling[to] {
		return false
	}
	l.calling[to] = true
	return true
}

func (l *loads) call(to record.InstanceID, sent []SentPrompt) {
	ctx, cancel := context.WithTimeout(context.Background(), tellWithin)
	defer cancel()
	// A hint that is lost needs no word: the next one follows.
	_ = l.caller.Call(ctx, to, loadsService+".Tell", TellArgs{Sent: sent}, &TellReply{})
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calling, to)
}
