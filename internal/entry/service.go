package entry

import (
	"net/http"
	"path"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/decide"
	"guavapier/internal/run"
)

// handleService runs a call to a plain service and returns the service's answer with its
// status, content type and body.
func (a *API) handleService(w http.ResponseWriter, r *http.Request) {
	body, release, reqErr := a.readBody(w, r)
	defer release()
	if reqErr != nil {
		reqErr.write(w)
		return
	}
	call, reqErr := a.parseServiceCall(r, body)
	if reqErr != nil {
		reqErr.write(w)
		return
	}
	answer, err := a.Runner.Call(r.Context(), call)
	a.setWriteDeadline(w)
	if err != nil {
		status, p := problemFromError(err)
		writeProblem(w, status, p)
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// parseServiceCall validates a call to a plain service. If it returns an error, nothing
// has run. Calls that may not be repeated must have an idempotency key.
func (a *API) parseServiceCall(r *http.Request, body []byte) (run.Call, *requestError) {
	common, reqErr := a.parseCommon(r, body)
	if reqErr != nil {
		return run.Call{}, reqErr
	}
	common.MaxWait = a.Limits.ServiceAnswerTimeout
	common.Priority = decide.PriorityCall
	call := run.Call{
		Request: common, Service: chi.URLParam(r, "service"), Method: r.Method, Query: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	call.Path = strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+call.Service)
	if !isCanonicalPath(r.URL.Path) {
		return call, badRequest("malformed_path", "The path must not have empty or dot segments.")
	}
	if !common.HasCallerKey && !a.Runner.Repeatable(call.Service, call.Method, call.Path) {
		return call, badRequest("idempotency_key_missing", "A call that may not be repeated needs an %s.", HeaderIdempotencyKey)
	}
	return call, nil
}

// isCanonicalPath reports whether a decoded path has no empty and no dot segments. With
// such segments the service might resolve the path to another call than the one that the
// rules on repeatable calls were applied to.
func isCanonicalPath(decoded string) bool {
	return path.Clean(decoded) == strings.TrimSuffix(decoded, "/")
}
