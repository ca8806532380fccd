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
func (i *Interface) handleCloseGrant(w http.ResponseWriter, r *http.Request) {
	closeRight(w, r, i, i.CloseGrant, ledger.ErrNoGrant, "grant")
}

// handleCloseShard closes a claim shard whose holder and witness are both gone
// for good; its risk is told at claim.Holder.ForceClose.
func (i *Interface) handleCloseShard(w http.ResponseWriter, r *http.Request) {
	closeRight(w, r, i, i.CloseShard, claim.ErrNoShard, "shard")
}

// closeRight closes the right that the route names. kind names it to people;
// missing is the error for one that is not open.
func closeRight[Row any](w http.ResponseWriter, r *http.Request, i *Interface,
	closeOne func(context.Context, record.RightID) (Row, error), missing error, kind string,
) {
	ctx, cancel := context.WithTimeout(r.Context(), i.Patience)
	defer cancel()
	id := chi.URLParam(r, "id")
	row, err := closeOne(ctx, record.RightID(id))
	switch {
	case errors.Is(err, missing):
		writeProblem(w, http.StatusNotFound, problem{Code: "no_open_" + kind, Message: "There is no open " + kind + " " + id + "."})
	case err != nil:
		writeUnknown(w, id, "/state", "The log has not confirmed the close in time; it may take effect yet. A retry is harmless.")
	default:
		writeJSON(w, http.StatusOK, row)
	}
}
