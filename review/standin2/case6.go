package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rate6 is the number of requests a second, as the sheet has it for the rig controllers.
	rate6 = 40
	// work6 is how long an engine works on an answer; the sheet's longest is 110 ms.
	work6 = 100 * time.Millisecond
	// calm6 is the time without a disruption, before the first crash and between two of them.
	calm6 = 3 * time.Second
	// down6 is how long a crashed engine is away, and crashes6 how often one crashes: one of
	// four at a time.
	down6, crashes6 = 2 * time.Second, 6
	// deadline6 is the clients' time limit.
	deadline6 = 1500 * time.Millisecond
)

const state6 = `{"version":7,"routes":[
{"name":"setpoint","host":"rig.example","path_prefix":"/setpoint/","type":"unsafe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"rig-api","max_attempts":1,"public":false},
{"name":"interlock","host":"rig.example","path_prefix":"/interlock/","type":"safe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"rig-api","max_attempts":2,"public":false}],
"services":[{"name":"rig-api","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]}`

// runCase6 crashes engines, one at a time, while they answer without a length. The rule is broken if a
// client gets a success that ends as a complete answer does and isn't the engine's whole body.
func runCase6(s *scene) (broken bool, err error) {
	s.setState(state6)
	zones := []string{"hall-a", "hall-b", "server-room", "annex"}
	engines := make([]*engine, len(zones))
	for n, zone := range zones {
		if engines[n], err = s.startEngine("rig-api", zone, fmt.Sprintf("i-%d-0", n), kindUnframed, work6); err != nil {
			return false, err
		}
	}
	var instances []*instance
	for _, zone := range zones[:2] {
		i, err := s.startInstance("edge-"+zone+"-1", zone, 8)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
	}
	load := &load6{scene: s, instances: instances}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() { load.run(ctx) })
	for n := range crashes6 {
		time.Sleep(calm6)
		if err := s.crash(engines, n%len(engines), n+1); err != nil {
			return false, err
		}
	}
	time.Sleep(calm6)
	stop()
	sending.Wait()
	for _, id := range load.broken {
		s.recordEnd(id)
	}
	s.record("requests %d, whole answers %d, part of an answer that looks complete %d, others %d", load.sent.Load(), load.whole.Load(), load.part.Load(), load.others.Load())
	if load.whole.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return load.part.Load() > 0, nil
}

// crash ends an engine with SIGKILL and starts it again, with another ID, after down6. Without the
// disruption it only waits.
func (s *scene) crash(engines []*engine, n, round int) (err error) {
	if !s.trouble {
		time.Sleep(down6)
		return nil
	}
	s.record("engine %s crashes (SIGKILL)", engines[n].id)
	engines[n].kill()
	time.Sleep(down6)
	s.unlistEngine(engines[n].id)
	zone := []string{"hall-a", "hall-b", "server-room", "annex"}[n]
	engines[n], err = s.startEngine("rig-api", zone, fmt.Sprintf("i-%d-%d", n, round), kindUnframed, work6)
	return err
}

// load6 sends requests at rate6 and counts how they end.
type load6 struct {
	*scene
	instances                 []*instance
	sent, whole, part, others atomic.Int64

	mu     sync.Mutex // Guards broken.
	broken []string   // Identities of requests for which part of an answer looked complete.
}

// run sends requests until ctx ends, and waits for their answers.
func (l *load6) run(ctx context.Context) {
	var pending sync.WaitGroup
	defer pending.Wait()
	ticker := time.NewTicker(time.Second / rate6)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pending.Go(func() { l.send(n) })
		}
	}
}

// send sends one request on a new connection and judges its answer. Of seven requests two are safe, as
// on the sheet.
func (l *load6) send(n int) {
	id := fmt.Sprintf("%016x", n+1)
	method, path := http.MethodPost, "/setpoint/2f"
	if n%7 < 2 {
		method, path = http.MethodGet, "/interlock/2f"
	}
	l.sent.Add(1)
	l.record("client sends %s %s %s", id, method, path)
	status, signed, body, err := exchange(l.instances[n%len(l.instances)].callers(), method, path, id)
	success := status >= 200 && status <= 299
	switch {
	case err != nil:
		l.others.Add(1)
		l.record("client gets %s: status %d, %d bytes, then %v", id, status, len(body), err)
	case success && body == wholeBody(id):
		l.whole.Add(1)
	case success:
		l.part.Add(1)
		l.mu.Lock()
		l.broken = append(l.broken, id)
		l.mu.Unlock()
		l.record("client gets %s: status %d, signature %q, answer ended properly with %d bytes of %d: MIXED", id, status, signed, len(body), answerBytes)
	default:
		l.others.Add(1)
		l.record("client gets %s: status %d, body %q", id, status, strings.TrimSpace(body))
	}
}

// exchange sends one request on a new connection. The error says that the answer did not end as a
// complete one does: by its length, by its last chunk, or, without either, by its connection.
func exchange(address, method, path, id string) (status int, signed, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline6))
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 2\r\n"
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: rig.example\r\nRequest-Id: %s\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nDeadline-Ms: %d\r\n%s\r\n", method, path, id, deadline6.Milliseconds(), length)
	if length != "" {
		fmt.Fprint(conn, "{}")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Response-Signature"), string(data), err
}
