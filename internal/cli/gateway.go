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

// lastLines is the time for a log's last lines where no instance was started.
const lastLines = time.Second

// runGateway runs an instance on the outside platform.
func runGateway(ctx context.Context, o output, file string) error {
	hangups := catchHangups()
	text, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "cli: read settings")
	}
	s, err := settings.ParseGateway(file, text)
	if err != nil {
		return err
	}
	ring := logging.NewRing(o.out, s.Log.Buffer)
	left := lastLines
	defer func() { _ = ring.CloseWithin(left) }() // Lines that are lost then can't be told.
	log, err := logging.New(settings.Log{Level: s.Log.Level, Format: s.Log.Format}, ring)
	if err != nil {
		return err
	}
	limit := logging.NewLimit(s.Log.Lines)
	base, err := url.Parse(s.Store.URL)
	if err != nil {
		return eris.Wrap(err, "cli: store.url")
	}
	g, err := gateway.New(s, gateway.Platform{
		Store:       platform.NewStore(base.Host, s.Store.Timeout.D()),
		DecodeState: platform.DecodeState, DecodeEndpoint: platform.DecodeEndpoint,
		Codec: platform.Codec{}, ReadyPath: platform.ReadyPath, LinesDropped: func() int64 { return ring.Dropped() + limit.Thinned() },
		Thin: limit,
	}, log)
	if err != nil {
		return err
	}
	// Settings apply until the instance has ended, also while it drains.
	reloading, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	reload := &reloader{file: file, last: text, apply: g.Reload, log: log}
	go reload.run(reloading, hangups)
	err = g.Run(ctx)
	left = g.TimeLeft()
	return err
}
