package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"guavapier/internal/server"
	"guavapier/internal/session"
	"guavapier/internal/settings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

func serveCommand(o output) *ffcli.Command {
	fs := newFlagSet("serve")
	file := fs.String("settings", "", "settings file of this instance")
	standalone := fs.Bool("standalone", false, "run one instance with built-in stand-ins on loopback")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "guavapier serve -settings FILE | guavapier serve -standalone",
		ShortHelp:  "Run an instance.",
		LongHelp:   "Example:\n  guavapier serve -settings examples/guavapier.toml",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			switch {
			case *standalone && *file != "":
				return usagef("serve takes -settings FILE or -standalone, not both")
			case *standalone:
				return runStandalone(ctx, o)
			case *file == "":
				return usagef("serve needs -settings FILE or -standalone")
			}
			return runInstance(ctx, o, *file)
		},
	}
}

func runInstance(ctx context.Context, o output, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	secrets, err := loadSecrets(s)
	if err != nil {
		return err
	}
	srv, err := server.New(s, secrets, newLogger(s.Log, o.err))
	if err != nil {
		return err
	}
	return srv.Run(ctx)
}

func loadSecrets(s settings.Settings) (server.Secrets, error) {
	secrets := server.Secrets{Sessions: session.Keyring{Current: s.Sessions.CurrentKey, Keys: map[string][]byte{}}}
	for id, file := range s.Sessions.KeyFiles {
		key, err := readSecret(file)
		if err != nil {
			return secrets, err
		}
		secrets.Sessions.Keys[id] = []byte(key)
	}
	token, err := readSecret(s.Operator.TokenFile)
	secrets.Operator = token
	return secrets, err
}

func readSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", eris.Wrap(err, "cli: read secret")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", eris.Errorf("cli: secret file %s is empty", file)
	}
	return secret, nil
}

func newLogger(l settings.Log, w io.Writer) zerolog.Logger {
	if l.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true}
	}
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

func checkCommand(o output) *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "guavapier check FILE", ShortHelp: "Check a settings file.",
		LongHelp: "Example:\n  guavapier check examples/guavapier.toml",
		FlagSet:  newFlagSet("check"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("check takes one settings file, got %d arguments", len(args))
			}
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(o.out, args[0]+": ok")
			return nil
		},
	}
}
