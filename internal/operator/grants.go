package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/ledger"
	"guavapier/internal/record"
)

func (i *Interface) handleForceClose(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), i.Patience)
	defer cancel()
	id := chi.URLParam(r, "id")
	row, err := i.ForceClose(ctx, record.RightID(id))
	switch {
	case errors.Is(err, ledger.ErrNoGrant):
		writeProblem(w, http.StatusNotFound, problem{Code: "no_open_grant", Message: "There is no open grant " + id + "."})
	case err != nil:
		writeUnknown(w, id, "/state", "The log has not confirmed the close in time; it may take effect yet. A retry is harmless.")
	default:
		writeJSON(w, http.StatusOK, row)
	}
}
