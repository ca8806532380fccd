package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Limits of a change. They bound the memory that the fold needs to remember
// changes: fold.ResultWindow changes of MaxChangeBytes are 64 MiB.
const (
	MaxOps         = 128      // Operations of a change.
	MaxValueBytes  = 1 << 10  // Bytes of one value.
	MaxChangeBytes = 16 << 10 // Bytes of all paths and values of a change.
	maxPathBytes   = 512      // Bytes of one path.
)

// Path describes a known path or a family of them.
type Path struct {
	// Pattern is the path with a placeholder in braces for each variable
	// segment: {team} and {name} match a valid name, {sha256} a hash in
	// hexadecimal.
	Pattern string
	Unit    string
	Default string // Value used if the path is not set; empty for none.
	Doc     string
	// FleetOnly marks a path in a team's subtree that only fleet operators may
	// change, as it affects other teams or who may change settings.
	FleetOnly bool

	value valueRule
}

// valueRule defines the valid values of a path.
type valueRule struct {
	allowed string // The rule in words, for findings and the reference.
	isValid func(string) bool
}

// Paths returns every known path, in the order of the reference.
func Paths() []Path {
	return []Path{
		{Pattern: "/teams/{team}/api_keys/{sha256}", Unit: "text", value: anyText, Doc: "A caller's credential, by the SHA-256 of team:secret. The value is a note for people."},
		{Pattern: "/teams/{team}/api_keys/{sha256}/expires", Unit: "RFC 3339 time", Default: "never", value: timestamp, Doc: "The credential is refused from then on."},
		{Pattern: "/teams/{team}/operator_keys/{sha256}", Unit: "text", value: anyText, FleetOnly: true, Doc: "A credential that changes this team's subtree, by the SHA-256 of team:secret."},
		{Pattern: "/teams/{team}/operator_keys/{sha256}/expires", Unit: "RFC 3339 time", Default: "never", value: timestamp, FleetOnly: true, Doc: "The credential is refused from then on."},
		{Pattern: "/teams/{team}/default_budget", Unit: "budget", Default: "main", value: anyName, Doc: "Budget that a request draws on when it names none."},
		{Pattern: "/teams/{team}/budgets/{name}/lean", Unit: "share", Default: "1", value: fraction, Doc: "0 leans to fewer stranded tokens behind a cut, 1 to fewer false refusals."},
		{Pattern: "/teams/{team}/weight", Unit: "weight", Default: "1", value: intRange(1, 1000), FleetOnly: true, Doc: "The team's share of a busy fleet against other teams."},
		{Pattern: "/teams/{team}/priorities/default", Unit: "class", Default: "interactive", value: priorityClass, Doc: "Priority class of the team's requests that name none."},
		{Pattern: "/teams/{team}/priorities/max", Unit: "class", Default: "call", value: priorityClass, FleetOnly: true, Doc: "Highest priority class that the team's model requests may name; a higher one is lowered to it."},
		{Pattern: "/teams/{team}/calls/when_log_away", Unit: "policy", Default: "serve", value: oneOf("refuse", "serve"), Doc: "Calls that may not be repeated, while the log is away: refuse is always safe; serve needs the claim's holder and witness."},
		{Pattern: "/teams/{team}/endpoints/{name}/url", Unit: "address", value: baseURL, Doc: "Adds an endpoint that serves this team alone. Without a url the other settings of the endpoint have no effect."},
		{Pattern: "/teams/{team}/endpoints/{name}/zone", Unit: "availability zone", value: anyName, Doc: "Where the endpoint is; instances of this zone prefer it."},
		{Pattern: "/teams/{team}/endpoints/{name}/model", Unit: "model", value: anyName, Doc: "Model that the endpoint serves."},
		{Pattern: "/teams/{team}/endpoints/{name}/service", Unit: "service", value: anyName, Doc: "Plain service that the endpoint serves, instead of a model."},
		{Pattern: "/teams/{team}/endpoints/{name}/slots", Unit: "requests", Default: "16", value: intRange(1, 4096), Doc: "Requests that the endpoint works on at once."},
		{Pattern: "/teams/{team}/endpoints/{name}/weight", Unit: "weight", value: intRange(1, 4096), Doc: "The endpoint's capacity against the team's others; its slots where it is not set."},
		{Pattern: "/fleet/operator_keys/{sha256}", Unit: "text", value: anyText, Doc: "A fleet operator's credential, by the SHA-256 of the token. The value is the operator's name."},
		{Pattern: "/fleet/operator_keys/{sha256}/expires", Unit: "RFC 3339 time", Default: "never", value: timestamp, Doc: "The credential is refused from then on."},
		{Pattern: "/fleet/services/{name}/repeatable", Unit: "rules", Default: "none", value: repeatRules, Doc: "Which calls of the service may run twice: METHOD /path, parted by commas; a path covers all below it."},
		{Pattern: "/fleet/engines/{name}/slots", Unit: "requests", Default: "16", value: intRange(1, 4096), Doc: "Requests that the endpoint works on at once."},
		{Pattern: "/fleet/engines/{name}/weight", Unit: "weight", value: intRange(1, 4096), Doc: "The endpoint's capacity against the others; its slots where it is not set. Set it for all or for none."},
		{Pattern: "/fleet/engines/{name}/fencing", Unit: "switch", Default: "ignores", value: oneOf("checks", "ignores"), Doc: "Whether the endpoint refuses an order with an old fencing number. Not read yet by this version."},
	}
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	anyText       = valueRule{fmt.Sprintf("text of at most %d bytes", MaxValueBytes), func(string) bool { return true }}
	anyName       = valueRule{"a name: letters, digits, dots, dashes, underscores; at most 100", ValidName}
	timestamp     = valueRule{"a time like 2027-01-31T00:00:00Z", func(v string) bool { _, err := time.Parse(time.RFC3339, v); return err == nil }}
	priorityClass = oneOf(PriorityBatch, PriorityInteractive, PriorityCall)
	baseURL       = valueRule{"http://IP:port or https://IP:port", validBaseURL}
	repeatRules   = valueRule{"rules like GET /calendar, POST /tags", func(v string) bool { _, err := ParseRepeatRules(v); return err == nil }}
	fraction      = valueRule{"a number from 0 to 1", func(v string) bool { f, err := strconv.ParseFloat(v, 64); return err == nil && f >= 0 && f <= 1 }}
)

// intRange returns the rule for a decimal integer; both bounds are valid.
func intRange(minValue, maxValue int) valueRule {
	isValid := func(v string) bool { n, err := strconv.Atoi(v); return err == nil && n >= minValue && n <= maxValue }
	return valueRule{fmt.Sprintf("an integer from %d to %d", minValue, maxValue), isValid}
}

// oneOf returns the rule for one of several words.
func oneOf(choices ...string) valueRule {
	isValid := func(v string) bool {
		for _, c := range choices {
			if v == c {
				return true
			}
		}
		return false
	}
	return valueRule{strings.Join(choices, " or "), isValid}
}

// validBaseURL reports whether text is an http or https URL of an IP address and
// a port, without a path. Host names are rejected so that forwarding a request
// needs no DNS lookup.
func validBaseURL(text string) bool {
	addr, ok := strings.CutPrefix(text, "http://")
	if !ok {
		addr, ok = strings.CutPrefix(text, "https://")
	}
	if !ok {
		return false
	}
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}

// ValidName reports whether name is a valid name of a team, budget, endpoint or
// service.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Allowed describes the valid values of the path.
func (p Path) Allowed() string { return p.value.allowed }

// Example returns a path of this pattern, with sample names in the placeholders.
func (p Path) Example() string {
	return strings.NewReplacer("{team}", "dala", "{name}", "main", "{sha256}", HashKey("dala:secret")).Replace(p.Pattern)
}

// match reports whether path matches the pattern.
func (p Path) match(path string) bool {
	patternSegments, segments := strings.Split(p.Pattern, "/"), strings.Split(path, "/")
	if len(patternSegments) != len(segments) {
		return false
	}
	for i, pattern := range patternSegments {
		if !matchSegment(pattern, segments[i]) {
			return false
		}
	}
	return true
}

// matchSegment reports whether one segment of a path matches that of a pattern.
func matchSegment(pattern, segment string) bool {
	switch pattern {
	case "{sha256}":
		return hashPattern.MatchString(segment)
	case "{team}", "{name}":
		return ValidName(segment)
	default:
		return pattern == segment
	}
}

// FindPath returns the known path whose pattern path matches, or false if path is
// unknown.
func FindPath(path string) (Path, bool) {
	for _, p := range Paths() {
		if p.match(path) {
			return p, true
		}
	}
	return Path{}, false
}

// PathReference returns the known paths as a Markdown table.
func PathReference() string {
	var b strings.Builder
	b.WriteString("| path | unit | default | allowed | who | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, p := range Paths() {
		who := "team, fleet"
		if p.FleetOnly || strings.HasPrefix(p.Pattern, FleetPath+"/") {
			who = "fleet"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", p.Pattern, p.Unit, p.Default, p.Allowed(), who, p.Doc)
	}
	return b.String()
}
