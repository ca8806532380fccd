package settings

import (
	"os"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
)

// Gateway is the settings file of an instance that serves an outside
// platform's callers and endpoints. A file with a table [gateway] is one.
type Gateway struct {
	Gateway GatewayInstance `toml:"gateway"`
	Store   Store           `toml:"store"`
	Log     GatewayLog      `toml:"log"`
	Drain   Drain           `toml:"drain"`
	Retries Retries         `toml:"retries"`
}

// GatewayInstance says who and where the instance is.
type GatewayInstance struct {
	Name      string `toml:"name"`
	Zone      string `toml:"zone"`
	Callers   string `toml:"callers"`
	Ready     string `toml:"ready"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
	MemoryMB  int64  `toml:"memory_mb"`
	// LinkMbps is the speed of the instance's link; 0 for unknown.
	LinkMbps float64 `toml:"link_mbps"`
}

// Store says where the platform's store is.
type Store struct {
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
	// StateWithin is the time within which a change of the desired state is to be in
	// force, LeavingWithin that within which a leaving endpoint gets nothing more.
	StateWithin   Duration `toml:"state_within"`
	LeavingWithin Duration `toml:"leaving_within"`
}

// GatewayLog sets the instance's own logs.
type GatewayLog struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
	// Buffer is how many lines wait for a slow reader of standard output.
	Buffer int `toml:"buffer"`
	// Lines is how many lines a second are written of each level below error.
	Lines int `toml:"lines"`
}

// Drain sets how an instance ends.
type Drain struct {
	Within  Duration `toml:"within"`
	Unready Duration `toml:"unready"`
	// LastCallers is the end of Unready; whoever comes in it or later has other
	// instances, and is not kept for longer than the drain lasts.
	LastCallers Duration `toml:"last_callers"`
}

// Retries is the fleet's budget of repeated sends to one service.
type Retries struct {
	Ratio  float64  `toml:"ratio"`
	Extra  int64    `toml:"extra"`
	Window Duration `toml:"window"`
}

// DefaultGateway returns the settings that hold where the file is silent.
func DefaultGateway() Gateway {
	return Gateway{
		Gateway: GatewayInstance{MemoryMB: 256},
		Store:   Store{Timeout: Duration(time.Second), StateWithin: Duration(2 * time.Second), LeavingWithin: Duration(2 * time.Second)},
		Log:     GatewayLog{Level: "info", Format: "json", Buffer: 4096, Lines: 100},
		Drain:   Drain{Within: Duration(8 * time.Second), Unready: Duration(3200 * time.Millisecond), LastCallers: Duration(700 * time.Millisecond)},
		Retries: Retries{Ratio: 0.1, Extra: 20, Window: Duration(10 * time.Second)},
	}
}

// GatewayKeys lists every key of a gateway's file in its order.
func GatewayKeys() []Key {
	return []Key{
		{Name: "gateway.name", Unit: "name", kind: kindLabel, required: true, Doc: "Name of the instance in logs and statements; a restarted one keeps it."},
		{Name: "gateway.zone", Unit: "name", kind: kindLabel, required: true, Doc: "Availability zone that the instance runs in."},
		{Name: "gateway.callers", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for callers."},
		{Name: "gateway.ready", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address on which the balancer asks whether the instance takes callers."},
		{Name: "gateway.operators", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for metrics and the state dump. Keep callers away from it."},
		{Name: "gateway.peers", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for the other instances of the fleet."},
		{Name: "gateway.memory_mb", Unit: "MB", kind: kindCount, min: 64, max: 1 << 20, Doc: "Memory of the instance; above four fifths of it the collector works harder."},
		{Name: "gateway.link_mbps", Unit: "Mbit/s", kind: kindText, Doc: "Speed of the instance's link. In a large fleet those with the fastest ones claim tokens for their zone; an instance whose link is nearly full sends callers to others. 0 for unknown, which switches the latter off."},
		{Name: "store.url", Unit: "URL", kind: kindURL, required: true, Doc: "Base URL of the platform's store."},
		{Name: "store.timeout", Unit: "duration", kind: kindDuration, min: int64(10 * time.Millisecond), max: int64(maxPlatformTimeout), Doc: "Longest wait for one answer of the store; a long poll may take its own wait more."},
		{Name: "store.state_within", Unit: "duration", kind: kindDuration, min: int64(time.Second), max: int64(time.Hour), Doc: "Time within which a change of the desired state is to be in force; a longer one makes for fewer calls."},
		{Name: "store.leaving_within", Unit: "duration", kind: kindDuration, min: int64(time.Second), max: int64(time.Hour), Doc: "Time within which a leaving endpoint is to get nothing more; a longer one makes for fewer calls."},
		{Name: "log.level", Unit: "level", kind: kindChoice, choices: []string{"debug", "info", "warn", "error"}, Doc: "Lowest level that is logged."},
		{Name: "log.format", Unit: "format", kind: kindChoice, choices: []string{"json", "console"}, Doc: "JSON for programs, console for people."},
		{Name: "log.buffer", Unit: "lines", kind: kindCount, min: 16, max: 1 << 20, Doc: "Lines that wait for a slow reader of standard output; beyond that the oldest are dropped and counted."},
		{Name: "log.lines", Unit: "lines", kind: kindCount, min: 1, max: 1 << 20, Doc: "Lines a second and level that are written; more are thinned and counted, errors and lines of its own life never."},
		{Name: "drain.within", Unit: "duration", kind: kindDuration, min: int64(time.Second), max: int64(time.Hour), Doc: "Time from the signal to end until the process is killed."},
		{Name: "drain.unready", Unit: "duration", kind: kindDuration, min: 0, max: int64(time.Minute), Doc: "How long new connections are still accepted after the signal: until the balancer has seen that the instance is not ready."},
		{Name: "drain.last_callers", Unit: "duration", kind: kindDuration, min: 0, max: int64(time.Minute), Doc: "The end of drain.unready: a request that comes in it or later and may last longer than the drain is refused, not run."},
		{Name: "retries.ratio", Unit: "share", kind: kindText, Doc: "Repeated sends that the whole fleet may add for each request to a service."},
		{Name: "retries.extra", Unit: "sends", kind: kindCount, min: 0, max: 1_000_000, Doc: "Repeated sends of the whole fleet to a service beyond that, in each window."},
		{Name: "retries.window", Unit: "duration", kind: kindDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "The window in which retries.extra counts."},
	}
}

// ParseGateway checks the text of a gateway's settings file as Parse does.
func ParseGateway(name string, data []byte) (Gateway, error) {
	g := DefaultGateway()
	p := newFileParser(name, &g, GatewayKeys())
	p.crossCheck = func() {
		instance := g.Gateway
		p.checkAddressConflicts([]listenAddress{{"gateway.callers", instance.Callers}, {"gateway.ready", instance.Ready}, {"gateway.operators", instance.Operators}, {"gateway.peers", instance.Peers}})
		if allowed := g.Retries.Ratio >= 0 && g.Retries.Ratio <= 1; !allowed { // NaN is not.
			p.addFinding(p.lineForKey("retries.ratio"), "retries.ratio", "is %g; allowed: 0 to 1", g.Retries.Ratio)
		}
		if allowed := instance.LinkMbps >= 0; !allowed {
			p.addFinding(p.lineForKey("gateway.link_mbps"), "gateway.link_mbps", "is %g; allowed: 0 or more", instance.LinkMbps)
		}
		if g.Drain.Unready >= g.Drain.Within {
			p.addFinding(p.lineForKey("drain.unready"), "drain.unready", "is %s; allowed: less than drain.within, which is %s", g.Drain.Unready.D(), g.Drain.Within.D())
		}
		if g.Drain.LastCallers > g.Drain.Unready {
			p.addFinding(p.lineForKey("drain.last_callers"), "drain.last_callers", "is %s; allowed: at most drain.unready, which is %s", g.Drain.LastCallers.D(), g.Drain.Unready.D())
		}
	}
	if err := p.run(data); err != nil {
		return Gateway{}, err
	}
	return g, nil
}

// LoadGateway reads and checks a gateway's file.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, eris.Wrap(err, "settings: read")
	}
	return ParseGateway(path, data)
}

// IsGatewayFile says whether a file is meant to be a gateway's. One that can't be
// read is not.
func IsGatewayFile(path string) bool {
	data, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	return gatewayTableHeader.Match(data)
}

// gatewayTable finds the table in a file that is wrong elsewhere too.
var gatewayTableHeader = regexp.MustCompile(`(?m)^\s*\[gateway\]`)

// GatewayReference returns the keys of a gateway's file as a table in Markdown.
func GatewayReference() string { return keyTable(GatewayKeys(), DefaultGateway()) }
