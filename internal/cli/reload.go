package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/settings"
)

// reloadInterval is how often the settings file is looked at: it may change without
// a signal.
const reloadInterval = 2 * time.Second

// reloader applies a settings file again when it changes.
type reloader struct {
	file string
	// lastText is the text in force: a change between the first read of the file and
	// the first look at it is one too.
	lastText []byte
	apply    func(settings.Gateway)
	log      zerolog.Logger
}

// run looks at the file now and then and on each hangup, until ctx ends.
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

// reloadIfChanged applies the file if it has changed and is right.
func (r *reloader) reloadIfChanged() {
	data, err := os.ReadFile(r.file)
	if err != nil || bytes.Equal(data, r.lastText) {
		return // A file that is being replaced is read at the next look.
	}
	r.lastText = data
	s, err := settings.ParseGateway(r.file, data)
	if err != nil {
		r.log.Error().Err(err).Msg("gateway: changed settings are wrong; the last ones stay in force")
		return
	}
	r.apply(s)
}
