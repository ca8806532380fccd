package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/standin"
	"guavapier/platform/storetest"
)

// program is the program of the deploy file, as its build command leaves it.
const program = "target/guavapier"

// Ports of each instance, on a loopback address of its own.
const (
	callersPort = 8227
	readyPort   = 8220
	metricsPort = 9464 // As in the deploy file.
	peersPort   = 7340
)

// startTimeout bounds the wait until an instance is ready.
const startTimeout = 15 * time.Second

// scene is the platform of one case: a store, and the processes that were started.
type scene struct {
	trouble  bool
	dir      string
	storeURL string
	keyed    *standin.Keyed
	server   *http.Server
	start    time.Time
	refusals atomic.Int64 // Lines about refusals for the budget.

	mu        sync.Mutex // Guards the fields below.
	out       *os.File
	processes []*process
	hosts     map[string]bool
}

// newScene starts the store.
func newScene(recordPath string) (*scene, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	keyed := standin.NewKeyed()
	s := &scene{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, storeURL: "http://" + listener.Addr().String(), keyed: keyed, start: time.Now(), out: out, hosts: map[string]bool{},
		server: &http.Server{Handler: storetest.Handler{Log: func(logstore.Topic) *standin.Keyed { return keyed }, PageSize: 500}},
	}
	go func() { _ = s.server.Serve(listener) }()
	s.record("disruption: %t", s.trouble)
	return s, nil
}

// close ends all processes that were started and the store.
func (s *scene) close() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	_ = s.server.Close()
	_ = os.RemoveAll(s.dir)
	_ = s.out.Close()
}

// closeOnSignal ends all processes if this one is ended before the case is over.
func (s *scene) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.record("the case was ended before it was over")
		s.close()
		os.Exit(exitNotRun)
	}()
}

// record writes a line with the time since the start to the record.
func (s *scene) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%9.4f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process that was started, of the program or of an engine.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	once sync.Once
}

// run starts a process. Each line that it writes is passed to onLine.
func (s *scene) run(name string, cmd *exec.Cmd, onLine func(string)) (*process, error) {
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			onLine(lines.Text())
		}
		_, _ = io.Copy(io.Discard, output)
		_ = cmd.Wait()
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}

// signal sends a signal to the process.
func (p *process) signal(number syscall.Signal) error { return p.cmd.Process.Signal(number) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// instance is one process of the program under review.
type instance struct {
	*process
	host     string
	settings string // Path of its settings file.
}

// callers returns the address for clients.
func (i *instance) callers() string { return fmt.Sprintf("%s:%d", i.host, callersPort) }

// nextHost returns a loopback address at which the ports of an instance are free.
func (s *scene) nextHost() (string, error) {
	const tries = 50
	for range tries {
		host := fmt.Sprintf("127.%d.%d.%d", 10+rand.N(200), rand.N(250), 1+rand.N(250))
		if s.hosts[host] || !hasFreePorts(host) {
			continue
		}
		s.hosts[host] = true
		return host, nil
	}
	return "", errors.New("no loopback address with free ports")
}

func hasFreePorts(host string) bool {
	for _, port := range []int{callersPort, readyPort, metricsPort, peersPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// settingsText is what deploy/settings.toml.tmpl renders to on a machine of a small deployment,
// with the time that the platform gives a process to end.
func settingsText(name, zone, host, storeURL string, graceSeconds int) string {
	return fmt.Sprintf(`[gateway]
name = %q
zone = %q
callers = "%[3]s:%[4]d"
ready = "%[3]s:%[5]d"
operators = "%[3]s:%[6]d"
peers = "%[3]s:%[7]d"
memory_mb = 284
max_descriptors = 4100
link_mbps = 1000.0

[store]
url = %[8]q
state_within = "2000ms"
leaving_within = "2000ms"

[load]
exchange = true

[placement]
by_time = "unequal"
held_prompts = true

[drain]
within = "%[9]ds"

[warm_up]

[retries]
ratio = 0.2
extra = 56
window = "10s"
`, name, zone, host, callersPort, readyPort, metricsPort, peersPort, storeURL, graceSeconds)
}

// writeSettings writes an instance's settings file in one step.
func (s *scene) writeSettings(path, name, zone, host string, graceSeconds int) error {
	next := path + ".next"
	if err := os.WriteFile(next, []byte(settingsText(name, zone, host, s.storeURL, graceSeconds)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// startInstance starts an instance and waits until it is ready.
func (s *scene) startInstance(name, zone string, graceSeconds int) (*instance, error) {
	host, err := s.nextHost()
	if err != nil {
		return nil, err
	}
	i := &instance{host: host, settings: filepath.Join(s.dir, name+".toml")}
	if err := s.writeSettings(i.settings, name, zone, host, graceSeconds); err != nil {
		return nil, err
	}
	s.record("%s starts at %s, grace_s %d", name, host, graceSeconds)
	if err := s.startProcess(i, name); err != nil {
		return nil, err
	}
	return i, i.awaitReady()
}

// startProcess starts the process of an instance, with the settings in effect.
func (s *scene) startProcess(i *instance, name string) (err error) {
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVAPIER_CONFIG=" + i.settings}
	i.process, err = s.run(name, cmd, func(line string) { s.keepLine(name, line) })
	return err
}

// awaitReady waits until the instance answers the platform's question with 200.
func (i *instance) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		if i.hasEnded() {
			return fmt.Errorf("%s has ended at its start", i.name)
		}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", i.host, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", i.name, startTimeout)
}

// setState writes the desired state, as the operator does.
func (s *scene) setState(state string) {
	s.keyed.Set(logstore.TopicState, logstore.StateKey, []byte(state))
}

// maxRefusals is the number of lines about refusals for the budget that are recorded.
const maxRefusals = 10

// keepLine records what an instance writes of its own life and of budgets.
func (s *scene) keepLine(name, line string) {
	isRefusal := strings.Contains(line, `"forward: budget refused"`)
	if isRefusal && s.refusals.Add(1) > maxRefusals || !isRefusal && !strings.Contains(line, `"gateway: `) && !strings.Contains(line, `"prepaid: `) {
		return
	}
	s.record("%s writes %s", name, line)
}
