package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/claim"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

// handleCloseGrant closes a grant whose holder is permanently lost. For the risk of doing so
// see ledger.Ledger.ForceClose.
func (a *API) handleCloseGrant(w http.ResponseWriter, r *http.Request) {
	forceClose(w, r, a, a.CloseGrant, ledger.ErrNoGrant, "grant")
}

// handleCloseShard closes a claim shard whose holder and witness are both permanently lost.
// For the risk of doing so see claim.Holder.ForceClose.
func (a *API) handleCloseShard(w http.ResponseWriter, r *http.Request) {
	forceClose(w, r, a, a.CloseShard, claim.ErrNoShard, "shard")
}

// forceClose closes the right whose ID is in the path by calling closeRight, and answers with
// the closed row. errNotOpen is the error that closeRight returns if no such right is open;
// kind is the right's name in messages and codes.
func forceClose[Row any](w http.ResponseWriter, r *http.Request, a *API,
	closeRight func(context.Context, record.RightID) (Row, error), errNotOpen error, kind string,
) {
	ctx, cancel := context.WithTimeout(r.Context(), a.ConfirmTimeout)
	defer cancel()
	id := chi.URLParam(r, "id")
	row, err := closeRight(ctx, record.RightID(id))
	switch {
	case errors.Is(err, errNotOpen):
		writeProblem(w, http.StatusNotFound, problem{Code: "no_open_" + kind, Message: "There is no open " + kind + " " + id + "."})
	case err != nil:
		writeOutcomeUnknown(w, id, "/state", "The log has not confirmed the close in time; it may take effect yet. A retry is harmless.")
	default:
		writeJSON(w, http.StatusOK, row)
	}
}
