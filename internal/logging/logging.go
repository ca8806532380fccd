// Package logging makes an instance's logger. Every message begins with the
// fixed prefix of its part, as in "ledger: grant taken"; Prefixes lists them.
package logging

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"guavapier/internal/settings"
)

// timeFormat has the milliseconds that order a request's lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes to w. The level must be one that the
// settings allow.
func New(cfg settings.Log, w io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.Level)
	if err != nil {
		return zerolog.Logger{}, eris.Wrapf(err, "logging: level %q", cfg.Level)
	}
	if cfg.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

// Prefix documents the messages of one part.
type Prefix struct {
	Name        string
	Description string
}

// Prefixes lists every prefix.
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
		{"prepaid", "Claims on prepaid totals, tokens moved between instances and given back."},
		{"quarantine", "Requests under which endpoints ended, and those that are held back for it."},
		{"logging", "Lines that were dropped."},
		{"operator", "Changes and top-ups by operators."},
	}
}

// Reference returns the prefixes as a table in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("| prefix | part |\n| --- | --- |\n")
	for _, p := range Prefixes() {
		fmt.Fprintf(&b, "| `%s:` | %s |\n", p.Name, p.Description)
	}
	return b.String()
}
