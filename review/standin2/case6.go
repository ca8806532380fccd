package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// prepaid6 is the total of the tenant.
	prepaid6 = 4_000_000
	// prompt6 and output6 are the tokens of a request, as on the sheet: 5,382 shared and 6,610 others,
	// and 16 events of 6 tokens.
	prompt6, events6, perEvent6 = 11_992, 16, 6
	output6                     = events6 * perEvent6
	work6                       = 320 * time.Millisecond
	deadline6                   = 15 * time.Second
	// owedShare6 is the share of the total into which a request has to fit to be owed, and
	// settle6 is settle_ms.
	owedShare6, settle6 = 0.97, 1500 * time.Millisecond
	// usePause6 is the pause between two requests: the tenant uses 2 in 100 of its total in a second,
	// as on the site, where a total is 1.3 times the use of a day.
	usePause6 = 150 * time.Millisecond
	// calm6 is the time before the first machine loses power, dark6 how long it has none, and gap6
	// the time until the next one loses power.
	calm6, dark6, gap6 = 4 * time.Second, 3500 * time.Millisecond, time.Second
	// inTouch6 is how long all machines have been up before a refusal counts: stable_window_ms,
	// and a second for the start of the last process.
	inTouch6 = 4 * time.Second
	// end6 is how long the tenant goes on after that, and refusedPause6 the pause of a client that was
	// refused.
	end6, refusedPause6 = 22 * time.Second, 1500 * time.Millisecond
	clients6            = 4
	// allowed6 and allowedShare6 are the refusals that the rule allows.
	allowed6, allowedShare6 = 5, 500
)

const state6 = `{"version":7,"routes":[
{"name":"dossier","host":"rig.example","path_prefix":"/dossier/","type":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"guava-llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":400}],
"services":[{"name":"guava-llm","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":577802,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"prepaid":4000000}]}`

// runCase6 lets machines lose power, one after the other, each once, while a tenant uses its prepaid total.
// The rule is broken if requests are answered 402 that fit into what is left of it.
func runCase6(s *scene) (broken bool, err error) {
	s.setState(state6)
	l, err := s.startFleet6()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { l.use(stop) })
	time.Sleep(calm6)
	for _, m := range l.instances {
		if err := l.losePower(m); err != nil {
			return false, err
		}
	}
	time.Sleep(inTouch6)
	close(stop)
	clients.Wait()
	return l.judgeRest()
}

// judgeRest lets the tenant use the rest of its total.
func (l *load6) judgeRest() (broken bool, err error) {
	l.record("all machines are in touch; the tenant has used at most %d of %d tokens and uses the rest now", l.used(), prepaid6)
	denied := l.useRest()
	allowed := allowed6 + l.sent/allowedShare6
	l.record("the tenant has used at most %d of %d tokens (%.1f in 100); %d requests that fit into the rest were answered 402, allowed are %d", l.used(), prepaid6, 100*float64(l.used())/prepaid6, denied, allowed)
	if l.used() == 0 {
		return false, errors.New("no request was served")
	}
	return denied > allowed, nil
}

// startFleet6 starts three engines and six machines in four zones.
func (s *scene) startFleet6() (*load6, error) {
	for n := range 3 {
		if _, err := s.startEngine("guava-llm", "hall-a", fmt.Sprintf("i-%d", n), answer{work6, events6}); err != nil {
			return nil, err
		}
	}
	l := &load6{scene: s, uses: map[string]*use6{}}
	for n, zone := range []string{"hall-a", "hall-a", "hall-b", "hall-b", "server-room", "annex"} {
		i, err := s.startInstance(fmt.Sprintf("edge-%s-%d", zone, n), zone, 8)
		if err != nil {
			return nil, err
		}
		l.instances = append(l.instances, &machine6{instance: i, name: i.name, up: true})
	}
	return l, nil
}

// machine6 is a machine, which may be without power.
type machine6 struct {
	*instance
	name string

	mu sync.Mutex // Guards up.
	up bool
}

// isUp reports whether the platform sends clients to the machine.
func (m *machine6) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

func (m *machine6) setUp(up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = up
}

// losePower ends a machine's process with SIGKILL and starts it again when the machine has power again.
// Without the disruption it only waits.
func (l *load6) losePower(m *machine6) error {
	if !l.trouble {
		time.Sleep(dark6 + gap6)
		return nil
	}
	l.record("%s loses power (SIGKILL)", m.name)
	m.setUp(false)
	m.kill()
	time.Sleep(dark6)
	l.record("%s has power again and starts its process", m.name)
	if err := l.startProcess(m.instance, m.name); err != nil {
		return err
	}
	if err := m.awaitReady(); err != nil {
		return err
	}
	m.setUp(true)
	time.Sleep(gap6)
	return nil
}

// use6 is what one request has used at most so far.
type use6 struct {
	tokens  int
	ended   bool
	endedAt time.Time
}

// load6 is the tenant's own account.
type load6 struct {
	*scene
	instances []*machine6

	mu   sync.Mutex // Guards the fields below.
	sent int
	uses map[string]*use6
}

// begin enters a request and reports whether it is owed: whether it fits, at its most, into the share of the
// total, counting at their most those that had not ended settle6 before.
func (l *load6) begin() (id string, owed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	id = fmt.Sprintf("%016x", l.sent)
	l.uses[id] = &use6{tokens: prompt6 + output6}
	total := 0
	for _, u := range l.uses {
		if u.ended && time.Since(u.endedAt) > settle6 {
			total += u.tokens
		} else {
			total += prompt6 + output6
		}
	}
	return id, float64(total) <= owedShare6*prepaid6
}

// end enters what a request has used.
func (l *load6) end(id string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*l.uses[id] = use6{tokens, true, time.Now()}
}

// used returns the tokens of all requests.
func (l *load6) used() (tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.uses {
		tokens += u.tokens
	}
	return tokens
}

// use sends a request each usePause6, to the machines in turn, until stop is closed.
func (l *load6) use(stop <-chan struct{}) {
	ticker := time.NewTicker(usePause6)
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			m := l.instances[n%len(l.instances)]
			for !m.isUp() {
				n++
				m = l.instances[n%len(l.instances)]
			}
			pending.Go(func() { l.send(m) })
		}
	}
}

// useRest lets clients use what is left, and returns how many of their requests were answered 402 though
// they were owed.
func (l *load6) useRest() (denied int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(end6)
	for n := range clients6 {
		clients.Go(func() {
			for ; time.Now().Before(end); n++ {
				status, owed := l.send(l.instances[n%len(l.instances)])
				if status == http.StatusOK {
					continue
				}
				if status == http.StatusPaymentRequired && owed {
					mu.Lock()
					denied++
					mu.Unlock()
				}
				time.Sleep(refusedPause6)
			}
		})
	}
	clients.Wait()
	return denied
}

// send sends one request and enters what it has used. A request whose answer is lost is counted at its
// most.
func (l *load6) send(m *machine6) (status int, owed bool) {
	id, owed := l.begin()
	status, events, err := l.exchange(m.callers(), id)
	l.record("client gets of %s for %s: status %d, %d events, error %v, owed %t", m.name, id, status, events, err, owed)
	switch {
	case err != nil:
	case events > 0:
		l.end(id, prompt6+perEvent6*events)
	default:
		l.end(id, 0)
	}
	return status, owed
}

// exchange sends one request on a new connection and reads its answer to the end.
func (l *load6) exchange(address, id string) (status, events int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline6))
	fmt.Fprintf(conn, "POST /dossier/2f HTTP/1.1\r\nHost: rig.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: %d,%d\r\nPrefix-Hash: 5c1e07a2:512,91bd3f06:4870,%s:6610\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", id, prompt6, output6, id, deadline6.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return resp.StatusCode, events, lines.Err()
}
