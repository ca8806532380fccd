package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	prepaidTokens = 4_000_000
	// owedShare is the share of the prepaid total into which a request has to fit to be owed.
	owedShare  = 0.97
	settleTime = 1500 * time.Millisecond // settle_ms
	// promptTokens and outputTokens are the size of a request, as on the sheet: 5,382 shared and
	// 6,610 other tokens.
	promptTokens, outputTokens = 11_992, 96
	streamTimeLimit            = 15 * time.Second

	kills        = 1
	betweenKills = 6 * time.Second
	restartDelay = time.Second
	// lightPause makes the tenant use about 2 in 100 of its total a second, as on the site, where a
	// total is 1.3 times the use of 41 s.
	lightPause     = 1800 * time.Millisecond
	spendPause     = 10 * time.Millisecond
	spendClients   = 4
	refusedPause   = 1500 * time.Millisecond // Of a client that was refused.
	spendTime      = 18 * time.Second
	deniedAllowed  = 5
	deniedPerShare = 500 // One in so many of all requests may be denied as well.
)

// balance is the clients' own account of a tenant. It is safe for concurrent use.
type balance struct {
	mu       sync.Mutex
	sent     int
	requests map[string]*use
}

// use is what one request has used at most so far.
type use struct {
	tokens  int
	ended   bool
	endedAt time.Time
}

// begin adds a request and reports whether it is owed: whether it fits, at its most, into the share of
// the prepaid total that is left, counting at their most those that have not ended for settleTime.
func (b *balance) begin(id string) (owed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	b.requests[id] = &use{tokens: promptTokens + outputTokens}
	total := 0
	for _, u := range b.requests {
		if u.ended && time.Since(u.endedAt) > settleTime {
			total += u.tokens
		} else {
			total += promptTokens + outputTokens
		}
	}
	return float64(total) <= owedShare*prepaidTokens
}

// end records what a request has used.
func (b *balance) end(id string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.requests[id] = use{tokens, true, time.Now()}
}

// used returns the tokens of all requests.
func (b *balance) used() (tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.requests {
		tokens += u.tokens
	}
	return tokens
}

// playKilledFleet kills all routers at once, three times, while a tenant uses a part of its prepaid
// total; then the tenant uses the rest. DENIED is broken if requests are answered 402 that fit into
// what is left.
func playKilledFleet(f *fleet) (broken int, err error) {
	if err := f.setState(prepaidState()); err != nil {
		return 0, err
	}
	if err := f.startStreamFleet(); err != nil {
		return 0, err
	}
	b := &balance{requests: map[string]*use{}}
	f.sendStreams(b, clientsCount, lightPause, kills*betweenKills, func() {
		for range kills {
			time.Sleep(betweenKills / 2)
			if hasTrouble() {
				err = f.killAndRestartAll()
			}
			time.Sleep(betweenKills / 2)
		}
	})
	if err != nil {
		return 0, err
	}
	if err := f.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(inTouchTime)
	f.record("the tenant has used at most %d of %d tokens; it uses the rest now", b.used(), prepaidTokens)
	denied := f.sendStreams(b, spendClients, spendPause, spendTime, func() {})
	allowed := deniedAllowed + b.sent/deniedPerShare
	f.record("the tenant has used at most %d of %d tokens; %d requests that fit into the rest were answered 402, allowed are %d", b.used(), prepaidTokens, denied, allowed)
	if denied <= allowed {
		return 0, nil
	}
	return denied, nil
}

// prepaidState is a desired state with a streaming route and one tenant with a prepaid total.
func prepaidState() map[string]any {
	state := desiredState(map[string]any{
		"name": "reports", "host": hostOfRoutes, "path_prefix": "/report/", "type": "streaming", "timeout_ms": streamTimeLimit.Milliseconds(),
		"target_latency_ms": 800, "gap_target_ms": 400, "priority": 1, "service": modelService, "max_attempts": 1, "sticky": true, "resumable": false,
	})
	state["services"] = []any{map[string]any{"name": modelService, "max_connections": 370, "engine": map[string]any{"slots": 64, "kv_capacity": 577802, "stride": tokensPerEvent}}}
	state["tenants"] = []any{map[string]any{"name": "lab", "api_keys": []string{keyOfTenant}, "prepaid": prepaidTokens}}
	return state
}

// killAndRestartAll kills all routers with SIGKILL and starts them again.
func (f *fleet) killAndRestartAll() error {
	for _, r := range f.routers {
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
	}
	f.record("all routers: killed with SIGKILL")
	time.Sleep(restartDelay)
	for _, r := range f.routers {
		if err := f.startRouter(r); err != nil {
			return err
		}
	}
	return nil
}

// sendStreams lets some clients send each one request after the other for a time, with a pause between two,
// while meanwhile runs. It returns how many were answered 402 though they were owed.
func (f *fleet) sendStreams(b *balance, count int, pause, duration time.Duration, meanwhile func()) (denied int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for n := range count {
		c := f.newClient(n, f.routers[n%len(f.routers)])
		c.count = int(time.Since(f.started).Milliseconds()) * clientsCount // Identities are new.
		c.http.Timeout = streamTimeLimit
		clients.Go(func() {
			for time.Now().Before(end) {
				status, owed := c.sendStream(b)
				if status == http.StatusPaymentRequired && owed {
					mu.Lock()
					denied++
					mu.Unlock()
				}
				if status != http.StatusOK {
					time.Sleep(refusedPause)
				}
				time.Sleep(pause)
			}
		})
	}
	meanwhile()
	clients.Wait()
	return denied
}

// sendStream sends one request and enters in b what it has used. It returns the status of the answer, 0
// for none, and whether the request was owed.
func (c *client) sendStream(b *balance) (status int, owed bool) {
	id := c.nextID()
	request, err := http.NewRequest(http.MethodPost, "http://"+c.router.front+"/report/draft", strings.NewReader("dossier"))
	if err != nil {
		return 0, false
	}
	c.setHeader(request, id, streamTimeLimit)
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	request.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:512,91bd3f06:4870,%s:6610", id))
	owed = b.begin(id)
	resp, err := c.http.Do(request)
	if err != nil {
		c.f.record("client: no answer to %s: %v", id, err) // What it has used is not known: all.
		return 0, owed
	}
	defer resp.Body.Close()
	events, err := countEvents(resp)
	c.f.record("client: gets %d for %s from %s, %d events, error %v, owed: %t", resp.StatusCode, id, c.router.name, events, err, owed)
	switch {
	case err != nil:
		return 0, owed
	case events > 0:
		b.end(id, promptTokens+tokensPerEvent*events)
	default:
		b.end(id, 0)
	}
	return resp.StatusCode, owed
}

// countEvents reads an answer to its end and returns the number of its events.
func countEvents(resp *http.Response) (events int, err error) {
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return events, lines.Err()
}
