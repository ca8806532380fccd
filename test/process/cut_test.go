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

// view is one instance's way to the platform. It can be down, and shows the
// peers at the addresses of relays, so that the test can cut them off.
type platformProxy struct {
	url          string
	platformDown atomic.Bool
	// cut makes the relays forward nothing more, in both directions, and take
	// no new connection through.
	peersCut atomic.Bool
	// zone is the availability zone whose peers are shown as they are, so that
	// a cut leaves the zone whole. Empty for none.
	intactZone string

	t      *testing.T
	target string
	mu     sync.Mutex
	relays map[string]string // By the peer's own address.
}

func startPlatformProxy(t *testing.T, platform string) *platformProxy {
	t.Helper()
	v := &platformProxy{t: t, target: platform, relays: map[string]string{}}
	server := httptest.NewServer(v)
	t.Cleanup(server.Close)
	v.url = server.URL
	return v
}

// ServeHTTP passes a call on to the platform.
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
	if v.platformDown.Load() { // The answer to a long poll from before is lost too.
		http.Error(w, "out of reach", http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/instances" {
		data = v.rewritePeers(data)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data)
}

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

// relay returns the address of the relay before a peer.
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

func (v *platformProxy) copyUnlessCut(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if v.peersCut.Load() {
			continue // Silent: both ends stay open.
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// An instance that is cut off from the platform alone has a new configuration
// in force through its peers.
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

// A zone that is cut off from the other and from the platform tells the truth
// about calls of the other zone's sessions, and loses no call of its own.
func TestCallsAcrossACutBetweenZones(t *testing.T) {
	r := startCallFixture(t, "a1", "a2")
	v := startPlatformProxy(t, r.platform)
	cutOff := startInstance(t, "b1", "hall-b", v.url, "")
	r.openTeamSession(r.instances[0], cutOff)
	r.requireCallsAnswered("warm-", cutOff, r.instances[0])
	for n := range 6 {
		if got := r.sendAttempt(r.instances[n%2], fmt.Sprint("ran-", n), nil, true); got.status != http.StatusOK {
			t.Fatalf("before the cut: %d %s", got.status, got.body)
		}
	}
	v.peersCut.Store(true)
	v.platformDown.Store(true)
	for n := range 2 {
		if got := reportedOutcome(r.sendAttempt(cutOff, fmt.Sprint("ran-", n), nil, false)); got != "answered" && got != "unknown" {
			t.Errorf("call that ran: told %q behind the cut", got)
		}
		name := fmt.Sprint("new-", n)
		if got := reportedOutcome(r.sendAttempt(cutOff, name, nil, true)); got != "not_run" || r.runCount(name) != 0 {
			t.Errorf("first attempt: told %q, ran %d times", got, r.runCount(name))
		}
		if got := reportedOutcome(r.sendAttempt(cutOff, name, nil, false)); got != "unknown" || r.runCount(name) != 0 {
			t.Errorf("retry behind the cut: told %q, ran %d times", got, r.runCount(name))
		}
	}
	r.requireCallsAnswered("near-", r.instances...)
	v.peersCut.Store(false)
	v.platformDown.Store(false)
	r.requireCallsAnswered("new-", cutOff)
	for n := range 6 {
		if ran := r.runCount(fmt.Sprint("ran-", n)); ran != 1 {
			t.Errorf("call %d ran %d times", n, ran)
		}
	}
}

// Two availability zones draw on one budget through a cut between them, which
// also takes the platform from one; the other one tops up meanwhile.
func TestBudgetAcrossACutBetweenZones(t *testing.T) {
	const prepaid, added, tokens, requests = 3_000, 500, 50, 40
	s := startDeployment(t)
	near, far := startPlatformProxy(t, s.platform), startPlatformProxy(t, s.platform)
	near.intactZone, far.intactZone = "hall-a", "hall-b"
	sides := map[*platformProxy][]*instance{
		near: {startInstance(t, "a1", "hall-a", near.url, ""), startInstance(t, "a2", "hall-a", near.url, "")},
		far:  {startInstance(t, "b1", "hall-b", far.url, ""), startInstance(t, "b2", "hall-b", far.url, "")},
	}
	operators := sides[near][0].operatorsURL
	key := seedTeam(t, operators, "dala", prepaid)
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
	topUp(t, operators, "dala", "during", added)
	var wg sync.WaitGroup
	for _, side := range sides {
		for n := range requests {
			wg.Go(func() { send(side[n%len(side)]) })
		}
	}
	wg.Wait()
	t.Logf("%d of %d requests answered during the cut, %d tokens used in all", answered.Load()-before, 2*requests, used.Load())
	if answered.Load() == before {
		t.Fatal("nothing was served during the cut")
	}
	near.peersCut.Store(false)
	far.peersCut.Store(false)
	far.platformDown.Store(false)
	for _, side := range sides {
		for _, in := range side {
			eventually(t, "the bills of both sides, none twice", func() bool {
				row := readBudget(t, in.operatorsURL, "dala")
				if row.Committed > row.Prepaid || row.Billed > prepaid+added {
					t.Fatalf("overspent: %+v", row)
				}
				return row.Prepaid == prepaid+added && row.Billed == used.Load()
			})
		}
	}
}
