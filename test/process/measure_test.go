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

// The measurements of docs/measurements/streams.md. They assert outcomes, never
// times, and run apart from the tests:
//
//	go test -tags measure -count=1 -v -run Measure ./test/process

// plainBinary replaces the binary by one without the race detector.
func plainBinary(t *testing.T) {
	t.Helper()
	raced := binary
	binary = filepath.Join(t.TempDir(), "guavapier")
	if out, err := exec.Command("go", "build", "-o", binary, "guavapier/cmd/guavapier").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	t.Cleanup(func() { binary = raced })
}

// summary formats a sample's quantiles.
func summary(sample []time.Duration) string {
	if len(sample) == 0 {
		return "no samples"
	}
	slices.Sort(sample)
	at := func(q float64) time.Duration { return sample[int(q*float64(len(sample)-1))] }
	return fmt.Sprintf("n=%d median=%v p99=%v max=%v", len(sample), at(0.5).Round(10*time.Microsecond), at(0.99).Round(10*time.Microsecond), at(1).Round(10*time.Microsecond))
}

// TestMeasureAddedLatency sends the same requests in turn straight at the
// engine and through an instance.
func TestMeasureAddedLatency(t *testing.T) {
	plainBinary(t)
	f := startFleet(t, 1, 2)
	const callers, each, tokens = 4, 250, 20
	var mu sync.Mutex
	first, whole := map[string][]time.Duration{}, map[string][]time.Duration{}
	var wait sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for n := range callers {
		wait.Go(func() {
			for i := range each {
				for _, way := range []string{"engine", "router"} {
					one, all := f.timed(t, client, way, fmt.Sprintf("m-%d-%d", n, i), tokens)
					mu.Lock()
					first[way], whole[way] = append(first[way], one), append(whole[way], all)
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	for _, way := range []string{"engine", "router"} {
		t.Logf("first token, %s: %s", way, summary(first[way]))
		t.Logf("whole answer of %d tokens, %s: %s", tokens, way, summary(whole[way]))
	}
}

func (f *fleet) timed(t *testing.T, client *http.Client, way, id string, tokens int) (first, whole time.Duration) {
	data, _ := json.Marshal(chatBody(tokens, true))
	base := f.instances[0].callers
	if way == "engine" {
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
		if first == 0 && strings.Contains(lines.Text(), "content") {
			first = time.Since(began)
		}
		done = done || lines.Text() == "data: [DONE]"
	}
	if !done {
		t.Errorf("%s: no whole answer", way)
	}
	return first, time.Since(began)
}

const (
	faultRounds  = 8
	faultCallers = 16
	faultTokens  = 900
)

// TestMeasureFaultToNextByte brings a fault over endpoints and instances with
// streams open, and takes the time to each struck caller's next token.
func TestMeasureFaultToNextByte(t *testing.T) {
	plainBinary(t)
	for name, strike := range map[string]func(f *fleet, e *engine){
		"engine SIGKILL":    func(_ *fleet, e *engine) { e.signal(syscall.SIGKILL) },
		"engine SIGSTOP":    func(_ *fleet, e *engine) { e.signal(syscall.SIGSTOP) },
		"silent connection": func(_ *fleet, e *engine) { e.relay.silence(false, true) },
	} {
		var sample []time.Duration
		for range faultRounds {
			f := startFleet(t, 3, 2)
			sample = append(sample, f.strikeEngine(t, strike)...)
			f.stop()
		}
		t.Logf("%s to next token: %s", name, summary(sample))
	}
	var sample []time.Duration
	for range faultRounds {
		f := startFleet(t, 3, 3)
		sample = append(sample, f.strikeInstance(t)...)
		f.stop()
	}
	t.Logf("instance SIGKILL, retry elsewhere at once, to next token: %s", summary(sample))
}

func (f *fleet) stop() {
	for _, e := range f.engines {
		e.kill()
	}
	for _, in := range f.instances {
		in.kill()
	}
}

// openStreams starts the callers at one instance and waits until all get tokens.
func (f *fleet) openStreams(t *testing.T, done func(n int, a answered)) *sync.WaitGroup {
	var wait, begun sync.WaitGroup
	for n := range faultCallers {
		begun.Add(1)
		var once sync.Once
		wait.Go(func() {
			a := f.ask(f.instances[0], faultTokens, func(int) { once.Do(begun.Done) }, "Idempotency-Key", fmt.Sprint("k", n))
			once.Do(begun.Done)
			done(n, a)
		})
	}
	begun.Wait()
	return &wait
}

func (f *fleet) strikeEngine(t *testing.T, strike func(*fleet, *engine)) (sample []time.Duration) {
	var mu sync.Mutex
	var all []answered
	wait := f.openStreams(t, func(_ int, a answered) {
		mu.Lock()
		all = append(all, a)
		mu.Unlock()
	})
	victim := f.running()
	struck := map[string]bool{}
	for _, row := range victim.runs(t) {
		struck[row.ID] = !row.Done
	}
	at := time.Now()
	strike(f, victim)
	wait.Wait()
	for _, a := range all {
		if a.text != wholeText(faultTokens) || !a.whole {
			t.Errorf("%d tokens, error %q", len(a.at), a.err)
		}
		if struck[a.run] {
			sample = append(sample, f.nextByte(t, victim, a).Sub(at))
		}
	}
	return sample
}

// nextByte returns when the first token after the fault came: the first one of
// the engine that the run has moved to, or else the one that ended the longest
// pause.
func (f *fleet) nextByte(t *testing.T, victim *engine, a answered) time.Time {
	for _, e := range f.engines {
		if e == victim {
			continue
		}
		for _, row := range e.runs(t) {
			if row.ID == a.run && row.Prior > 0 {
				return a.at[row.Prior]
			}
		}
	}
	return afterGap(a.at)
}

// afterGap returns when the longest pause of a stream ended.
func afterGap(at []time.Time) (end time.Time) {
	var longest time.Duration
	for i := 1; i < len(at); i++ {
		if gap := at[i].Sub(at[i-1]); gap > longest {
			longest, end = gap, at[i]
		}
	}
	return end
}

func (f *fleet) strikeInstance(t *testing.T) (sample []time.Duration) {
	var mu sync.Mutex
	var at time.Time
	wait := f.openStreams(t, func(n int, first answered) {
		rest := f.ask(f.instances[1], faultTokens, nil, "Idempotency-Key", fmt.Sprint("k", n), "Last-Event-ID", first.last)
		mu.Lock()
		defer mu.Unlock()
		if first.text+rest.text != wholeText(faultTokens) || !rest.whole {
			t.Errorf("%d and %d tokens, error %q %q", len(first.at), len(rest.at), first.err, rest.err)
			return
		}
		sample = append(sample, rest.at[0].Sub(at))
	})
	mu.Lock()
	at = time.Now()
	mu.Unlock()
	f.instances[0].signal(syscall.SIGKILL)
	wait.Wait()
	return sample
}

// TestMeasureDrain counts the requests that a drain cuts off.
func TestMeasureDrain(t *testing.T) {
	plainBinary(t)
	var cut, whole int
	var mu sync.Mutex
	for range faultRounds {
		f := startFleet(t, 3, 2)
		wait := f.openStreams(t, func(_ int, a answered) {
			mu.Lock()
			defer mu.Unlock()
			if a.text == wholeText(faultTokens) && a.whole {
				whole++
			} else {
				cut++
			}
		})
		f.instances[0].signal(syscall.SIGTERM)
		wait.Wait()
		f.stop()
	}
	t.Logf("drain with streams in flight: %d whole, %d cut off", whole, cut)
}

// TestMeasureLeaving takes the time from the sign to the last order that
// reached the engine, under load.
func TestMeasureLeaving(t *testing.T) {
	plainBinary(t)
	for _, by := range []string{"own word", "list"} {
		var last []time.Duration
		for range faultRounds {
			f := startFleet(t, 3, 2)
			l := f.load(12, 10)
			eventually(t, "the load runs", func() bool { return l.answers.Load() > 50 })
			e := f.running()
			at := time.Now()
			if by == "list" {
				f.list(fmt.Sprintf("engine-%d", slices.Index(f.engines, e)+1))
			} else {
				e.fault(t, map[string]any{"leaving": true})
			}
			time.Sleep(4 * time.Second)
			var r struct {
				Last      int64 `json:"last"`
				LastBegun int64 `json:"last_begun"`
			}
			_ = json.Unmarshal([]byte(mustCall(t, http.MethodGet, e.url+"/refusals", "", nil).body), &r)
			last = append(last, time.UnixMilli(max(r.Last, r.LastBegun)).Sub(at))
			l.end(t)
			f.stop()
		}
		t.Logf("leaving by %s to the last order: %s", by, summary(last))
	}
}
