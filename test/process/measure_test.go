//go:build measure

package process_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The measurements of docs/measurements/streams.md. They assert outcomes but no
// times, and aren't part of the ordinary test run:
//
//	go test -tags measure -count=1 -v -run Measure ./test/process

// useBinaryWithoutRaceDetector replaces the binary under test, until the end of
// the test, by one built without the race detector.
func useBinaryWithoutRaceDetector(t *testing.T) {
	t.Helper()
	raced := binary
	binary = filepath.Join(t.TempDir(), "guavapier")
	if out, err := exec.Command("go", "build", "-o", binary, "guavapier/cmd/guavapier").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	t.Cleanup(func() { binary = raced })
}

// quantileSummary formats the size, median, 99th percentile and maximum of a
// sample. It sorts the sample.
func quantileSummary(sample []time.Duration) string {
	if len(sample) == 0 {
		return "no samples"
	}
	slices.Sort(sample)
	at := func(q float64) time.Duration { return sample[int(q*float64(len(sample)-1))] }
	return fmt.Sprintf("n=%d median=%v p99=%v max=%v", len(sample), at(0.5).Round(10*time.Microsecond), at(0.99).Round(10*time.Microsecond), at(1).Round(10*time.Microsecond))
}

// TestMeasureAddedLatency sends the same requests alternately to the engine
// directly and through an instance, and compares their latencies.
func TestMeasureAddedLatency(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	f := startFleet(t, 1, 2)
	const callers, requestsPerCaller, tokens = 4, 250, 20
	var mu sync.Mutex
	firstToken, complete := map[string][]time.Duration{}, map[string][]time.Duration{}
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for n := range callers {
		wg.Go(func() {
			for i := range requestsPerCaller {
				for _, path := range []string{"engine", "router"} {
					one, all := f.measureRequest(t, client, path, fmt.Sprintf("m-%d-%d", n, i), tokens)
					mu.Lock()
					firstToken[path], complete[path] = append(firstToken[path], one), append(complete[path], all)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for _, path := range []string{"engine", "router"} {
		t.Logf("first token, %s: %s", path, quantileSummary(firstToken[path]))
		t.Logf("whole answer of %d tokens, %s: %s", tokens, path, quantileSummary(complete[path]))
	}
}

// measureRequest streams one chat request, directly to the first engine if path is
// "engine" and through the first instance otherwise. It returns the time to the
// first token and to the end of the answer.
func (f *fleet) measureRequest(t *testing.T, client *http.Client, path, id string, tokens int) (firstToken, complete time.Duration) {
	data, _ := json.Marshal(chatBody(tokens, true))
	base := f.instances[0].callersURL
	if path == "engine" {
		base = f.engines[0].url
	}
	req, _ := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(data))
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("X-Run-Id", id)
	req.Header.Set("X-Attempt", "1")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer resp.Body.Close()
	lines, done := bufio.NewScanner(resp.Body), false
	for lines.Scan() {
		if firstToken == 0 && strings.Contains(lines.Text(), "content") {
			firstToken = time.Since(began)
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	if !done {
		t.Errorf("%s: incomplete answer", path)
	}
	return firstToken, time.Since(began)
}

const (
	faultRounds  = 8
	faultCallers = 16
	faultTokens  = 900
)

// TestMeasureFaultToNextByte injects faults into engines, connections and
// instances while streams are open, and measures the time until each affected
// caller's next token.
func TestMeasureFaultToNextByte(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	for name, inject := range map[string]func(f *fleet, e *engine){
		"engine SIGKILL":    func(_ *fleet, e *engine) { e.signal(syscall.SIGKILL) },
		"engine SIGSTOP":    func(_ *fleet, e *engine) { e.signal(syscall.SIGSTOP) },
		"silent connection": func(_ *fleet, e *engine) { e.relay.setDropped(false, true) },
	} {
		var sample []time.Duration
		for range faultRounds {
			f := startFleet(t, 3, 2)
			sample = append(sample, f.measureEngineFault(t, inject)...)
			f.killProcesses()
		}
		t.Logf("%s to next token: %s", name, quantileSummary(sample))
	}
	var sample []time.Duration
	for range faultRounds {
		f := startFleet(t, 3, 3)
		sample = append(sample, f.measureInstanceKill(t)...)
		f.killProcesses()
	}
	t.Logf("instance SIGKILL, retry elsewhere at once, to next token: %s", quantileSummary(sample))
}

// killProcesses kills the engines and instances, so that the next round starts
// with a new fleet.
func (f *fleet) killProcesses() {
	for _, e := range f.engines {
		e.kill()
	}
	for _, in := range f.instances {
		in.kill()
	}
}

// openStreams starts faultCallers streams through one instance and returns once
// each of them has received a token or ended. It calls done with the index and the
// result of each stream. The wait group waits for all of them to end.
func (f *fleet) openStreams(t *testing.T, done func(n int, a streamResult)) *sync.WaitGroup {
	var wg, begun sync.WaitGroup
	for n := range faultCallers {
		begun.Add(1)
		var once sync.Once
		wg.Go(func() {
			a := f.streamChat(f.instances[0], faultTokens, func(int) { once.Do(begun.Done) }, "Idempotency-Key", fmt.Sprint("k", n))
			once.Do(begun.Done)
			done(n, a)
		})
	}
	begun.Wait()
	return &wg
}

// measureEngineFault injects a fault into an engine that generates streams. It
// returns, for each stream on that engine, the time until the next token.
func (f *fleet) measureEngineFault(t *testing.T, inject func(*fleet, *engine)) (sample []time.Duration) {
	var mu sync.Mutex
	var all []streamResult
	wg := f.openStreams(t, func(_ int, a streamResult) {
		mu.Lock()
		all = append(all, a)
		mu.Unlock()
	})
	faulty := f.awaitRunningEngine()
	affected := map[string]bool{}
	for _, row := range faulty.runs(t) {
		affected[row.ID] = !row.Done
	}
	at := time.Now()
	inject(f, faulty)
	wg.Wait()
	for _, a := range all {
		if a.text != expectedText(faultTokens) || !a.complete {
			t.Errorf("%d tokens, error %q", len(a.tokenTimes), a.err)
		}
		if affected[a.runID] {
			sample = append(sample, f.firstTokenAfterFault(t, faulty, a).Sub(at))
		}
	}
	return sample
}

// firstTokenAfterFault returns the arrival time of the first token after the fault:
// the first one from the engine that the run was moved to, or else the one that
// ended the longest pause.
func (f *fleet) firstTokenAfterFault(t *testing.T, faulty *engine, a streamResult) time.Time {
	for _, e := range f.engines {
		if e == faulty {
			continue
		}
		for _, row := range e.runs(t) {
			if row.ID == a.runID && row.Prior > 0 {
				return a.tokenTimes[row.Prior]
			}
		}
	}
	return endOfLongestPause(a.tokenTimes)
}

// endOfLongestPause returns the arrival time of the token after a stream's longest
// pause.
func endOfLongestPause(at []time.Time) (end time.Time) {
	var longest time.Duration
	for i := 1; i < len(at); i++ {
		if gap := at[i].Sub(at[i-1]); gap > longest {
			longest, end = gap, at[i]
		}
	}
	return end
}

// measureInstanceKill kills the instance that serves the streams. Each caller
// resumes at another instance at once; the sample holds the times until their next
// tokens.
func (f *fleet) measureInstanceKill(t *testing.T) (sample []time.Duration) {
	var mu sync.Mutex
	var at time.Time
	wg := f.openStreams(t, func(n int, first streamResult) {
		rest := f.streamChat(f.instances[1], faultTokens, nil, "Idempotency-Key", fmt.Sprint("k", n), "Last-Event-ID", first.lastEventID)
		mu.Lock()
		defer mu.Unlock()
		if first.text+rest.text != expectedText(faultTokens) || !rest.complete {
			t.Errorf("%d and %d tokens, error %q %q", len(first.tokenTimes), len(rest.tokenTimes), first.err, rest.err)
			return
		}
		sample = append(sample, rest.tokenTimes[0].Sub(at))
	})
	mu.Lock()
	at = time.Now()
	mu.Unlock()
	f.instances[0].signal(syscall.SIGKILL)
	wg.Wait()
	return sample
}

// TestMeasureDrain counts the streams that a drain completes and cuts off.
func TestMeasureDrain(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	var cutOff, completed int
	var mu sync.Mutex
	for range faultRounds {
		f := startFleet(t, 3, 2)
		wg := f.openStreams(t, func(_ int, a streamResult) {
			mu.Lock()
			defer mu.Unlock()
			if a.text == expectedText(faultTokens) && a.complete {
				completed++
			} else {
				cutOff++
			}
		})
		f.instances[0].signal(syscall.SIGTERM)
		wg.Wait()
		f.killProcesses()
	}
	t.Logf("drain with streams in flight: %d whole, %d cut off", completed, cutOff)
}

// TestMeasureLeaving measures, under load, the time from an engine's announcement
// that it leaves until the last request that reaches it.
func TestMeasureLeaving(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	for _, by := range []string{"own word", "list"} {
		var last []time.Duration
		for range faultRounds {
			f := startFleet(t, 3, 2)
			l := f.startLoad(12, 10)
			eventually(t, "the load runs", func() bool { return l.completed.Load() > 50 })
			e := f.awaitRunningEngine()
			at := time.Now()
			if by == "list" {
				f.listEndpoints(fmt.Sprintf("engine-%d", slices.Index(f.engines, e)+1))
			} else {
				e.setFaults(t, map[string]any{"leaving": true})
			}
			time.Sleep(4 * time.Second)
			var r struct {
				Last      int64 `json:"last"`
				LastBegun int64 `json:"last_begun"`
			}
			_ = json.Unmarshal([]byte(mustCall(t, http.MethodGet, e.url+"/refusals", "", nil).body), &r)
			last = append(last, time.UnixMilli(max(r.Last, r.LastBegun)).Sub(at))
			l.stopAndCheck(t)
			f.killProcesses()
		}
		t.Logf("time from leaving by %s to the last request: %s", by, quantileSummary(last))
	}
}
