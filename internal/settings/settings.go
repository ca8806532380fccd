// Package settings reads an instance's static settings: what it needs before
// it can read anything from the platform. They are TOML, strict, and all
// findings are reported together with their place. Keys lists every key with
// its unit, default and range.
//
// Settings that operators change while the fleet runs are values under paths
// on the platform's log; see package config.
package settings

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Settings is the whole file. Keys documents each field.
type Settings struct {
	Instance  Instance  `toml:"instance"`
	Platform  Platform  `toml:"platform"`
	Log       Log       `toml:"log"`
	Ledger    Ledger    `toml:"ledger"`
	Limits    Limits    `toml:"limits"`
	Sessions  Sessions  `toml:"sessions"`
	Operator  Operator  `toml:"operator"`
	Snapshots Snapshots `toml:"snapshots"`
	TLS       TLS       `toml:"tls"`
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

// Snapshots sets when streams are written anew against the log's retention.
type Snapshots struct {
	Every Duration `toml:"every"`
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
	BodyBytes           int64    `toml:"body_bytes"`
	AnswerBytes         int64    `toml:"answer_bytes"`
	MaxTokens           int      `toml:"max_tokens"`
	PromptBytesPerToken int      `toml:"prompt_bytes_per_token"`
	FirstToken          Duration `toml:"first_token"`
	ServiceAnswer       Duration `toml:"service_answer"`
	Progress            Duration `toml:"progress"`
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

// TLS says how connections are secured. An interface that is neither secured
// nor named in Plain is a finding.
type TLS struct {
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	PeersCA     string   `toml:"peers_ca"`
	OutsideCA   string   `toml:"outside_ca"`
	Plain       []string `toml:"plain"`
}

// The interfaces that are secured, or named in TLS.Plain.
const (
	InterfaceCallers   = "callers"
	InterfaceOperators = "operators"
	InterfacePeers     = "peers"
	InterfacePlatform  = "platform"
	InterfaceEndpoints = "endpoints"
)

// RequiresTLS says whether an interface is not named in Plain.
func (t TLS) RequiresTLS(iface string) bool { return !slices.Contains(t.Plain, iface) }

// Duration is a time.Duration written like "1.5s".
type Duration time.Duration

// D returns the time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Default returns the settings that hold where the file is silent.
func Default() Settings {
	return Settings{
		Platform:  Platform{Timeout: Duration(time.Second)},
		Log:       Log{Level: "info", Format: "json"},
		Snapshots: Snapshots{Every: Duration(time.Hour)},
		Ledger: Ledger{
			Partitions: 8, GrantTokens: 20_000,
			Linger: Duration(20 * time.Millisecond), Patience: Duration(2 * time.Second),
		},
		Limits: Limits{
			BodyBytes: 4 << 20, AnswerBytes: 16 << 20, MaxTokens: 16_384, PromptBytesPerToken: 2,
			FirstToken: Duration(30 * time.Second), ServiceAnswer: Duration(10 * time.Second),
			Progress: Duration(10 * time.Second),
		},
	}
}

// Load reads and checks a file. The error is Findings if the file was read.
// Secrets files that the settings name by a relative path are taken from the
// settings file's directory.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings: read")
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	s.resolvePaths(filepath.Dir(path))
	return s, nil
}

func (s *Settings) resolvePaths(dir string) {
	resolve := func(file string) string {
		if file == "" || filepath.IsAbs(file) {
			return file
		}
		return filepath.Join(dir, file)
	}
	for id, file := range s.Sessions.KeyFiles {
		s.Sessions.KeyFiles[id] = resolve(file)
	}
	for _, file := range []*string{&s.Operator.TokenFile, &s.TLS.Certificate, &s.TLS.Key, &s.TLS.PeersCA, &s.TLS.OutsideCA} {
		*file = resolve(*file)
	}
}
