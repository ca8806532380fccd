package operator

import (
	"net/http"

	"guavapier/internal/logstore"
)

// AppliedRow is the body of the answer to GET /applied.
type AppliedRow struct {
	// Next is the offset after the last entry of the configuration stream that this instance
	// has applied: every change at a lower offset is in effect here.
	Next uint64 `json:"next"`
}

func (a *API) handleGetApplied(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, AppliedRow{Next: a.Config.NextOffset()})
}

// handleListInstances lists the instances with the offsets that each has applied. The list
// is updated with a delay, and not at all while the platform is unavailable.
func (a *API) handleListInstances(w http.ResponseWriter, _ *http.Request) {
	rows := a.Instances()
	if rows == nil {
		rows = []logstore.Instance{}
	}
	writeJSON(w, http.StatusOK, rows)
}
