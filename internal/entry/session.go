package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"guavapier/internal/record"
	"guavapier/internal/session"
)

const (
	// sessionListTimeout bounds how long opening a session waits to be listed.
	sessionListTimeout = 500 * time.Millisecond
	// sessionEndTimeout bounds ending a session while the log is slow.
	sessionEndTimeout = 5 * time.Second
	// sessionEndRetryAfter is when to come back, in seconds, while it is away.
	sessionEndRetryAfter = 5
)

type sessionBody struct {
	ID    string `json:"id"`
	Token string `json:"token,omitempty"`
	Home  string `json:"home,omitempty"`
	Ended bool   `json:"ended"`
}

func (a *API) handleOpenSession(w http.ResponseWriter, r *http.Request) {
	id, token, err := a.SessionKeys.Open(authenticatedTeam(r).Name, a.Zone)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, problem{Type: typeServer, Code: "no_signing_key", Message: err.Error(), Outcome: record.OutcomeNotRun})
		return
	}
	a.addToSessionList(r.Context(), id)
	writeJSON(w, http.StatusCreated, sessionBody{ID: string(id.ID), Token: token, Home: string(id.Home)})
}

// addToSessionList puts a session on its team's list. The session is valid without it, so a
// slow or absent log costs the caller listPatience at most and the row.
func (a *API) addToSessionList(ctx context.Context, id session.Identity) {
	ctx, cancel := context.WithTimeout(ctx, sessionListTimeout)
	defer cancel()
	_ = a.SessionRegistry.List(ctx, id, time.Now())
}

type sessionList struct {
	Sessions []sessionBody `json:"sessions"`
}

// handleListSessions lists the team's open sessions, oldest first.
func (a *API) handleListSessions(w http.ResponseWriter, r *http.Request) {
	list := sessionList{Sessions: []sessionBody{}}
	for _, row := range a.SessionRegistry.Listed(authenticatedTeam(r).Name) {
		list.Sessions = append(list.Sessions, sessionBody{ID: string(row.Session), Home: string(row.Zone)})
	}
	writeJSON(w, http.StatusOK, list)
}

// handleGetSession says whether a session was ended. A session that was never
// opened is not told from an open one: identities are self-contained.
func (a *API) handleGetSession(w http.ResponseWriter, r *http.Request) {
	id := record.SessionID(chi.URLParam(r, "id"))
	writeJSON(w, http.StatusOK, sessionBody{ID: string(id), Ended: a.SessionRegistry.Ended(authenticatedTeam(r).Name, id)})
}

// handleEndSession ends one of the team's own sessions.
func (a *API) handleEndSession(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), sessionEndTimeout)
	defer cancel()
	if err := a.SessionRegistry.End(ctx, authenticatedTeam(r).Name, record.SessionID(chi.URLParam(r, "id"))); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{
			Type: typeServer, Code: "platform_unavailable", Message: "The end of the session is not confirmed. Ask again.",
			Outcome: record.OutcomeUnknown, RetryAfter: sessionEndRetryAfter,
		})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// verifySession returns the identity of a request's session token, if it has one.
func (a *API) verifySession(r *http.Request, team record.Team) (session.Identity, *requestError) {
	token := r.Header.Get(HeaderSession)
	if token == "" {
		// Without a session there is no home zone: the claim's shard must not
		// depend on the instance that a retry reaches.
		return session.Identity{Team: team}, nil
	}
	id, err := a.SessionKeys.Verify(token)
	if err != nil || id.Team != team {
		return id, &requestError{status: http.StatusForbidden, problem: invalidRequest("invalid_session", "The session is not valid for this team.")}
	}
	if a.SessionRegistry.Ended(team, id.ID) {
		return id, &requestError{status: http.StatusForbidden, problem: sessionEndedProblem(r)}
	}
	return id, nil
}

// sessionEndedProblem refuses a request of an ended session. An earlier attempt under
// the same key may have run before the end, so only a first attempt, and one
// without a key, is certain not to have run.
func sessionEndedProblem(r *http.Request) problem {
	p := invalidRequest("session_ended", "The session was ended by its owner.")
	if r.Header.Get(HeaderIdempotencyKey) != "" && r.Header.Get(HeaderFirstAttempt) != "true" {
		p.Outcome = record.OutcomeUnknown
	}
	return p
}
