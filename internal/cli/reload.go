package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes,
// as it may change without a signal.
const reloadInterval = 2 * time.Second

// reloader applies a gateway's settings file whenever it changes.
type reloader struct {
	file string
	// lastText is the file's content when it was last read. It begins with the content
	// that the instance started with, so that a change during the start is detected.
	lastText []byte
	apply    func(settings.Gateway)
	log      zerolog.Logger
}

// run checks the file at each reloadInterval and on each SIGHUP, until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangups:
			r.log.Info().Msg("gateway: SIGHUP, looking at the settings file")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged applies the file if its content has changed and is valid. Invalid
// settings are logged once and not applied.
func (r *reloader) reloadIfChanged() {
	data, err := os.ReadFile(r.file)
	if err != nil || bytes.Equal(data, r.lastText) {
		return // A file that is missing while it is replaced is read at the next check.
	}
	r.lastText = data
	s, err := settings.ParseGateway(r.file, data)
	if err != nil {
		r.log.Error().Err(err).Msg("gateway: changed settings are invalid; the previous ones stay in force")
		return
	}
	r.apply(s)
}
