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
	// listPatience bounds how long opening a session waits to be listed.
	listPatience = 500 * time.Millisecond
	// endPatience bounds ending a session while the log is slow.
	endPatience = 5 * time.Second
	// endRetry is when to come back, in seconds, while it is away.
	endRetry = 5
)

type sessionBody struct {
	ID    string `json:"id"`
	Token string `json:"token,omitempty"`
	Home  string `json:"home,omitempty"`
	Ended bool   `json:"ended"`
}

func (c *Callers) handleOpenSession(w http.ResponseWriter, r *http.Request) {
	id, token, err := c.Sessions.Issue(teamOf(r).Name, c.Zone)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, problem{Type: typeServer, Code: "no_signing_key", Message: err.Error(), Outcome: record.OutcomeNotRun})
		return
	}
	c.list(r.Context(), id)
	writeJSON(w, http.StatusCreated, sessionBody{ID: string(id.ID), Token: token, Home: string(id.Home)})
}

// list puts a session on its team's list. The session is valid without it, so a
// slow or absent log costs the caller listPatience at most and the row.
func (c *Callers) list(ctx context.Context, id session.Identity) {
	ctx, cancel := context.WithTimeout(ctx, listPatience)
	defer cancel()
	_ = c.Ends.RecordOpened(ctx, id, time.Now())
}

type sessionList struct {
	Sessions []sessionBody `json:"sessions"`
}

// handleSessions lists the team's open sessions, oldest first.
func (c *Callers) handleSessions(w http.ResponseWriter, r *http.Request) {
	list := sessionList{Sessions: []sessionBody{}}
	for _, row := range c.Ends.OpenSessions(teamOf(r).Name) {
		list.Sessions = append(list.Sessions, sessionBody{ID: string(row.Session), Home: string(row.Zone)})
	}
	writeJSON(w, http.StatusOK, list)
}

// handleSession says whether a session was ended. A session that was never
// opened is not told from an open one: identities are self-contained.
func (c *Callers) handleSession(w http.ResponseWriter, r *http.Request) {
	id := record.SessionID(chi.URLParam(r, "id"))
	writeJSON(w, http.StatusOK, sessionBody{ID: string(id), Ended: c.Ends.IsEnded(teamOf(r).Name, id)})
}

// handleEndSession ends one of the team's own sessions.
func (c *Callers) handleEndSession(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), endPatience)
	defer cancel()
	if err := c.Ends.End(ctx, teamOf(r).Name, record.SessionID(chi.URLParam(r, "id"))); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, problem{
			Type: typeServer, Code: "platform_unavailable", Message: "The end of the session is not confirmed. Ask again.",
			Outcome: record.OutcomeUnknown, RetryAfter: endRetry,
		})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// session returns the identity of a request's session token, if it has one.
func (c *Callers) session(r *http.Request, team record.Team) (session.Identity, *refusal) {
	token := r.Header.Get(HeaderSession)
	if token == "" {
		// Without a session there is no home zone: the claim's shard must not
		// depend on the instance that a retry reaches.
		return session.Identity{Team: team}, nil
	}
	id, err := c.Sessions.Verify(token)
	if err != nil || id.Team != team {
		return id, &refusal{status: http.StatusForbidden, problem: invalid("invalid_session", "The session is not valid for this team.")}
	}
	if c.Ends.IsEnded(team, id.ID) {
		return id, &refusal{status: http.StatusForbidden, problem: sessionEnded(r)}
	}
	return id, nil
}

// sessionEnded refuses a request of an ended session. An earlier attempt under
// the same key may have run before the end, so only a first attempt, and one
// without a key, is certain not to have run.
func sessionEnded(r *http.Request) problem {
	p := invalid("session_ended", "The session was ended by its owner.")
	if r.Header.Get(HeaderKey) != "" && r.Header.Get(HeaderFirst) != "true" {
		p.Outcome = record.OutcomeUnknown
	}
	return p
}
