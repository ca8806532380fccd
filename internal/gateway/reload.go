package gateway

import (
	"guavapier/internal/retry"
	"guavapier/internal/settings"
)

// Reload applies the settings that can change while the instance runs, which is the retry
// budget. All others take effect at the next start; it logs whether any of them has
// changed.
func (g *Gateway) Reload(s settings.Gateway) {
	g.retryLimiter.SetBudget(retry.Budget{Ratio: s.Retries.Ratio, Extra: float64(s.Retries.Extra), Window: s.Retries.Window.D()})
	needsRestart := s.Gateway != g.settings.Gateway || s.Store != g.settings.Store || s.Log != g.settings.Log || s.Drain != g.settings.Drain
	g.log.Info().Bool("needs_restart", needsRestart).Msg("gateway: settings reloaded")
}
