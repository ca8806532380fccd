package tokenwait_test

import (
	"slices"
	"testing"
	"time"

	"guavapier/internal/record"
	"guavapier/internal/tokenwait"
)

const (
	team    = record.Team("dala")
	maxWait = 400 * time.Millisecond
	step    = 5 * time.Millisecond
)

// play plays requests of one organisation against a supply of tokens.
type play struct {
	queue     *tokenwait.Queue
	now       time.Duration
	available int64
	waiting   []*playedWaiter
	served    int
	// heldFor lists how long each refused request was held.
	heldFor []time.Duration
	// servedTokens is the sum of the tokens of served requests by urgency.
	servedTokens map[int]int64
}

type playedWaiter struct {
	*tokenwait.Waiter
	since time.Duration
}

func newPlay() *play {
	return &play{queue: tokenwait.New(maxWait), now: time.Minute, servedTokens: map[int]int64{}}
}

// run plays some time, in which a request arrives at every interval and supply tokens arrive a
// second.
func (p *play) run(length, interval time.Duration, supply int64, next func() tokenwait.Request) {
	for end := p.now + length; p.now < end; p.now += step {
		p.available += supply * step.Milliseconds() / 1000
		p.serveWaiting()
		if p.now%interval == 0 {
			p.arrive(next())
		}
	}
}

// arrive plays the arrival of a request.
func (p *play) arrive(r tokenwait.Request) {
	if r.Tokens <= p.available {
		p.serve(r)
		p.queue.RecordServed(team, r.Tokens, p.now)
		return
	}
	if w := p.queue.Join(r, p.now); w != nil {
		p.waiting = append(p.waiting, &playedWaiter{w, p.now})
		return
	}
	p.heldFor = append(p.heldFor, 0)
}

// serveWaiting serves waiting requests in the order of their arrival, and ends those that have
// waited for maxWait or are refused.
func (p *play) serveWaiting() {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *playedWaiter) bool {
		outcome := tokenwait.Refused
		select {
		case <-w.Refused():
			outcome = tokenwait.Abandoned
		default:
			if w.Tokens <= p.available {
				outcome = tokenwait.Served
			} else if p.now-w.since < maxWait {
				return false
			}
		}
		p.queue.End(w.Waiter, outcome, p.now)
		if outcome == tokenwait.Served {
			p.serve(w.Request)
		} else {
			p.heldFor = append(p.heldFor, p.now-w.since)
		}
		return true
	})
}

func (p *play) serve(r tokenwait.Request) {
	p.available -= r.Tokens
	p.served++
	p.servedTokens[r.Urgency] += r.Tokens
}

// meanHold is the mean time for which refused requests were held.
func (p *play) meanHold() time.Duration {
	sum := time.Duration(0)
	for _, held := range p.heldFor {
		sum += held
	}
	return sum / time.Duration(max(1, len(p.heldFor)))
}

func request() tokenwait.Request { return tokenwait.Request{Team: team, Tokens: 1000} }

// 200 requests a second arrive while no tokens come for 10 s. All but a few are refused at once, and
// callers are told to come back later and later.
func TestRequestsAreRefusedAtOnceWhileNoTokensCome(t *testing.T) {
	p := newPlay()
	p.run(maxWait, step, 0, request)
	if len(p.heldFor) > 0 {
		t.Fatalf("%d requests refused before the first had waited %s", len(p.heldFor), maxWait)
	}
	p.run(10*time.Second, step, 0, request)
	long := 0
	for _, held := range p.heldFor {
		if held > maxWait/8 {
			long++
		}
	}
	if share := float64(long) / float64(len(p.heldFor)); share > 0.06 {
		t.Errorf("%d of %d refused requests were held over %s", long, len(p.heldFor), maxWait/8)
	}
	if got := p.queue.Shortage(team, p.now); got.RetryAfter < 2*time.Second || got.RetryAfter > 4*time.Second || got.Waiting > 1 {
		t.Errorf("after 10 s: %+v, want a delay of 2 to 4 s and at most one waiting request", got)
	}
}

// Tokens come back after 5 s without any. From half a second later on, all requests are served.
func TestAllMayWaitSoonAfterTokensCome(t *testing.T) {
	p := newPlay()
	p.run(5*time.Second, step, 0, request)
	for len(p.waiting) == 0 {
		p.run(step, step, 0, request) // A probe waits again.
	}
	p.run(500*time.Millisecond, step, 400_000, request)
	p.heldFor = nil
	p.run(5*time.Second, step, 400_000, request)
	if len(p.heldFor) > 0 {
		t.Errorf("%d requests refused although tokens come", len(p.heldFor))
	}
}

// Tokens come for a quarter of the requests. Nearly all tokens are used, most others are refused
// without a long wait, and urgent requests get more than their share.
func TestAThinSupplyIsUsedAndUrgentRequestsGoFirst(t *testing.T) {
	p, n := newPlay(), 0
	alternating := func() tokenwait.Request {
		n++
		return tokenwait.Request{Team: team, Tokens: 1000, Urgency: n % 2}
	}
	p.run(10*time.Second, step, 50_000, alternating)
	if p.served < 450 {
		t.Errorf("%d requests served, tokens came for 500", p.served)
	}
	t.Logf("%d served, mean hold %s of %d refused, %v", p.served, p.meanHold(), len(p.heldFor), p.servedTokens)
	if held := p.meanHold(); held > maxWait/3 {
		t.Errorf("refused requests were held for %s on average", held)
	}
	if p.servedTokens[0] < p.servedTokens[1]*5/4 {
		t.Errorf("urgent requests got %d tokens, others %d", p.servedTokens[0], p.servedTokens[1])
	}
}

// Requests get their tokens after 300 ms, as from a slow allocator, or arrive once in 3 s. None is
// refused at once.
func TestRequestsThatAWaitHelpsAreNotRefused(t *testing.T) {
	p := newPlay()
	for range 40 {
		p.run(300*time.Millisecond, step, 0, request)
		p.run(step, step, 70_000*1000/step.Milliseconds(), request)
		p.serveWaiting()
		p.available = 0
	}
	if len(p.heldFor) > 0 {
		t.Errorf("%d of %d requests refused that would have been served after 0.3 s", len(p.heldFor), len(p.heldFor)+p.served)
	}
	p = newPlay()
	p.run(30*time.Second, 3*time.Second, 0, request)
	for _, held := range p.heldFor {
		if held < maxWait {
			t.Errorf("a single request was refused after %s", held)
		}
	}
}

// A raised total or a newly reached source ends a shortage.
func TestAShortageEndsWhenTheSupplyChanges(t *testing.T) {
	for name, change := range map[string]func(*play, *tokenwait.Request){
		"raised total": func(_ *play, r *tokenwait.Request) { r.Total = 2 },
		"new source":   func(p *play, _ *tokenwait.Request) { p.queue.Reset() },
	} {
		p, r := newPlay(), tokenwait.Request{Team: team, Tokens: 1000, Total: 1}
		p.run(time.Second, step, 0, func() tokenwait.Request { return r })
		change(p, &r)
		before := len(p.heldFor)
		p.run(100*time.Millisecond, step, 0, func() tokenwait.Request { return r })
		if refused := len(p.heldFor) - before; refused > 1 {
			t.Errorf("%s: %d requests refused within 0.1 s, want all to wait", name, refused)
		}
	}
}

// An allocator waits 160 ms for each withdrawal. Once several in a row have failed for as long as a
// request may wait, or all sources have been asked in vain, the organisation is short.
func TestShortWaitsInARowMakeAShortage(t *testing.T) {
	q, now := tokenwait.New(maxWait), time.Minute
	for i := range 3 {
		w := q.Join(request(), now)
		if w == nil || q.Shortage(team, now).Age > 0 {
			t.Fatalf("short after %d waits of 160 ms", i)
		}
		now += 160 * time.Millisecond
		q.End(w, tokenwait.Refused, now)
	}
	if q.Shortage(team, now).Age < maxWait {
		t.Error("not short after 480 ms of waits in vain")
	}
	q = tokenwait.New(maxWait)
	q.End(q.Join(request(), now), tokenwait.Unsupplied, now+step)
	if q.Join(request(), now+step) != nil {
		t.Error("a request waits although all sources have just been asked in vain")
	}
}
