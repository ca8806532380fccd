package operator

import (
	"encoding/json"
	"net/http"

	"guavapier/internal/config"
	"guavapier/internal/fold"
)

// maxBodyBytes bounds a request's body. It leaves room for a change of config.MaxChangeBytes
// and the JSON syntax around it.
const maxBodyBytes = 4 * config.MaxChangeBytes

// problem describes an error response. Code is for programs, Message for people.
type problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Findings lists everything that is invalid in a change or a top-up.
	Findings []config.Finding `json:"findings,omitempty"`
	// Result is the result of a change that was not accepted, with the changes that came first.
	Result *fold.ChangeResult `json:"result,omitempty"`
	// ID and StatusPath tell how to look up an unknown outcome: ID is that of the change, top-up,
	// grant or shard, StatusPath the path of this API to read.
	ID         string `json:"id,omitempty"`
	StatusPath string `json:"ask,omitempty"`
}

// Problem is the JSON body of every error response.
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

// readJSON decodes the request's body into out and reports whether it could. Otherwise,
// also if the body is too large or has unknown fields, it has answered 400.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		writeProblem(w, http.StatusBadRequest, problem{Code: "malformed_body", Message: err.Error()})
		return false
	}
	return true
}

// writeOutcomeUnknown answers 503 for a record that the log didn't confirm within
// ConfirmTimeout and that may still take effect. The outcome can be looked up at statusPath.
func writeOutcomeUnknown(w http.ResponseWriter, id, statusPath, message string) {
	w.Header().Set("Retry-After", "1")
	writeProblem(w, http.StatusServiceUnavailable, problem{Code: "outcome_unknown", Message: message, ID: id, StatusPath: statusPath})
}
