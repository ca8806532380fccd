package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/record"
)

const (
	// maxByBytes bounds the note in a request's field by.
	maxByBytes          = 100
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

// ChangeRequest is the body of PUT /settings. ID makes the request idempotent: the change
// is applied once, however often it is retried with the same ID. If ID is empty, the
// server chooses one. By is a note on who asks.
type ChangeRequest struct {
	ID  string            `json:"id"`
	By  string            `json:"by"`
	Ops []record.ChangeOp `json:"ops"`
}

// handlePutSettings changes settings. It answers 200 only after this instance has applied
// the change. A change whose result is known already isn't appended to the log again.
func (a *API) handlePutSettings(w http.ResponseWriter, r *http.Request) {
	var req ChangeRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	operator := authenticatedOperator(r)
	if findings := a.validate(req, operator); len(findings) > 0 {
		writeProblem(w, http.StatusUnprocessableEntity, problem{Code: "invalid_change", Message: "Nothing was changed.", Findings: findings})
		return
	}
	if result, known := a.changeResult(req.ID); known {
		writeResult(w, result, req.Ops)
		return
	}
	if err := a.appendChange(r.Context(), req, operator); err != nil {
		writeOutcomeUnknown(w, req.ID, "/changes/"+req.ID, "The log has not confirmed the change in time; it may apply yet. Ask, or retry with the same id.")
		return
	}
	result, known := a.changeResult(req.ID)
	if !known {
		writeOutcomeUnknown(w, req.ID, "/changes/"+req.ID, "The change's result is not remembered any more.")
		return
	}
	writeResult(w, result, req.Ops)
}

// validate returns all problems of the request, none if it is valid.
func (a *API) validate(req ChangeRequest, operator config.Operator) []config.Finding {
	findings := config.Validate(req.Ops, operator.Scope())
	if !config.ValidName(req.ID) {
		findings = append(findings, config.Finding{Path: "id", Problem: "is " + strconv.Quote(req.ID) + "; allowed: letters, digits, dots, dashes, underscores; at most 100"})
	}
	if len(req.By) > maxByBytes {
		findings = append(findings, config.Finding{Path: "by", Problem: "is too long; allowed: at most 100 bytes"})
	}
	return findings
}

// appendChange appends the change to the log and waits until this instance has applied its
// record, whether the change was accepted or not. After an error the change may still take
// effect.
func (a *API) appendChange(ctx context.Context, req ChangeRequest, operator config.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, a.ConfirmTimeout)
	defer cancel()
	change := record.Change{
		ID: req.ID, By: author(operator, req.By), UnixMilli: time.Now().UnixMilli(), Ops: req.Ops,
		Scope: operator.Scope(), Credential: operator.Credential,
	}
	offset, err := a.Log.Append(ctx, record.ConfigStream, change)
	if err != nil {
		return err
	}
	return a.Config.AwaitOffset(ctx, offset)
}

// author returns the text by which the history names the operator: the name of the
// credential, which is verified, and the operator's note, which is not.
func author(operator config.Operator, note string) string {
	if note == "" {
		return operator.Name
	}
	return operator.Name + " (" + note + ")"
}

// changeResult returns the result of the change with the given ID, if this instance has
// applied it and still stores the result.
func (a *API) changeResult(id string) (result fold.ChangeResult, known bool) {
	a.Config.View(func(f *fold.Config) { result, known = f.Result(id) })
	return result, known
}

// writeResult answers with the result of a change. ops are those of the request: if they
// differ from the ones that were applied under its ID, the ID was used for another change.
func writeResult(w http.ResponseWriter, result fold.ChangeResult, ops []record.ChangeOp) {
	switch {
	case result.Digest != fold.ChangeDigest(ops):
		writeProblem(w, http.StatusUnprocessableEntity, problem{Code: "id_reused", Message: "The id belongs to another change. Nothing was changed."})
	case result.Accepted:
		writeJSON(w, http.StatusOK, result)
	case result.Verdict == fold.VerdictLost:
		writeProblem(w, http.StatusConflict, problem{Code: string(result.Verdict), Message: "Another change came first. Nothing was changed.", Result: &result})
	default:
		writeProblem(w, http.StatusForbidden, problem{Code: string(result.Verdict), Message: "Nothing was changed.", Result: &result})
	}
}

// handleGetChange returns the result of a change. A change that touches paths outside the
// operator's scope is reported as not found.
func (a *API) handleGetChange(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	result, known := a.changeResult(id)
	if !known || !mayReadPaths(authenticatedOperator(r), result.Ops) {
		nextOffset := strconv.FormatUint(a.Config.NextOffset(), 10)
		writeProblem(w, http.StatusNotFound, problem{
			Code: "no_such_change", ID: id,
			Message: "Up to offset " + nextOffset + " the log has no such change; it may come yet, or be older than what is remembered.",
		})
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// mayReadPaths reports whether the operator may read the paths of all ops.
func mayReadPaths(operator config.Operator, ops []record.ChangeOp) bool {
	for _, op := range ops {
		if !operator.MayRead(op.Path) {
			return false
		}
	}
	return true
}

// handleGetSettings lists the settings under the prefix in the query.
func (a *API) handleGetSettings(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	if !authenticatedOperator(r).MayRead(prefix) {
		writeForbidden(w, "Your credential sees "+authenticatedOperator(r).Scope()+" only.")
		return
	}
	var values []fold.Value
	a.Config.View(func(f *fold.Config) { values = f.List(prefix) })
	writeJSON(w, http.StatusOK, values)
}

// handleHistory lists the latest changes, newest first. Changes that touch paths outside the
// operator's scope are left out, so the answer may have fewer than limit changes.
func (a *API) handleHistory(w http.ResponseWriter, r *http.Request) {
	prefix, limit := r.URL.Query().Get("prefix"), defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			writeProblem(w, http.StatusBadRequest, problem{Code: "malformed_limit", Message: "limit is " + strconv.Quote(text) + "; allowed: 1 to 1000."})
			return
		}
		limit = n
	}
	operator := authenticatedOperator(r)
	if !operator.MayRead(prefix) {
		writeForbidden(w, "Your credential sees "+operator.Scope()+" only.")
		return
	}
	var changes []fold.ChangeResult
	a.Config.View(func(f *fold.Config) { changes = f.History(prefix, limit) })
	visible := []fold.ChangeResult{}
	for _, c := range changes {
		if mayReadPaths(operator, c.Ops) {
			visible = append(visible, c)
		}
	}
	writeJSON(w, http.StatusOK, visible)
}
