// Package settings reads an instance's static settings, which it needs before it
// can connect to the platform. They are in a TOML file. Parsing is strict: an
// unknown key is an error, and all errors are reported together, each with its
// line. Keys lists every key with its unit, default and range.
//
// Settings that operators change while the fleet runs are values at paths on the
// platform's log; see package config.
package settings

import (
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Settings is the content of a settings file. Its fields are named after the keys
// of the file; Keys documents each of them.
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

// Instance identifies the instance and holds its listen addresses (IP:port).
type Instance struct {
	Name      string `toml:"name"`
	Zone      string `toml:"zone"`
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Platform configures the connection to the platform.
type Platform struct {
	URL     string   `toml:"url"`
	Timeout Duration `toml:"timeout"`
}

// Snapshots configures the snapshots of the streams, which must be written before
// the log's retention deletes the records that they cover.
type Snapshots struct {
	Every Duration `toml:"every"`
}

// Log configures the instance's own log output.
type Log struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// Ledger configures the ledger of budgets and the group commit of its records.
type Ledger struct {
	Partitions  int      `toml:"partitions"`
	GrantTokens int64    `toml:"grant_tokens"`
	Linger      Duration `toml:"linger"`
	Patience    Duration `toml:"patience"`
}

// Limits bounds the size of requests and responses, and how long a request waits
// for its endpoint's response.
type Limits struct {
	BodyBytes           int64    `toml:"body_bytes"`
	AnswerBytes         int64    `toml:"answer_bytes"`
	MaxTokens           int      `toml:"max_tokens"`
	PromptBytesPerToken int      `toml:"prompt_bytes_per_token"`
	FirstToken          Duration `toml:"first_token"`
	ServiceAnswer       Duration `toml:"service_answer"`
	Progress            Duration `toml:"progress"`
}

// Sessions names the files of the session signing keys, by key ID, and the key
// that signs new sessions.
type Sessions struct {
	CurrentKey string            `toml:"current_key"`
	KeyFiles   map[string]string `toml:"key_files"`
}

// Operator names the file that holds the fleet operators' token.
type Operator struct {
	TokenFile string `toml:"token_file"`
}

// TLS names the certificate files, and in Plain the interfaces that do without
// TLS. An interface that is not in Plain and lacks its certificates is an error.
type TLS struct {
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	PeersCA     string   `toml:"peers_ca"`
	OutsideCA   string   `toml:"outside_ca"`
	Plain       []string `toml:"plain"`
}

// The interfaces that use TLS unless TLS.Plain names them.
const (
	InterfaceCallers   = "callers"
	InterfaceOperators = "operators"
	InterfacePeers     = "peers"
	InterfacePlatform  = "platform"
	InterfaceEndpoints = "endpoints"
)

// RequiresTLS reports whether an interface must use TLS: Plain does not name it.
func (t TLS) RequiresTLS(iface string) bool { return !slices.Contains(t.Plain, iface) }

// Duration is a time.Duration that the file gives as a string such as "1.5s".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Default returns the values of the keys that the file does not set.
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

// Load reads and checks a settings file. If the file is readable, the error is
// Findings. Relative paths of certificate, key and token files are resolved
// against the directory of the settings file.
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

// resolvePaths makes the relative file paths in the settings relative to dir.
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
