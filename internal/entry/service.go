package entry

import (
	"io"
	"net/http"

	"guavapier/internal/decide"
	"guavapier/internal/run"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

func (c *Callers) handleService(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.Limits.BodyBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, invalid("body_too_large", "The body is larger than allowed."))
		return
	}
	if r.Header.Get(HeaderKey) == "" {
		writeProblem(w, http.StatusBadRequest, invalid("idempotency_key_missing", "A call that may not be repeated needs an Idempotency-Key."))
		return
	}
	common, p, ok := c.common(r, body)
	if !ok {
		writeProblem(w, http.StatusForbidden, p)
		return
	}
	common.Digest = callDigest(r, body)
	common.Wait = c.Limits.ServiceAnswer
	common.Priority = decide.PriorityCall
	answer, err := c.Runner.Call(r.Context(), run.Call{
		Request: common, Service: chi.URLParam(r, "service"), Method: r.Method,
		Path: "/call/" + chi.URLParam(r, "*"), ContentType: r.Header.Get("Content-Type"), Body: body,
	})
	if err != nil {
		status, p := fromFailure(err)
		writeProblem(w, status, p)
		return
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// callDigest covers all that makes two calls the same: a key that comes back
// with another method or path is reused as much as one with another body.
func callDigest(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.Path + "\n")
	_, _ = d.Write(body)
	return d.Sum64()
}
