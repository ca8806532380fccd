//go:build measure

package process_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"guavapier/internal/record"
)

// The measurements of docs/CAPACITY.md that need separate processes:
//
//	go test -tags measure -count=1 -v -run Capacity ./test/process

const (
	userHz             = 100 // Clock ticks per second in /proc/PID/stat.
	idleSampleDuration = 20 * time.Second
	idleWarmup         = 5 * time.Second
)

// processUsage holds the resources that a process has used since its start.
type processUsage struct {
	cpu time.Duration
	rss int64 // Current resident set, in bytes.
	// io is the number of bytes read and written by system calls, including
	// those on sockets.
	io int64
}

func (u processUsage) sub(o processUsage) processUsage {
	return processUsage{cpu: u.cpu - o.cpu, rss: u.rss - o.rss, io: u.io - o.io}
}

func readUsage(t *testing.T, p *process) processUsage {
	t.Helper()
	read := func(name string) string {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	number := func(text string) int64 {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	var u processUsage
	stat := read("stat")
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	u.cpu = time.Duration(number(fields[11])+number(fields[12])) * time.Second / userHz
	u.rss = number(strings.Fields(read("statm"))[1]) * int64(os.Getpagesize())
	for _, line := range strings.Split(read("io"), "\n") {
		if name, value, ok := strings.Cut(line, ": "); ok && (name == "rchar" || name == "wchar") {
			u.io += number(value)
		}
	}
	return u
}

// TestCapacityQuietInstance measures the processor time, I/O and memory of an
// instance that serves no request, by the number of instances and of endpoints.
func TestCapacityQuietInstance(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	for _, size := range []struct{ instances, endpoints int }{{1, 4}, {4, 4}, {8, 4}, {16, 4}, {4, 16}, {4, 64}} {
		f := &fleet{t: t}
		var platform *process
		platform, f.platform = startStandin(t, "platform", "-lag", listLag)
		_, url := startStandin(t, "engine")
		rows := []map[string]any{}
		for n := range size.endpoints {
			rows = append(rows, map[string]any{"name": fmt.Sprint("engine-", n), "zone": "hall-a", "url": url, "model": "small"})
		}
		mustCall(t, http.MethodPut, f.platform+"/endpoints", "", rows)
		for n := range size.instances {
			f.instances = append(f.instances, startInstance(t, fmt.Sprint("a", n), "hall-a", f.platform, ""))
		}
		time.Sleep(idleWarmup)
		before := readUsage(t, f.instances[0].process)
		time.Sleep(idleSampleDuration)
		spent := readUsage(t, f.instances[0].process).sub(before)
		t.Logf("instances=%d endpoints=%d: %.2f%% of a core, %.0f B/s read and written, %.1f MB resident", size.instances, size.endpoints,
			100*spent.cpu.Seconds()/idleSampleDuration.Seconds(), float64(spent.io)/idleSampleDuration.Seconds(), float64(before.rss)/1e6)
		for _, in := range f.instances {
			in.kill()
		}
		platform.kill()
	}
}

// TestCapacityOpenStreams measures an instance's memory per open stream and its
// processor time per token, by the number of streams.
func TestCapacityOpenStreams(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	const slots, tokens = 4000, 200
	_, platform := startStandin(t, "platform", "-lag", listLag)
	_, url := startStandin(t, "engine", "-slots", strconv.Itoa(slots), "-step", "40ms")
	mustCall(t, http.MethodPut, platform+"/endpoints", "", []map[string]any{{"name": "engine-1", "zone": "hall-a", "url": url, "model": "small"}})
	in := startInstance(t, "a1", "hall-a", platform, "")
	key := seedTeam(t, in.operatorsURL, "dala", 1_000_000_000)
	mustCall(t, http.MethodPut, in.operatorsURL+"/settings", operatorToken, record.Change{ID: "slots", Ops: []record.ChangeOp{
		{Path: "/fleet/engines/engine-1/slots", Value: strconv.Itoa(slots)},
	}})
	time.Sleep(time.Second)
	for _, streams := range []int{100, 400, 1600} {
		before := readUsage(t, in.process)
		began := time.Now()
		var completed int64
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				a := call(http.MethodPost, in.callersURL+"/v1/chat/completions", key, chatBody(tokens, true))
				_, done := streamText(a.body)
				mu.Lock()
				defer mu.Unlock()
				if done {
					completed++
				}
			})
		}
		time.Sleep(tokens * 40 * time.Millisecond / 2)
		middle := readUsage(t, in.process)
		wg.Wait()
		spent := readUsage(t, in.process).sub(before)
		t.Logf("streams=%d: %d whole in %v, %.1f kB resident a stream, %.1f us processor time a token, %.0f B read and written a token",
			streams, completed, time.Since(began).Round(time.Millisecond), float64(middle.rss-before.rss)/1e3/float64(streams),
			float64(spent.cpu.Microseconds())/float64(completed*tokens), float64(spent.io)/float64(completed*tokens))
	}
}

// totalAppends returns the sum of the offsets that an instance has applied over
// all streams, which is the number of log appends by the whole fleet.
func totalAppends(t *testing.T, in *instance) (sum float64) {
	t.Helper()
	var dump struct {
		Applied map[string]float64 `json:"applied"`
	}
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, in.operatorsURL+"/state", operatorToken, nil).body), &dump); err != nil {
		t.Fatal(err)
	}
	for _, offset := range dump.Applied {
		sum += offset
	}
	return sum
}

// TestCapacityRequests measures the processor time of a short chat request and
// of a service call, both at the instance that serves it and at the other
// instance of the zone, and the fleet's log appends.
func TestCapacityRequests(t *testing.T) {
	useBinaryWithoutRaceDetector(t)
	f := startFleet(t, 0, 2)
	_, url := startStandin(t, "engine", "-slots", "4000", "-step", "3ms")
	mustCall(t, http.MethodPut, f.platform+"/endpoints", "", []map[string]any{
		{"name": "engine-1", "zone": "hall-a", "url": url, "model": "small"},
		{"name": "service-1", "zone": "hall-a", "url": f.services[0], "service": "rig"},
	})
	time.Sleep(time.Second)
	in, other := f.instances[0], f.instances[1]
	requestKinds := map[string]func(n, i int) response{
		"short request": func(int, int) response {
			return call(http.MethodPost, in.callersURL+"/v1/chat/completions", f.key, chatBody(1, false))
		},
		"service call": func(n, i int) response {
			return call(http.MethodPost, in.callersURL+"/v1/services/rig/setpoint", f.key, map[string]any{"g": 1}, "Idempotency-Key", fmt.Sprint(n, "-", i, "-", time.Now().UnixNano()))
		},
	}
	for name, send := range requestKinds {
		for _, callers := range []int{1, 4, 16} {
			const requestsPerCaller = 400
			before, beforeOther, appended := readUsage(t, in.process), readUsage(t, other.process), totalAppends(t, in)
			began := time.Now()
			var wg sync.WaitGroup
			for n := range callers {
				wg.Go(func() {
					for i := range requestsPerCaller {
						if a := send(n, i); a.status != http.StatusOK {
							t.Errorf("request failed: status %d, body %s", a.status, a.body)
							return
						}
					}
				})
			}
			wg.Wait()
			total, elapsed := float64(callers*requestsPerCaller), time.Since(began).Seconds()
			spent, spentOther := readUsage(t, in.process).sub(before), readUsage(t, other.process).sub(beforeOther)
			t.Logf("%s, callers=%d: %.0f/s, %.0f us processor time each here, %.0f us at the other instance, %.0f and %.0f B read and written each, %.1f appends/s",
				name, callers, total/elapsed, float64(spent.cpu.Microseconds())/total, float64(spentOther.cpu.Microseconds())/total,
				float64(spent.io)/total, float64(spentOther.io)/total, (totalAppends(t, in)-appended)/elapsed)
		}
	}
}
