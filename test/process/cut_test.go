package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"guavapier/internal/config"
	"guavapier/internal/record"
)

// platformProxy is an HTTP proxy between instances and the platform. It can
// simulate a platform outage, and it replaces the peer addresses on the instance
// list by those of TCP relays, so that a test can cut peer connections.
type platformProxy struct {
	url          string
	platformDown atomic.Bool
	// peersCut makes the relays discard all data in both directions. Connections
	// stay open, and new ones are accepted but carry nothing either.
	peersCut atomic.Bool
	// intactZone is the availability zone whose peer addresses aren't replaced,
	// so that a cut doesn't affect connections within it. Empty for none.
	intactZone string

	t      *testing.T
	target string
	mu     sync.Mutex
	relays map[string]string // Relay address by the peer's own address.
}

func startPlatformProxy(t *testing.T, platform string) *platformProxy {
	t.Helper()
	v := &platformProxy{t: t, target: platform, relays: map[string]string{}}
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	v.url = server.URL
	return v
}

// ServeHTTP forwards a request to the platform. It answers 503 while
// platformDown is set.
func (v *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.platformDown.Load() {
		http.Error(w, "out of reach", http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(r.Body)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, v.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if v.platformDown.Load() { // Responses to long polls that began before the outage are lost too.
		http.Error(w, "out of reach", http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/instances" {
		data = v.rewritePeers(data)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data)
}

// rewritePeers replaces the peer addresses in an instance list by those of relays.
func (v *platformProxy) rewritePeers(data []byte) []byte {
	var list map[string]any
	if json.Unmarshal(data, &list) != nil {
		return data
	}
	rows, _ := list["instances"].([]any)
	for _, row := range rows {
		if in, ok := row.(map[string]any); ok && (v.intactZone == "" || in["zone"] != v.intactZone) {
			in["peer"] = v.relayAddress(fmt.Sprint(in["peer"]))
		}
	}
	data, _ = json.Marshal(list)
	return data
}

// relayAddress returns the address of the relay in front of a peer and starts
// the relay at first use.
func (v *platformProxy) relayAddress(peer string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at, ok := v.relays[peer]; ok {
		return at
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return peer
	}
	v.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", peer)
			if err != nil {
				_ = from.Close()
				continue
			}
			go v.copyUnlessCut(from, to)
			go v.copyUnlessCut(to, from)
		}
	}()
	v.relays[peer] = l.Addr().String()
	return v.relays[peer]
}

// copyUnlessCut copies bytes from one connection to the other, and discards them
// while peersCut is set.
func (v *platformProxy) copyUnlessCut(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if v.peersCut.Load() {
			continue // Data is dropped without closing either connection.
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// An instance that can't reach the platform, but can reach its peers, receives a
// new configuration from them and applies it.
func TestConfigurationReachesAnInstanceWithoutThePlatform(t *testing.T) {
	r := startCallFixture(t, "a1", "a2")
	v := startPlatformProxy(t, r.platform)
	cutOff := startInstance(t, "a3", "hall-a", v.url, "")
	r.openTeamSession(cutOff)
	v.platformDown.Store(true)
	newKey := "dala:late"
	mustCall(t, http.MethodPut, r.instances[0].operatorsURL+"/settings", operatorToken, record.Change{ID: "late", By: "test", Ops: []record.ChangeOp{
		{Path: config.APIKeyPath("dala", newKey), Value: "late key"},
	}})
	eventually(t, "new key in force", func() bool {
		return call(http.MethodPost, cutOff.callersURL+"/v1/sessions", newKey, nil).status == http.StatusCreated
	})
}

// An availability zone that is cut off from the other zone and from the platform
// reports no wrong outcome for calls of the other zone's sessions: it says
// "unknown" where it can't tell. The other zone loses no call of its own.
func TestCallsAcrossACutBetweenZones(t *testing.T) {
	r := startCallFixture(t, "a1", "a2")
	v := startPlatformProxy(t, r.platform)
	cutOff := startInstance(t, "b1", "hall-b", v.url, "")
	r.openTeamSession(r.instances[0], cutOff)
	r.requireCallsAnswered("warm-", cutOff, r.instances[0])
	for n := range 6 {
		if got := r.sendAttempt(r.instances[n%2], fmt.Sprint("ran-", n), nil, true); got.status != http.StatusOK {
			t.Fatalf("before the cut: status %d, body %s", got.status, got.body)
		}
	}
	v.peersCut.Store(true)
	v.platformDown.Store(true)
	for n := range 2 {
		if got := reportedOutcome(r.sendAttempt(cutOff, fmt.Sprint("ran-", n), nil, false)); got != "answered" && got != "unknown" {
			t.Errorf("call that ran before the cut: outcome %q in the cut-off zone", got)
		}
		name := fmt.Sprint("new-", n)
		if got := reportedOutcome(r.sendAttempt(cutOff, name, nil, true)); got != "not_run" || r.runCount(name) != 0 {
			t.Errorf("first attempt in the cut-off zone: outcome %q, ran %d times", got, r.runCount(name))
		}
		if got := reportedOutcome(r.sendAttempt(cutOff, name, nil, false)); got != "unknown" || r.runCount(name) != 0 {
			t.Errorf("retry in the cut-off zone: outcome %q, ran %d times", got, r.runCount(name))
		}
	}
	r.requireCallsAnswered("near-", r.instances...)
	v.peersCut.Store(false)
	v.platformDown.Store(false)
	r.requireCallsAnswered("new-", cutOff)
	for n := range 6 {
		if ran := r.runCount(fmt.Sprint("ran-", n)); ran != 1 {
			t.Errorf("call %d ran %d times, want 1", n, ran)
		}
	}
}

// Two availability zones spend one budget while they are cut off from each other
// and one of them also from the platform. A top-up is made in the other zone
// meanwhile. The budget isn't overspent, and once the cut is over every answer is
// billed once.
func TestBudgetAcrossACutBetweenZones(t *testing.T) {
	const prepaidTokens, addedTokens, tokens, requests = 3_000, 500, 50, 40
	s := startDeployment(t)
	near, far := startPlatformProxy(t, s.platform), startPlatformProxy(t, s.platform)
	near.intactZone, far.intactZone = "hall-a", "hall-b"
	sides := map[*platformProxy][]*instance{
		near: {startInstance(t, "a1", "hall-a", near.url, ""), startInstance(t, "a2", "hall-a", near.url, "")},
		far:  {startInstance(t, "b1", "hall-b", far.url, ""), startInstance(t, "b2", "hall-b", far.url, "")},
	}
	operators := sides[near][0].operatorsURL
	key := seedTeam(t, operators, "dala", prepaidTokens)
	var used, answered atomic.Int64
	send := func(in *instance) bool {
		got := call(http.MethodPost, in.callersURL+"/v1/chat/completions", key, chatBody(tokens, false))
		var completion struct {
			Usage struct {
				Total int64 `json:"total_tokens"`
			} `json:"usage"`
		}
		if got.status != http.StatusOK || json.Unmarshal([]byte(got.body), &completion) != nil {
			return false
		}
		used.Add(completion.Usage.Total)
		answered.Add(1)
		return true
	}
	for _, side := range sides {
		for _, in := range side {
			eventually(t, "served before the cut", func() bool { return send(in) })
		}
	}
	near.peersCut.Store(true)
	far.peersCut.Store(true)
	far.platformDown.Store(true)
	before := answered.Load()
	topUp(t, operators, "dala", "during", addedTokens)
	var wg sync.WaitGroup
	for _, side := range sides {
		for n := range requests {
			wg.Go(func() { send(side[n%len(side)]) })
		}
	}
	wg.Wait()
	t.Logf("%d of %d requests answered during the cut, %d tokens used in all", answered.Load()-before, 2*requests, used.Load())
	if answered.Load() == before {
		t.Fatal("no request was answered during the cut")
	}
	near.peersCut.Store(false)
	far.peersCut.Store(false)
	far.platformDown.Store(false)
	for _, side := range sides {
		for _, in := range side {
			eventually(t, "answers of both zones billed, each once", func() bool {
				row := readBudget(t, in.operatorsURL, "dala")
				if row.Committed > row.Prepaid || row.Billed > prepaidTokens+addedTokens {
					t.Fatalf("overspent: %+v", row)
				}
				return row.Prepaid == prepaidTokens+addedTokens && row.Billed == used.Load()
			})
		}
	}
}
