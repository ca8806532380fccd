// Package logging creates an instance's logger. Every message begins with the
// prefix of the component that logs it, as in "ledger: grant taken"; Prefixes
// lists them.
package logging

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"guavapier/internal/settings"
)

// timeFormat is RFC 3339 with milliseconds, which are needed to sort the lines of
// one request.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes to w, as JSON lines or, with the format
// "console", as text. It fails if the level is not one of zerolog's.
func New(cfg settings.Log, w io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Logger{}, eris.Wrapf(err, "logging: unknown level %q", cfg.Level)
	}
	if cfg.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

// Prefix documents the messages of one component: their prefix without the colon,
// and what they are about.
type Prefix struct {
	Name        string
	Description string
}

// Prefixes lists the prefixes of all log messages.
func Prefixes() []Prefix {
	return []Prefix{
		{"server", "Start, drain and end of the instance."},
		{"membership", "The instance list and the peers."},
		{"replica", "Following the log's streams."},
		{"snapshot", "Snapshots written, used and discarded."},
		{"ledger", "Grants, reservations and bills."},
		{"claim", "Claim shards and claims."},
		{"run", "Requests on their way to an endpoint and back."},
		{"gateway", "Start, drain, reload and end of an instance on an outside platform; its desired state and endpoints."},
		{"forward", "Requests of an outside platform's callers."},
		{"origin", "Where streams began, kept by several instances."},
		{"processcheck", "Questions to other instances whether an endpoint has started again."},
		{"prepaid", "Claims on prepaid totals, tokens moved between instances and given back."},
		{"quarantine", "Requests and parts of prompts under which endpoints ended, and those that are held back for it."},
		{"registry", "The list of the fleet's instances by name."},
		{"shares", "Shares of endpoints' rejection limits that instances lend each other."},
		{"permits", "Permits for requests to endpoints that limit them."},
		{"statements", "What endpoints state of themselves, told among instances."},
		{"loads", "Loads of endpoints, told among instances."},
		{"logging", "Lines that were dropped."},
		{"operator", "Changes and top-ups by operators."},
	}
}

// PrefixTable returns Prefixes as a Markdown table. The operators' manual contains
// this table.
func PrefixTable() string {
	var b strings.Builder
	b.WriteString("| prefix | part |\n| --- | --- |\n")
	for _, p := range Prefixes() {
		fmt.Fprintf(&b, "| `%s:` | %s |\n", p.Name, p.Description)
	}
	return b.String()
}
