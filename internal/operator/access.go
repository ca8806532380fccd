package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// fleetOperatorName is the name under which the history shows changes made with the token
// of the settings file.
const fleetOperatorName = "fleet"

// operatorContextKey is the context key of the operator that authenticate found.
type operatorContextKey struct{}

// authenticate looks up the operator of the request's bearer token and stores it in the
// request's context. Without a valid token it answers 401.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, err := a.identify(r)
		switch {
		case eris.Is(err, config.ErrExpiredCredential):
			writeProblem(w, http.StatusUnauthorized, problem{Code: "expired_operator_token", Message: "The operator token has expired; a fleet operator can set a later time or a new token."})
		case err != nil:
			writeProblem(w, http.StatusUnauthorized, problem{Code: "invalid_operator_token", Message: "The operator token is missing or not valid."})
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator)))
		}
	})
}

// identify returns the operator of the request's bearer token. Errors: config.ErrInvalidCredential,
// also if there is no token, and config.ErrExpiredCredential.
func (a *API) identify(r *http.Request) (config.Operator, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return config.Operator{}, config.ErrInvalidCredential
	}
	if secretsEqual(token, a.FleetToken) {
		return config.Operator{Name: fleetOperatorName}, nil
	}
	var operator config.Operator
	var err error
	a.Config.View(func(f *fold.Config) { operator, err = config.AuthenticateOperator(f, token, time.Now()) })
	return operator, err
}

// secretsEqual reports whether got is the secret want. It compares digests, so that the
// time taken reveals nothing about the secret, not even its length. An empty want equals
// nothing.
func secretsEqual(got, want string) bool {
	g, w := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(g[:], w[:]) == 1
}

// authenticatedOperator returns the operator that authenticate stored.
func authenticatedOperator(r *http.Request) config.Operator {
	operator, ok := r.Context().Value(operatorContextKey{}).(config.Operator)
	if !ok {
		// No credential was checked. The request gets an operator without permissions,
		// whose team doesn't exist.
		return config.Operator{Team: "-"}
	}
	return operator
}

// authorize returns a middleware that answers 403 to operators without the required access.
func authorize(required access) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			operator := authenticatedOperator(r)
			allowed := operator.IsFleetOperator() || required == accessScoped ||
				required == accessTeam && record.Team(chi.URLParam(r, "team")) == operator.Team
			if !allowed {
				writeForbidden(w, "This is for fleet operators, or for the operators of that team.")
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// writeForbidden answers 403 to an operator whose scope doesn't permit the request.
func writeForbidden(w http.ResponseWriter, message string) {
	writeProblem(w, http.StatusForbidden, problem{Code: "out_of_scope", Message: message})
}
