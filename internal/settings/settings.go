// Package settings reads an instance's static settings: what it needs before
// it can read anything from the platform. They are TOML, strict, and all
// findings are reported together with their place.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings is the whole file.
type Settings struct {
	Instance Instance `toml:"instance"`
	Platform Platform `toml:"platform"`
	Log      Log      `toml:"log"`
	Ledger   Ledger   `toml:"ledger"`
	Limits   Limits   `toml:"limits"`
	Sessions Sessions `toml:"sessions"`
	Operator Operator `toml:"operator"`
}

// Instance says who and where the instance is.
type Instance struct {
	Name      string `toml:"name"`
	Zone      string `toml:"zone"`
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Platform says where the platform is.
type Platform struct {
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
}

// Log sets the instance's own logs.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Ledger sets budgets and group commit.
type Ledger struct {
	Partitions  int      `toml:"partitions"`
	GrantTokens int64    `toml:"grant_tokens"`
	Linger      Duration `toml:"linger"`
	Patience    Duration `toml:"patience"`
}

// Limits bound what callers may send and how long they wait.
type Limits struct {
	BodyBytes     int64    `toml:"body_bytes"`
	AnswerBytes   int64    `toml:"answer_bytes"`
	MaxTokens     int      `toml:"max_tokens"`
	FirstToken    Duration `toml:"first_token"`
	ServiceAnswer Duration `toml:"service_answer"`
	Progress      Duration `toml:"progress"`
}

// Sessions holds the session signing keys, each in a file of its own.
type Sessions struct {
	CurrentKey string            `toml:"current_key"`
	KeyFiles   map[string]string `toml:"key_files"`
}

// Operator holds the fleet operators' credential, in a file of its own.
type Operator struct {
	TokenFile string `toml:"token_file"`
}

// Duration is a time.Duration written like "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// D returns the time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Finding is one thing wrong with the settings.
type Finding struct {
	Place   string // file:line, or file where no line is known.
	Key     string
	Problem string
}

// String returns the finding as one line.
func (f Finding) String() string { return f.Place + ": " + f.Key + ": " + f.Problem }

// Findings is all that is wrong with the settings; it is an error.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Default returns the settings that hold where the file is silent.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: Duration(time.Second)},
		Log:      Log{Level: "info", Format: "json"},
		Ledger: Ledger{
			Partitions: 8, GrantTokens: 20_000,
			Linger: Duration(20 * time.Millisecond), Patience: Duration(2 * time.Second),
		},
		Limits: Limits{
			BodyBytes: 4 << 20, AnswerBytes: 16 << 20, MaxTokens: 16_384,
			FirstToken: Duration(30 * time.Second), ServiceAnswer: Duration(10 * time.Second),
			Progress: Duration(10 * time.Second),
		},
	}
}

// Load reads and checks a file. The error is Findings if the file was read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings: read")
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file; name stands for it in findings.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&s); err != nil {
		return Settings{}, Findings{{Place: name, Key: "toml", Problem: err.Error()}}
	}
	findings := s.check(name)
	if len(findings) > 0 {
		return Settings{}, findings
	}
	return s, nil
}

func (s *Settings) check(name string) Findings {
	var out Findings
	add := func(key, format string, args ...any) {
		out = append(out, Finding{Place: name, Key: key, Problem: fmt.Sprintf(format, args...)})
	}
	if s.Instance.Name == "" {
		add("instance.name", "is missing")
	}
	if s.Instance.Zone == "" {
		add("instance.zone", "is missing")
	}
	for key, addr := range map[string]string{
		"instance.callers": s.Instance.Callers, "instance.operators": s.Instance.Operators, "instance.peers": s.Instance.Peers,
	} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			add(key, "%q is not IP:port", addr)
		}
	}
	return out
}
