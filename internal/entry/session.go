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
	// sessionListTimeout bounds how long opening a session waits for its entry on the list of
	// open sessions.
	sessionListTimeout = 500 * time.Millisecond
	// sessionEndTimeout bounds how long ending a session waits for the log.
	sessionEndTimeout = 5 * time.Second
	// sessionEndRetryAfter is the Retry-After, in seconds, if the log doesn't confirm the end.
	sessionEndRetryAfter = 5
)

// sessionBody describes a session. Token is present only in the response that opens it.
type sessionBody struct {
	ID    string `json:"id"`
	Token string `json:"token,omitempty"`
	Home  string `json:"home,omitempty"`
	Ended bool   `json:"ended"`
}

func (a *API) handleOpenSession(w http.ResponseWriter, r *http.Request) {
	id, token, err := a.SessionKeys.Issue(authenticatedTeam(r).Name, a.Zone)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, problem{Type: typeServer, Code: "no_signing_key", Message: err.Error(), Outcome: record.OutcomeNotRun})
		return
	}
	a.addToSessionList(r.Context(), id)
	writeJSON(w, http.StatusCreated, sessionBody{ID: string(id.ID), Token: token, Home: string(id.Home)})
}

// addToSessionList adds a session to its team's list of open sessions. The session is
// valid without it: if the log is slow or unavailable, the response is delayed by at most
// sessionListTimeout and the session isn't listed.
func (a *API) addToSessionList(ctx context.Context, id session.Identity) {
	ctx, cancel := context.WithTimeout(ctx, sessionListTimeout)
	defer cancel()
	_ = a.SessionRegistry.RecordOpened(ctx, id, time.Now())
}

type sessionList struct {
	Sessions []sessionBody `json:"sessions"`
}

// handleListSessions lists the team's open sessions, oldest first.
func (a *API) handleListSessions(w http.ResponseWriter, r *http.Request) {
	list := sessionList{Sessions: []sessionBody{}}
	for _, row := range a.SessionRegistry.OpenSessions(authenticatedTeam(r).Name) {
		list.Sessions = append(list.Sessions, sessionBody{ID: string(row.Session), Home: string(row.Zone)})
	}
	writeJSON(w, http.StatusOK, list)
}

// handleGetSession reports whether a session was ended. A session that was never opened is
// reported as not ended: tokens are self-contained, so open sessions aren't recorded
// reliably.
func (a *API) handleGetSession(w http.ResponseWriter, r *http.Request) {
	id := record.SessionID(chi.URLParam(r, "id"))
	writeJSON(w, http.StatusOK, sessionBody{ID: string(id), Ended: a.SessionRegistry.IsEnded(authenticatedTeam(r).Name, id)})
}

// handleEndSession ends a session of the caller's team.
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

// verifySession returns the identity in the request's session token. Without a token, the
// identity names only the team.
func (a *API) verifySession(r *http.Request, team record.Team) (session.Identity, *requestError) {
	token := r.Header.Get(HeaderSession)
	if token == "" {
		// Without a session there is no home zone. The zone of this instance can't be used: it
		// selects the shard of the claim, and a retry that reaches another instance must find
		// the same shard.
		return session.Identity{Team: team}, nil
	}
	id, err := a.SessionKeys.Verify(token)
	if err != nil || id.Team != team {
		return id, &requestError{status: http.StatusForbidden, problem: invalidRequest("invalid_session", "The session is not valid for this team.")}
	}
	if a.SessionRegistry.IsEnded(team, id.ID) {
		return id, &requestError{status: http.StatusForbidden, problem: sessionEndedProblem(r)}
	}
	return id, nil
}

// sessionEndedProblem returns the problem of a request in an ended session. An earlier
// attempt with the same idempotency key may have run before the session ended, so the
// outcome is certain only for a first attempt and for a request without a key.
func sessionEndedProblem(r *http.Request) problem {
	p := invalidRequest("session_ended", "The session was ended by its owner.")
	if r.Header.Get(HeaderIdempotencyKey) != "" && r.Header.Get(HeaderFirstAttempt) != "true" {
		p.Outcome = record.OutcomeUnknown
	}
	return p
}
