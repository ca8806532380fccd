package settings

import (
	"os"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
)

// Gateway is the content of the settings file of an instance that serves the
// callers and endpoints of an external platform. Such a file has a table
// [gateway]. The fields are named after the keys of the file; GatewayKeys
// documents each of them.
type Gateway struct {
	Gateway GatewayInstance `toml:"gateway"`
	Store   Store           `toml:"store"`
	Log     GatewayLog      `toml:"log"`
	Drain   Drain           `toml:"drain"`
	Retries Retries         `toml:"retries"`
	WarmUp  WarmUp          `toml:"warm_up"`
	Load    EndpointLoad    `toml:"load"`

	Placement Placement `toml:"placement"`
}

// GatewayInstance identifies the instance and holds its listen addresses
// (IP:port) and resources.
type GatewayInstance struct {
	Name      string `toml:"name"`
	Zone      string `toml:"zone"`
	Callers   string `toml:"callers"`
	Ready     string `toml:"ready"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
	MemoryMB  int64  `toml:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may have.
	MaxDescriptors int64 `toml:"max_descriptors"`
	// LinkMbps is the bandwidth of the instance's network link in Mbit/s; 0 if
	// unknown.
	LinkMbps float64 `toml:"link_mbps"`
}

// Store configures the connection to the platform's store.
type Store struct {
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
	// StateWithin bounds the time until a change of the desired state takes effect,
	// LeavingWithin the time until an endpoint that is leaving gets no new requests.
	StateWithin   Duration `toml:"state_within"`
	LeavingWithin Duration `toml:"leaving_within"`
}

// GatewayLog configures the instance's own log output.
type GatewayLog struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
	// Buffer is the maximum number of lines that wait for a slow reader of standard
	// output.
	Buffer int `toml:"buffer"`
	// Lines is the maximum number of lines per second of each kind below error.
	Lines int `toml:"lines"`
}

// Drain configures how an instance shuts down. All its times start at the signal
// to end, except LastCallers.
type Drain struct {
	// Within is the time until the process is killed.
	Within Duration `toml:"within"`
	// Unready is how long new connections are still accepted, while the balancer
	// notices that the instance is not ready.
	Unready Duration `toml:"unready"`
	// LastCallers is the last part of Unready. A request that arrives in it or later
	// can be sent to another instance, so it is refused if it may take longer than
	// the drain lasts.
	LastCallers Duration `toml:"last_callers"`
}

// Retries is the whole fleet's retry budget for one service: in each Window, Ratio
// retries per request and Extra retries in addition.
type Retries struct {
	Ratio  float64  `toml:"ratio"`
	Extra  int64    `toml:"extra"`
	Window Duration `toml:"window"`
}

// WarmUp is how many requests the whole fleet may send to an endpoint that is warming up: in
// any second, Ratio times the rate that the desired state has for its service, and Extra in
// addition.
type WarmUp struct {
	Ratio float64 `toml:"ratio"`
	Extra int64   `toml:"extra"`
}

// EndpointLoad configures what instances of a large fleet tell each other of their loads.
type EndpointLoad struct {
	// Exchange makes them tell what each has under way at the endpoints.
	Exchange bool `toml:"exchange"`
}

// The values of Placement.ByTime.
const (
	PlaceByTimeNever   = "never"
	PlaceByTimeUnequal = "unequal" // Where endpoints differ in speed.
	PlaceByTimeAlways  = "always"
)

// Placement configures how requests are placed on endpoints.
type Placement struct {
	// ByTime is for which services requests are placed by the load of all instances.
	ByTime string `toml:"by_time"`
	// HeldPrompts lets what endpoints hold be estimated from their memory.
	HeldPrompts bool `toml:"held_prompts"`
}

// maxWarmUpRatio is the highest allowed WarmUp.Ratio.
const maxWarmUpRatio = 100

// DefaultGateway returns the values of the keys that the file does not set.
func DefaultGateway() Gateway {
	return Gateway{
		Gateway: GatewayInstance{MemoryMB: 256, MaxDescriptors: 4096},
		Store:   Store{Timeout: Duration(time.Second), StateWithin: Duration(2 * time.Second), LeavingWithin: Duration(2 * time.Second)},
		Log:     GatewayLog{Level: "info", Format: "json", Buffer: 4096, Lines: 100},
		Drain:   Drain{Within: Duration(8 * time.Second), Unready: Duration(3200 * time.Millisecond), LastCallers: Duration(700 * time.Millisecond)},
		Retries: Retries{Ratio: 0.1, Extra: 20, Window: Duration(10 * time.Second)},
		WarmUp:  WarmUp{Ratio: 1},

		Placement: Placement{ByTime: PlaceByTimeNever},
	}
}

// GatewayKeys returns every key of a gateway's file, in the order of the file.
func GatewayKeys() []Key {
	return []Key{
		{Name: "gateway.name", Unit: "name", kind: kindLabel, required: true, Doc: "Name of the instance in logs and statements; a restarted one keeps it."},
		{Name: "gateway.zone", Unit: "name", kind: kindLabel, required: true, Doc: "Availability zone that the instance runs in."},
		{Name: "gateway.callers", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for callers."},
		{Name: "gateway.ready", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address on which the balancer asks whether the instance takes callers."},
		{Name: "gateway.operators", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for metrics and the state dump. Keep callers away from it."},
		{Name: "gateway.peers", Unit: "IP:port", kind: kindAddress, required: true, Doc: "Address for the other instances of the fleet."},
		{Name: "gateway.memory_mb", Unit: "MB", kind: kindCount, min: 64, max: 1 << 20, Doc: "Memory of the instance; above four fifths of it the collector works harder. A quarter is for callers' requests and answers, and connections take three tenths at most: more of them end those without a request."},
		{Name: "gateway.max_descriptors", Unit: "descriptors", kind: kindCount, min: 256, max: 1 << 20, Doc: "File descriptors of the process. Callers' connections take at most three fifths."},
		{Name: "gateway.link_mbps", Unit: "Mbit/s", kind: kindText, Doc: "Speed of the instance's link. In a large fleet those with the fastest ones claim tokens for their zone; an instance whose link is nearly full sends callers to others. 0 for unknown, which switches the latter off."},
		{Name: "store.url", Unit: "URL", kind: kindURL, required: true, Doc: "Base URL of the platform's store."},
		{Name: "store.timeout", Unit: "duration", kind: kindDuration, min: int64(10 * time.Millisecond), max: int64(maxPlatformTimeout), Doc: "Longest wait for one answer of the store; a long poll may take its own wait more."},
		{Name: "store.state_within", Unit: "duration", kind: kindDuration, min: int64(time.Second), max: int64(time.Hour), Doc: "Time within which a change of the desired state is to be in force; a longer one makes for fewer calls."},
		{Name: "store.leaving_within", Unit: "duration", kind: kindDuration, min: int64(time.Second), max: int64(time.Hour), Doc: "Time within which a leaving endpoint is to get nothing more; a longer one makes for fewer calls."},
		{Name: "log.level", Unit: "level", kind: kindChoice, choices: []string{"debug", "info", "warn", "error"}, Doc: "Lowest level that is logged."},
		{Name: "log.format", Unit: "format", kind: kindChoice, choices: []string{"json", "console"}, Doc: "JSON for programs, console for people."},
		{Name: "log.buffer", Unit: "lines", kind: kindCount, min: 16, max: 1 << 20, Doc: "Lines that wait for a slow reader of standard output; beyond that the oldest are dropped and counted."},
		{Name: "log.lines", Unit: "lines", kind: kindCount, min: 1, max: 1 << 20, Doc: "Lines a second and kind (warnings, others, those of requests that were served well) that are written; more are thinned and counted, the last kind first, errors and lines of its own life never."},
		{Name: "drain.within", Unit: "duration", kind: kindDuration, min: int64(time.Second), max: int64(time.Hour), Doc: "Time from the signal to end until the process is killed."},
		{Name: "drain.unready", Unit: "duration", kind: kindDuration, min: 0, max: int64(time.Minute), Doc: "How long new connections are still accepted after the signal: until the balancer has seen that the instance is not ready."},
		{Name: "drain.last_callers", Unit: "duration", kind: kindDuration, min: 0, max: int64(time.Minute), Doc: "The end of drain.unready: a request that comes in it or later and may last longer than the drain is refused, not run."},
		{Name: "retries.ratio", Unit: "share", kind: kindText, Doc: "Repeated sends that the whole fleet may add for each request to a service."},
		{Name: "retries.extra", Unit: "sends", kind: kindCount, min: 0, max: 1_000_000, Doc: "Repeated sends of the whole fleet to a service beyond that, in each window."},
		{Name: "retries.window", Unit: "duration", kind: kindDuration, min: int64(100 * time.Millisecond), max: int64(time.Hour), Doc: "The window in which retries.extra counts."},
		{Name: "warm_up.ratio", Unit: "ratio", kind: kindText, Doc: "Requests that the whole fleet may send in any second to an endpoint that is warming up, for each that the desired state allows its service."},
		{Name: "warm_up.extra", Unit: "requests", kind: kindCount, min: 0, max: 1_000_000, Doc: "Requests beyond that in any second."},
		{Name: "load.exchange", Unit: "switch", kind: kindSwitch, Doc: "In a large fleet, instances tell each other what they have under way at the endpoints, several times a second, and place requests by the sums."},
		{Name: "placement.by_time", Unit: "services", kind: kindChoice, choices: []string{PlaceByTimeNever, PlaceByTimeUnequal, PlaceByTimeAlways}, Doc: "For which services requests are placed by the load of all instances: none, those whose endpoints are found to differ in speed, or all. Needs load.exchange."},
		{Name: "placement.held_prompts", Unit: "switch", kind: kindSwitch, Doc: "Estimate which parts of prompts an endpoint still holds from its memory and what it has read since, where that is known, instead of a time. Needs load.exchange."},
	}
}

// ParseGateway parses and checks the text of a gateway's settings file. The
// findings give name as the file. An error is Findings; see Parse.
func ParseGateway(name string, data []byte) (Gateway, error) {
	g := DefaultGateway()
	p := newFileParser(name, &g, GatewayKeys())
	p.crossCheck = func() {
		instance := g.Gateway
		p.checkAddressConflicts([]listenAddress{{"gateway.callers", instance.Callers}, {"gateway.ready", instance.Ready}, {"gateway.operators", instance.Operators}, {"gateway.peers", instance.Peers}})
		if allowed := g.Retries.Ratio >= 0 && g.Retries.Ratio <= 1; !allowed { // NaN fails both comparisons.
			p.addFinding(p.lineForKey("retries.ratio"), "retries.ratio", "is %g; allowed: 0 to 1", g.Retries.Ratio)
		}
		if allowed := g.WarmUp.Ratio >= 0 && g.WarmUp.Ratio <= maxWarmUpRatio; !allowed {
			p.addFinding(p.lineForKey("warm_up.ratio"), "warm_up.ratio", "is %g; allowed: 0 to %d", g.WarmUp.Ratio, maxWarmUpRatio)
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

// LoadGateway reads and checks a gateway's settings file. If the file is readable,
// the error is Findings.
func LoadGateway(path string) (Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, eris.Wrap(err, "settings: read")
	}
	return ParseGateway(path, data)
}

// IsGatewayFile reports whether a file is the settings file of a gateway, valid or
// not. It is false for a file that can't be read.
func IsGatewayFile(path string) bool {
	data, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	return gatewayTableHeader.Match(data)
}

// gatewayTableHeader matches the header of the table [gateway]. A regular
// expression finds it also in a file that is not valid TOML.
var gatewayTableHeader = regexp.MustCompile(`(?m)^\s*\[gateway\]`)

// GatewayReference returns the keys of a gateway's file as a Markdown table.
func GatewayReference() string { return keyTable(GatewayKeys(), DefaultGateway()) }
