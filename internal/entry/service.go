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

func (a *API) handleService(w http.ResponseWriter, r *http.Request) {
	body, reqErr := a.readBody(w, r)
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

// parseServiceCall reads a service call whole; nothing has run before it returns.
func (a *API) parseServiceCall(r *http.Request, body []byte) (run.Call, *requestError) {
	common, reqErr := a.parseCommon(r, body)
	if reqErr != nil {
		return run.Call{}, reqErr
	}
	common.Wait = a.Limits.ServiceAnswerTimeout
	common.Priority = decide.PriorityCall
	call := run.Call{
		Request: common, Service: chi.URLParam(r, "service"), Method: r.Method, Query: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	call.Path = strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+call.Service)
	if !isCanonicalPath(r.URL.Path) {
		return call, badRequest("malformed_path", "The path must not have empty or dot segments.")
	}
	if !common.Keyed && !a.Runner.Repeatable(call.Service, call.Method, call.Path) {
		return call, badRequest("idempotency_key_missing", "A call that may not be repeated needs an %s.", HeaderIdempotencyKey)
	}
	return call, nil
}

// isCanonicalPath says whether a path is in its simplest form. In another one it
// might mean another call to the service than to the rules.
func isCanonicalPath(decoded string) bool {
	return path.Clean(decoded) == strings.TrimSuffix(decoded, "/")
}
