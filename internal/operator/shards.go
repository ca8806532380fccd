package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/claim"
	"guavapier/internal/record"
)

// handleCloseShard closes a claim shard whose holder and witness are both gone
// for good; its risk is told at claim.Holder.ForceClose.
func (i *Interface) handleCloseShard(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), i.Patience)
	defer cancel()
	id := chi.URLParam(r, "id")
	row, err := i.CloseShard(ctx, record.RightID(id))
	switch {
	case errors.Is(err, claim.ErrNoShard):
		writeProblem(w, http.StatusNotFound, problem{Code: "no_open_shard", Message: "There is no open claim shard of the right " + id + "."})
	case err != nil:
		writeUnknown(w, id, "/state", "The log has not confirmed the close in time; it may take effect yet. A retry is harmless.")
	default:
		writeJSON(w, http.StatusOK, row)
	}
}
