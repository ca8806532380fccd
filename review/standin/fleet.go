package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	routerProgram = "target/guavapier"
	loopback      = "127.0.0.1"
	// heartbeatInterval and missedHeartbeats are those of engines' entries in the store.
	heartbeatInterval = 1200 * time.Millisecond
	missedHeartbeats  = 3
	startTimeout      = 20 * time.Second
)

// fleet holds the processes of one run and the record of what was seen.
type fleet struct {
	dir     string // For settings files and logs of the routers.
	store   *store
	storeAt string
	routers []*router
	engines []*engineProcess
	stop    chan struct{}
	// onEngineLine, if not nil, is called with each line of an engine, with mu held.
	onEngineLine func(line string)

	mu      sync.Mutex
	started time.Time
	file    *os.File
	running []*exec.Cmd
}

// router is one process of the system under test.
type router struct {
	name, zone            string
	front, ready, metrics string // Addresses.
	peers                 string
	cmd                   *exec.Cmd
}

// engineProcess is one stand-in of an engine.
type engineProcess struct {
	id, service, zone, address string
	cmd                        *exec.Cmd
	silentSince                time.Time // When it was killed; zero while it runs.
}

// newFleet starts the store. Everything seen is written to the file recordFile.
func newFleet(recordFile string) (*fleet, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: newStore(), storeAt: listener.Addr().String(), stop: make(chan struct{}), started: time.Now(), file: file}
	server := &http.Server{Handler: f.store.handler(), ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(listener) }()
	return f, nil
}

// record adds a line to the record.
func (f *fleet) record(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(format, values...)
}

// recordEngine adds a line of an engine to the record.
func (f *fleet) recordEngine(id, line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line = "engine " + id + ": " + line
	f.recordLocked("%s", line)
	if f.onEngineLine != nil {
		f.onEngineLine(line)
	}
}

// cutLine returns what follows text in a line.
func cutLine(line, text string) (rest string, found bool) {
	_, rest, found = strings.Cut(line, text)
	return rest, found
}

// recordLocked is record for a caller that holds mu.
func (f *fleet) recordLocked(format string, values ...any) {
	fmt.Fprintf(f.file, "%7.3f s  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, values...))
}

// closeOnSignal ends everything, as a case that could not run, when this process is told to end.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		f.record("told to end before the case was over")
		f.close()
		os.Exit(exitNotToRun)
	}()
}

// close ends all processes that were started and removes the folder.
func (f *fleet) close() {
	close(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range f.running {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range f.running {
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(f.dir)
	_ = f.file.Close()
}

// setState writes a desired state as the operator.
func (f *fleet) setState(state any) error {
	value, err := json.Marshal(state)
	if err != nil {
		return err
	}
	f.store.put("keyed.op", "config", value)
	f.record("operator: desired state acknowledged: %s", value)
	return nil
}

// start runs a program whose output goes to the file log, or to lines if that is not nil.
func (f *fleet) start(cmd *exec.Cmd, log string, lines func(string)) error {
	out, err := os.Create(filepath.Join(f.dir, log))
	if err != nil {
		return err
	}
	cmd.Stderr = out
	cmd.Stdout = out
	if lines != nil {
		cmd.Stdout = nil
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			return err
		}
		go scanLines(pipe, lines)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, cmd)
	return nil
}

func scanLines(from io.Reader, lines func(string)) {
	scanner := bufio.NewScanner(from)
	for scanner.Scan() {
		lines(scanner.Text())
	}
}

// freeAddress returns a loopback address whose port was free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// settingsText are the settings that the deploy file's template gives on a small installation.
const settingsText = `[gateway]
name = %q
zone = %q
callers = %q
ready = %q
operators = %q
peers = %q
memory_mb = 284
link_mbps = 1000

[store]
url = "http://%s"
state_within = "2000ms"
leaving_within = "2000ms"

[load]
exchange = true

[placement]
by_time = "unequal"
held_prompts = true

[drain]
within = "8s"

[retries]
ratio = 0.2
extra = 56
window = "10s"
`

// addRouter starts a router.
func (f *fleet) addRouter(name, zone string) (*router, error) {
	r := &router{name: name, zone: zone}
	for _, address := range []*string{&r.front, &r.ready, &r.metrics, &r.peers} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	f.routers = append(f.routers, r)
	return r, f.startRouter(r)
}

// startRouter starts the process of a router, with the command of the deploy file.
func (f *fleet) startRouter(r *router) error {
	file := filepath.Join(f.dir, r.name+".toml")
	text := fmt.Sprintf(settingsText, r.name, r.zone, r.front, r.ready, r.metrics, r.peers, f.storeAt)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	r.cmd = exec.Command(routerProgram, "serve")
	r.cmd.Env = append(os.Environ(), "GUAVAPIER_CONFIG="+file)
	if err := f.start(r.cmd, fmt.Sprintf("%s-%d.log", r.name, time.Now().UnixNano()), nil); err != nil {
		return err
	}
	f.record("router %s started as process %d, callers at %s", r.name, r.cmd.Process.Pid, r.front)
	return nil
}

// awaitReady waits until all routers answer the platform's readiness probe with 200.
func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, r := range f.routers {
		for {
			resp, err := client.Get("http://" + r.ready + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(f.started) > startTimeout {
				return fmt.Errorf("router %s is not ready after %s", r.name, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.record("router %s is ready", r.name)
	}
	return nil
}

// addEngine starts an engine of a plain service with further arguments.
func (f *fleet) addEngine(id, service, zone string, args ...string) (*engineProcess, error) {
	return f.addProcess("engine", id, service, zone, args...)
}

// addProcess starts an engine of a kind and keeps its entry in the store.
func (f *fleet) addProcess(kind, id, service, zone string, args ...string) (*engineProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{id: id, service: service, zone: zone, address: address}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(self, append([]string{kind, "-listen", address, "-id", id}, args...)...)
	if err := f.start(e.cmd, id+".log", func(line string) { f.recordEngine(id, line) }); err != nil {
		return nil, err
	}
	if err := awaitListener(address); err != nil {
		return nil, err
	}
	f.record("engine %s of service %s started as process %d at %s", id, service, e.cmd.Process.Pid, address)
	f.engines = append(f.engines, e)
	go f.keepEntry(e)
	return e, nil
}

func awaitListener(address string) error {
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Since(start) > startTimeout {
			return err
		}
	}
}

// keepEntry writes the engine's entry at each heartbeat, and removes it once the engine has been
// silent for long enough.
func (f *fleet) keepEntry(e *engineProcess) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		f.mu.Lock()
		silentSince := e.silentSince
		f.mu.Unlock()
		switch {
		case silentSince.IsZero():
			entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`, e.service, e.address, e.zone, sequence, born)
			f.store.put("keyed.servers", e.id, []byte(entry))
		case time.Since(silentSince) > missedHeartbeats*heartbeatInterval:
			f.store.put("keyed.servers", e.id, nil)
			f.record("engine %s: its entry is removed", e.id)
			return
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-f.stop:
			return
		}
	}
}

// killEngine kills an engine with SIGKILL.
func (f *fleet) killEngine(e *engineProcess) {
	f.mu.Lock()
	e.silentSince = time.Now()
	f.mu.Unlock()
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	f.record("engine %s: killed with SIGKILL", e.id)
}

// hasTrouble reports whether the disruption is to take place.
func hasTrouble() bool { return strings.TrimSpace(os.Getenv("TROUBLE")) != "0" }
