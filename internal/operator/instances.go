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

func (i *Interface) handleApplied(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, AppliedRow{Next: i.Config.Next()})
}

// handleInstances shows the instance list with what each instance has
// applied. The list lags, and while the platform is away it stands still.
func (i *Interface) handleInstances(w http.ResponseWriter, _ *http.Request) {
	rows := i.Instances()
	if rows == nil {
		rows = []logstore.Instance{}
	}
	writeJSON(w, http.StatusOK, rows)
}
