package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceBefore7 is the grace_s of the sheets, graceAfter7 the one that the platform puts into
	// the settings later.
	graceBefore7, graceAfter7 = 8, 16
	// streams7 are sent before the SIGTERM, one each streamPause7.
	streams7, streamPause7 = 10, 100 * time.Millisecond
	// work7 is how long a stream lasts, events7 its events, as on the sheet for the longest kind of
	// request.
	work7, events7 = 12800 * time.Millisecond, 64
	// deadline7 is the time limit of the clients, and the timeout of the route.
	deadline7 = 15 * time.Second
	// settle7 is the time between the change of the settings and the first stream. It is longer than
	// a change of the desired state may take.
	settle7 = 4 * time.Second
)

const state7 = `{"version":7,"routes":[
{"name":"dossier","host":"rig.example","path_prefix":"/dossier/","type":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"guava-llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":400}],
"services":[{"name":"guava-llm","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":577802,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"]}]}`

// runCase7 gives a running process more time to end, by its settings file and SIGHUP, and stops it
// later with SIGTERM. The rule is broken if an answer is cut earlier than in the last sixth of grace_s.
func runCase7(s *scene) (broken bool, err error) {
	s.setState(state7)
	for n, zone := range []string{"hall-a", "hall-b"} {
		if _, err := s.startEngine("guava-llm", zone, fmt.Sprintf("i-%d", n), answer{work7, events7}); err != nil {
			return false, err
		}
	}
	grace := graceAfter7
	if s.trouble {
		grace = graceBefore7
	}
	stopped, err := s.startInstance("edge-hall-a-1", "hall-a", grace)
	if err != nil {
		return false, err
	}
	if _, err := s.startInstance("edge-hall-b-1", "hall-b", grace); err != nil {
		return false, err
	}
	if s.trouble {
		if err := s.writeSettings(stopped.settings, "edge-hall-a-1", "hall-a", stopped.host, graceAfter7); err != nil {
			return false, err
		}
		s.record("the settings file of %s changes: grace_s %d; SIGHUP", stopped.name, graceAfter7)
		if err := stopped.signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	time.Sleep(settle7)
	return s.stopWithStreams(stopped)
}

// ended7 is how one stream ended.
type ended7 struct {
	status, events int
	at             time.Time
	err            error
}

// stopWithStreams sends streams to an instance, stops it as the platform does, and judges how the
// streams end.
func (s *scene) stopWithStreams(stopped *instance) (broken bool, err error) {
	var reading sync.WaitGroup
	results := make([]ended7, streams7)
	for n := range results {
		id := fmt.Sprintf("%016x", n+1)
		reading.Go(func() { results[n] = s.readStream(stopped.callers(), id) })
		time.Sleep(streamPause7)
	}
	sigterm := time.Now()
	s.record("SIGTERM to %s; SIGKILL follows after grace_s, %d s", stopped.name, graceAfter7)
	if err := stopped.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	kill := time.AfterFunc(graceAfter7*time.Second, func() {
		if !stopped.hasEnded() {
			s.record("SIGKILL to %s", stopped.name)
			stopped.kill()
		}
	})
	defer kill.Stop()
	reading.Wait()
	whole, cut := 0, 0
	lastSixth := sigterm.Add(graceAfter7 * time.Second * 5 / 6)
	for _, r := range results {
		switch {
		case r.err == nil && r.status == http.StatusOK && r.events == events7:
			whole++
		case r.err != nil && r.events > 0 && r.at.Before(lastSixth):
			cut++
		}
	}
	s.record("streams %d, whole %d, cut before the last sixth of grace_s %d", streams7, whole, cut)
	if whole+cut == 0 {
		return false, errors.New("no stream was served")
	}
	return cut > 0, nil
}

// readStream sends one request and reads its stream to the end.
func (s *scene) readStream(address, id string) (r ended7) {
	defer func() {
		r.at = time.Now()
		s.record("client's stream %s ends: status %d, %d events of %d, error %v", id, r.status, r.events, events7, r.err)
	}()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ended7{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline7))
	s.record("client sends %s POST /dossier/2f", id)
	fmt.Fprintf(conn, "POST /dossier/2f HTTP/1.1\r\nHost: rig.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 1460,400\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:410,%s:250\r\nX-Api-Key: n2ctnfzs989anu6wsjnb\r\nDeadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", id, id, deadline7.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return ended7{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return ended7{status: resp.StatusCode, events: strings.Count(string(data), "\n\n"), err: err}
}
