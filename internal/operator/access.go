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

// fleetOperatorName is the name of whoever uses the token of the settings file.
const fleetOperatorName = "fleet"

type operatorContextKey struct{}

// authenticate finds the operator of the request's bearer token.
func (a *API) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, err := a.identify(r)
		switch {
		case eris.Is(err, config.ErrExpired):
			writeProblem(w, http.StatusUnauthorized, problem{Code: "expired_operator_token", Message: "The operator token has expired; a fleet operator can set a later time or a new token."})
		case err != nil:
			writeProblem(w, http.StatusUnauthorized, problem{Code: "invalid_operator_token", Message: "The operator token is missing or not valid."})
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator)))
		}
	})
}

func (a *API) identify(r *http.Request) (config.Operator, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return config.Operator{}, config.ErrForged
	}
	if secretsEqual(token, a.FleetToken) {
		return config.Operator{Name: fleetOperatorName}, nil
	}
	var operator config.Operator
	var err error
	a.Config.View(func(f *fold.Config) { operator, err = config.AuthenticateOperator(f, token, time.Now()) })
	return operator, err
}

// secretsEqual compares digests, so that the time taken tells nothing about the
// secret, its length included. An empty secret is never the same.
func secretsEqual(got, want string) bool {
	g, w := sha256.Sum256([]byte(got)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(g[:], w[:]) == 1
}

func authenticatedOperator(r *http.Request) config.Operator {
	operator, ok := r.Context().Value(operatorContextKey{}).(config.Operator)
	if !ok {
		// No credential was checked: an operator of a team without a name,
		// which may do nothing.
		return config.Operator{Team: "-"}
	}
	return operator
}

// authorize refuses operators that a route is not for.
func authorize(required access) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			operator := authenticatedOperator(r)
			allowed := operator.Fleet() || required == accessScoped ||
				required == accessTeam && record.Team(chi.URLParam(r, "team")) == operator.Team
			if !allowed {
				writeForbidden(w, "This is for fleet operators, or for the operators of that team.")
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func writeForbidden(w http.ResponseWriter, message string) {
	writeProblem(w, http.StatusForbidden, problem{Code: "out_of_scope", Message: message})
}
