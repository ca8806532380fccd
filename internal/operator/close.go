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

// handleCloseGrant closes a grant whose holder is gone for good; its risk is
// told at ledger.Ledger.ForceClose.
func (a *API) handleCloseGrant(w http.ResponseWriter, r *http.Request) {
	forceClose(w, r, a, a.CloseGrant, ledger.ErrNoGrant, "grant")
}

// handleCloseShard closes a claim shard whose holder and witness are both gone
// for good; its risk is told at claim.Holder.ForceClose.
func (a *API) handleCloseShard(w http.ResponseWriter, r *http.Request) {
	forceClose(w, r, a, a.CloseShard, claim.ErrNoShard, "shard")
}

// forceClose closes the right that the route names. kind names it to people;
// missing is the error for one that is not open.
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
