package cli

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"guavapier/internal/logging"
	"guavapier/internal/server"
	"guavapier/internal/session"
	"guavapier/internal/settings"
)

// logBufferLines is the number of log lines buffered while standard error is not
// read fast enough.
const logBufferLines = 4096

// settingsEnvVar is the environment variable that holds the path of the settings
// file, used if -settings is not given.
const settingsEnvVar = "GUAVAPIER_CONFIG"

func serveCommand(std stdio) *ffcli.Command {
	fs := newFlagSet("serve")
	file := fs.String("settings", os.Getenv(settingsEnvVar), "settings `file` of this instance; the default is $"+settingsEnvVar)
	standalone := fs.Bool("standalone", false, "run one instance with built-in stand-ins on loopback")
	callers := fs.String("callers", "127.0.0.1:0", "with -standalone: `IP:port` for callers; port 0 lets the kernel choose")
	operators := fs.String("operators", "127.0.0.1:0", "with -standalone: `IP:port` for operators")
	return leafCommand{
		usage: "guavapier serve -settings FILE | guavapier serve -standalone [-callers IP:port] [-operators IP:port]",
		help:  "Run an instance, or with -standalone one instance with built-in stand-ins on loopback.",
		example: "guavapier serve -settings examples/guavapier.toml\n" +
			"guavapier serve -standalone -callers 127.0.0.1:8080",
		flags: fs,
		run: func(ctx context.Context, _ []string) error {
			switch {
			case *standalone && *file != "":
				return usagef("it takes -settings FILE or -standalone, not both")
			case *standalone:
				return runStandalone(ctx, std, *callers, *operators)
			case *file == "":
				return usagef("it needs -settings FILE or -standalone")
			}
			ignoreBrokenPipe()
			if settings.IsGatewayFile(*file) {
				return runGateway(ctx, std, *file)
			}
			return runInstance(ctx, std, *file)
		},
	}.build("serve")
}

// runInstance runs a server instance until ctx ends and it has drained, or until a
// second signal.
func runInstance(ctx context.Context, std stdio, file string) error {
	hangups := catchHangups()
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	secrets, err := loadSecrets(s)
	if err != nil {
		return err
	}
	// Logging must never block: whoever reads standard error may stop, while callers
	// still need their responses.
	ring := logging.NewRingWriter(std.err, logBufferLines)
	defer func() { _ = ring.CloseWithTimeout(logFlushTimeout) }() // An error could no longer be logged.
	log, err := logging.New(s.Log, ring)
	if err != nil {
		return err
	}
	srv, err := server.New(s, secrets, log)
	if err != nil {
		return err
	}
	go logHangups(hangups, log)
	return runUntilSecondSignal(ctx, srv)
}

// loadSecrets reads the session keys and the operator token from the files that the
// settings name.
func loadSecrets(s settings.Settings) (server.Secrets, error) {
	secrets := server.Secrets{Sessions: session.Keyring{CurrentKeyID: s.Sessions.CurrentKey, Keys: map[string][]byte{}}}
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

// readSecret returns the content of a file without surrounding white space. An
// empty secret is an error.
func readSecret(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", eris.Wrap(err, "cli: read secret file")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", eris.Errorf("cli: secret file %s is empty", file)
	}
	return secret, nil
}

func checkCommand(std stdio) *ffcli.Command {
	return leafCommand{
		usage: "guavapier check FILE", help: "Report everything that is wrong with a settings file.",
		example: "guavapier check examples/guavapier.toml",
		args:    []string{"FILE"},
		run: func(_ context.Context, args []string) error {
			if err := checkFile(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(std.out, args[0]+": ok")
			return nil
		},
	}.build("check")
}

// checkFile validates a settings file of a server or a gateway instance.
func checkFile(file string) error {
	if settings.IsGatewayFile(file) {
		_, err := settings.LoadGateway(file)
		return err
	}
	_, err := settings.Load(file)
	return err
}
