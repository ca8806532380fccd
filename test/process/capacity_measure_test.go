//go:build measure

package process_test

import (
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

// The slopes of docs/CAPACITY.md that need whole processes:
//
//	go test -tags measure -count=1 -v -run Capacity ./test/process

const (
	userHz    = 100 // Clock ticks a second in /proc/PID/stat.
	quietSpan = 20 * time.Second
	quietIn   = 5 * time.Second
)

// usage is what a process has taken so far.
type usage struct {
	cpu time.Duration
	rss int64 // Bytes now.
	// io is the bytes read and written by system calls, sockets included.
	io int64
}

func (u usage) sub(o usage) usage {
	return usage{cpu: u.cpu - o.cpu, rss: u.rss - o.rss, io: u.io - o.io}
}

func usageOf(t *testing.T, p *process) usage {
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
	var u usage
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

// TestCapacityQuietInstance takes what an instance spends without any request,
// by the number of instances and of endpoints.
func TestCapacityQuietInstance(t *testing.T) {
	plainBinary(t)
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
		time.Sleep(quietIn)
		before := usageOf(t, f.instances[0].process)
		time.Sleep(quietSpan)
		spent := usageOf(t, f.instances[0].process).sub(before)
		t.Logf("instances=%d endpoints=%d: %.2f%% of a core, %.0f B/s read and written, %.1f MB resident", size.instances, size.endpoints,
			100*spent.cpu.Seconds()/quietSpan.Seconds(), float64(spent.io)/quietSpan.Seconds(), float64(before.rss)/1e6)
		for _, in := range f.instances {
			in.kill()
		}
		platform.kill()
	}
}

// TestCapacityOpenStreams takes an instance's memory for an open stream and
// its processor time for a token, by the number of streams.
func TestCapacityOpenStreams(t *testing.T) {
	plainBinary(t)
	const slots, tokens = 4000, 200
	_, platform := startStandin(t, "platform", "-lag", listLag)
	_, url := startStandin(t, "engine", "-slots", strconv.Itoa(slots), "-step", "40ms")
	mustCall(t, http.MethodPut, platform+"/endpoints", "", []map[string]any{{"name": "engine-1", "zone": "hall-a", "url": url, "model": "small"}})
	in := startInstance(t, "a1", "hall-a", platform, "")
	key := seedTeam(t, in.operators, "dala", 1_000_000_000)
	mustCall(t, http.MethodPut, in.operators+"/settings", operatorToken, record.Change{ID: "slots", Ops: []record.ChangeOp{
		{Path: "/fleet/engines/engine-1/slots", Value: strconv.Itoa(slots)},
	}})
	time.Sleep(time.Second)
	for _, streams := range []int{100, 400, 1600} {
		before := usageOf(t, in.process)
		began := time.Now()
		var whole int64
		var mu sync.Mutex
		var wait sync.WaitGroup
		for range streams {
			wait.Go(func() {
				a := call(http.MethodPost, in.callers+"/v1/chat/completions", key, chatBody(tokens, true))
				_, done := streamText(a.body)
				mu.Lock()
				defer mu.Unlock()
				if done {
					whole++
				}
			})
		}
		time.Sleep(tokens * 40 * time.Millisecond / 2)
		middle := usageOf(t, in.process)
		wait.Wait()
		spent := usageOf(t, in.process).sub(before)
		t.Logf("streams=%d: %d whole in %v, %.1f kB resident a stream, %.1f us processor time a token, %.0f B read and written a token",
			streams, whole, time.Since(began).Round(time.Millisecond), float64(middle.rss-before.rss)/1e3/float64(streams),
			float64(spent.cpu.Microseconds())/float64(whole*tokens), float64(spent.io)/float64(whole*tokens))
	}
}

// TestCapacityRequests takes an instance's processor time for a short request.
func TestCapacityRequests(t *testing.T) {
	plainBinary(t)
	_, platform := startStandin(t, "platform", "-lag", listLag)
	_, url := startStandin(t, "engine", "-slots", "4000", "-step", "3ms")
	mustCall(t, http.MethodPut, platform+"/endpoints", "", []map[string]any{{"name": "engine-1", "zone": "hall-a", "url": url, "model": "small"}})
	in := startInstance(t, "a1", "hall-a", platform, "")
	other := startInstance(t, "a2", "hall-a", platform, "")
	key := seedTeam(t, in.operators, "dala", 1_000_000_000)
	for _, callers := range []int{1, 4, 16} {
		const each = 400
		before, beforeOther := usageOf(t, in.process), usageOf(t, other.process)
		began := time.Now()
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				for range each {
					if a := call(http.MethodPost, in.callers+"/v1/chat/completions", key, chatBody(1, false)); a.status != http.StatusOK {
						t.Errorf("%d %s", a.status, a.body)
						return
					}
				}
			})
		}
		wait.Wait()
		n := float64(callers * each)
		spent, spentOther := usageOf(t, in.process).sub(before), usageOf(t, other.process).sub(beforeOther)
		t.Logf("callers=%d: %.0f requests/s, %.0f us processor time a request here, %.0f us at the other instance, %.0f and %.0f B a request",
			callers, n/time.Since(began).Seconds(), float64(spent.cpu.Microseconds())/n, float64(spentOther.cpu.Microseconds())/n, float64(spent.io)/n, float64(spentOther.io)/n)
	}
}
