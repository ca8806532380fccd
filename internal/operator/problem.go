package operator

import (
	"encoding/json"
	"net/http"

	"guavapier/internal/config"
	"guavapier/internal/fold"
)

// maxBodyBytes bounds a request's body: a change of config.MaxChangeBytes with its
// JSON around it.
const maxBodyBytes = 4 * config.MaxChangeBytes

// problem says why a request was refused.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Findings is all that is wrong with a change.
	Findings []config.Finding `json:"findings,omitempty"`
	// Result is the fold's verdict on a refused change, with who won.
	Result *fold.ChangeResult `json:"result,omitempty"`
	// ID and Ask say how to learn an unknown outcome.
	ID         string `json:"id,omitempty"`
	StatusPath string `json:"ask,omitempty"`
}

// Problem is the body of every refusal.
type Problem struct {
	Error problem `json:"error"`
}

func writeProblem(w http.ResponseWriter, status int, p problem) {
	writeJSON(w, status, Problem{Error: p})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON reads a bounded body without unknown fields, or answers 400.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		writeProblem(w, http.StatusBadRequest, problem{Code: "malformed_body", Message: err.Error()})
		return false
	}
	return true
}

// writeOutcomeUnknown answers for an append that was not confirmed in time: it may
// take effect yet.
func writeOutcomeUnknown(w http.ResponseWriter, id, statusPath, message string) {
	w.Header().Set("Retry-After", "1")
	writeProblem(w, http.StatusServiceUnavailable, problem{Code: "outcome_unknown", Message: message, ID: id, StatusPath: statusPath})
}
