package gateway

import (
	"guavapier/internal/retry"
	"guavapier/internal/settings"
)

// Reload applies settings that may change while the instance runs: the retry
// budget. Addresses and the like hold until the next start, and a change of
// them is logged.
func (g *Gateway) Reload(s settings.Gateway) {
	g.retryLimiter.SetBudget(retry.Budget{Ratio: s.Retries.Ratio, Extra: float64(s.Retries.Extra), Window: s.Retries.Window.D()})
	needsRestart := s.Gateway != g.settings.Gateway || s.Store != g.settings.Store || s.Log != g.settings.Log || s.Drain != g.settings.Drain
	g.log.Info().Bool("needs_restart", needsRestart).Msg("gateway: settings reloaded")
}
