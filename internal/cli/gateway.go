package cli

import (
	"context"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/gateway"
	"guavapier/internal/logging"
	"guavapier/internal/settings"
	"guavapier/platform"
)

// logFlushTimeout bounds the flush of the last log lines at exit, unless a gateway
// instance has run and set the time that is left of its shutdown.
const logFlushTimeout = time.Second

// runGateway runs a gateway instance, which serves an outside platform, until ctx
// ends and the instance has drained.
func runGateway(ctx context.Context, std stdio, file string) error {
	hangups := catchHangups()
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "cli: read settings")
	}
	s, err := settings.ParseGateway(file, text)
	if err != nil {
		return err
	}
	ring := logging.NewRingWriter(std.out, s.Log.Buffer)
	flushTimeout := logFlushTimeout
	defer func() { _ = ring.CloseWithTimeout(flushTimeout) }() // An error could no longer be logged.
	log, err := logging.New(settings.Log{Level: s.Log.Level, Format: s.Log.Format}, ring)
	if err != nil {
		return err
	}
	limiter := logging.NewRateLimiter(s.Log.Lines)
	base, err := url.Parse(s.Store.URL)
	if err != nil {
		return eris.Wrap(err, "cli: store.url")
	}
	g, err := gateway.New(s, gateway.Platform{
		Store:       platform.NewStore(base.Host, s.Store.Timeout.D()),
		DecodeState: platform.DecodeState, DecodeEndpoint: platform.DecodeEndpoint, CordonedZone: platform.CordonedZone,
		Codec: platform.Codec{}, ReadyPath: platform.ReadyPath, LinesDropped: func() int64 { return ring.Dropped() + limiter.Suppressed() },
		ReportRequest: platform.ReportRequest, DecodeReport: platform.DecodeReport, Thin: limiter,
	}, log)
	if err != nil {
		return err
	}
	// Settings are reloaded until the instance has stopped, also while it drains.
	reloadCtx, stopReload := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReload()
	r := &reloader{file: file, lastText: text, apply: g.Reload, log: log}
	go r.run(reloadCtx, hangups)
	err = g.Run(ctx)
	flushTimeout = g.TimeLeft()
	return err
}
