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

func (c *Callers) handleService(w http.ResponseWriter, r *http.Request) {
	body, refused := c.readBody(w, r)
	if refused != nil {
		refused.write(w)
		return
	}
	call, refused := c.callOf(r, body)
	if refused != nil {
		refused.write(w)
		return
	}
	answer, err := c.Runner.Call(r.Context(), call)
	c.writeWithin(w)
	if err != nil {
		status, p := fromFailure(err)
		writeProblem(w, status, p)
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// callOf reads a service call whole; nothing has run before it returns.
func (c *Callers) callOf(r *http.Request, body []byte) (run.Call, *refusal) {
	common, refused := c.common(r, body)
	if refused != nil {
		return run.Call{}, refused
	}
	common.MaxWait = c.Limits.ServiceAnswer
	common.Priority = decide.PriorityCall
	call := run.Call{
		Request: common, Service: chi.URLParam(r, "service"), Method: r.Method, Query: r.URL.RawQuery,
		ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	call.Path = strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+call.Service)
	if !plainPath(r.URL.Path) {
		return call, badRequest("malformed_path", "The path must not have empty or dot segments.")
	}
	if !common.HasCallerKey && !c.Runner.Repeatable(call.Service, call.Method, call.Path) {
		return call, badRequest("idempotency_key_missing", "A call that may not be repeated needs an %s.", HeaderKey)
	}
	return call, nil
}

// plainPath says whether a path is in its simplest form. In another one it
// might mean another call to the service than to the rules.
func plainPath(decoded string) bool {
	return path.Clean(decoded) == strings.TrimSuffix(decoded, "/")
}
