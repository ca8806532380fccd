package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"guavapier/internal/standin"
)

func standinCommand(std stdio) *ffcli.Command {
	return groupCommand("standin", "guavapier standin platform|engine|service", "Run a stand-in of an outside system, for tests and first runs.",
		"guavapier standin platform -listen 127.0.0.1:9000",
		standinPlatform(std), standinEngine(std), standinService(std))
}

func standinPlatform(std stdio) *ffcli.Command {
	fs := newFlagSet("platform")
	listen := fs.String("listen", "127.0.0.1:9000", "`IP:port` to listen on; port 0 lets the kernel choose")
	rate := fs.Float64("appends", 300, "append rate limit per second")
	retain := fs.Int("retain", 0, "entries kept in each stream; 0 keeps all")
	retainFor := fs.Duration("retain-for", 0, "how long each entry is kept; 0 keeps all")
	lag := fs.Duration("lag", time.Second, "lag of the instance list")
	return standinSubcommand(fs, "platform", "Run the log and the instance list.", func(ctx context.Context) error {
		p := standin.NewPlatform(standin.PlatformOptions{
			AppendsPerSecond: *rate, MaxEntries: *retain, EntryTTL: *retainFor, ListLag: *lag, InstanceTTL: 5 * time.Second,
		})
		return serveHTTP(ctx, std, *listen, p.Handler())
	})
}

func standinEngine(std stdio) *ffcli.Command {
	fs := newFlagSet("engine")
	listen := fs.String("listen", "127.0.0.1:9100", "`IP:port` to listen on; port 0 lets the kernel choose")
	model := fs.String("model", "small", "model that it serves")
	step := fs.Duration("step", 3*time.Millisecond, "base time of one step")
	slots := fs.Int("slots", 16, "sequences in the batch")
	cache := fs.Int("cache", 64_000, "tokens in the prefix cache")
	heartbeat := fs.Duration("heartbeat", 500*time.Millisecond, "time between comments on a stream without tokens")
	ignoreFence := fs.Bool("ignore-fence", false, "obey orders with an old fencing number")
	return standinSubcommand(fs, "engine", "Run a model engine.", func(ctx context.Context) error {
		return serveHTTP(ctx, std, *listen, standin.NewEngine(standin.EngineOptions{
			Model: *model, Step: *step, Slots: *slots, CacheTokens: *cache, Heartbeat: *heartbeat, IgnoreFencingToken: *ignoreFence,
		}).Handler())
	})
}

func standinService(std stdio) *ffcli.Command {
	fs := newFlagSet("service")
	listen := fs.String("listen", "127.0.0.1:9200", "`IP:port` to listen on; port 0 lets the kernel choose")
	leaving := fs.Bool("leaving", false, "refuse all calls from the start")
	return standinSubcommand(fs, "service", "Run a plain service.", func(ctx context.Context) error {
		s := standin.NewService()
		s.SetFaults(standin.ServiceFaults{Leaving: *leaving})
		return serveHTTP(ctx, std, *listen, s.Handler())
	})
}

// standinSubcommand returns a command that runs a stand-in until ctx ends.
func standinSubcommand(fs *flag.FlagSet, name, help string, run func(context.Context) error) *ffcli.Command {
	return leafCommand{
		usage: "guavapier standin " + name + " [flags]", help: help,
		example: "guavapier standin " + name + " -listen 127.0.0.1:0",
		flags:   fs,
		run:     func(ctx context.Context, _ []string) error { return run(ctx) },
	}.build(name)
}

// serveHTTP listens on an IP:port, prints the bound address and serves h until ctx
// ends.
func serveHTTP(ctx context.Context, std stdio, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return eris.Wrap(err, "cli: listen")
	}
	fmt.Fprintln(std.out, "listening on "+l.Addr().String())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
