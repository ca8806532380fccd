package cli

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/gateway"
	"guavapier/internal/settings"
)

// lookEvery is how often the settings file is looked at: it may change without
// a signal.
const lookEvery = 2 * time.Second

// reloadOn applies the settings file again when it changes and on a hangup,
// until ctx ends.
func reloadOn(ctx context.Context, hangups <-chan os.Signal, g *gateway.Gateway, file string, log zerolog.Logger) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	last, err := os.ReadFile(file)
	if err != nil {
		log.Warn().Err(err).Msg("gateway: settings file not readable")
	}
	for {
		select {
		case <-hangups:
			log.Info().Msg("gateway: SIGHUP, looking at the settings file")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		data, err := os.ReadFile(file)
		if err != nil || bytes.Equal(data, last) {
			continue // A file that is being replaced is read at the next look.
		}
		last = data
		s, err := settings.ParseGateway(file, data)
		if err != nil {
			log.Error().Err(err).Msg("gateway: changed settings are wrong; the last ones stay in force")
			continue
		}
		g.Reload(s)
	}
}
