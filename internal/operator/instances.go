package operator

import (
	"net/http"

	"guavapier/internal/logstore"
)

// AppliedRow is the answer to GET /applied.
type AppliedRow struct {
	// Next is the offset after the last entry of the configuration stream
	// that this instance has applied: a change at a lower offset is in force.
	Next uint64 `json:"next"`
}

func (a *API) handleGetApplied(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, AppliedRow{Next: a.Config.Next()})
}

// handleListInstances shows the instance list with what each instance has
// applied. The list lags, and while the platform is away it stands still.
func (a *API) handleListInstances(w http.ResponseWriter, _ *http.Request) {
	rows := a.Instances()
	if rows == nil {
		rows = []logstore.Instance{}
	}
	writeJSON(w, http.StatusOK, rows)
}
