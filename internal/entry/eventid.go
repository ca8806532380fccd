package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"guavapier/internal/record"
	"guavapier/internal/run"
)

// signatureLength is the number of bytes to which the signature of an event ID is
// truncated.
const signatureLength = 16

// eventID returns the ID of the event after which a caller has the first n tokens of
// a run's answer, in the form "run.n.signature". The signature binds the run to its
// team: with the ID alone, the team can resume the answer at any instance, and no
// other team can.
func (a *API) eventID(team record.Team, run record.RunID, n int) string {
	return string(run) + "." + strconv.Itoa(n) + "." + runSignature(a.SessionKeys.Keys[a.SessionKeys.CurrentKeyID], team, run)
}

// runSignature returns the hex signature of a run and its team under one of the
// session keys.
func runSignature(key []byte, team record.Team, run record.RunID) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("event\x00" + string(team) + "\x00" + string(run)))
	return hex.EncodeToString(mac.Sum(nil)[:signatureLength])
}

// parseLastEventID returns the position in an earlier answer that the request's
// Last-Event-ID names, or the zero Position without the header.
func (a *API) parseLastEventID(r *http.Request) (run.ResumePosition, *requestError) {
	text := r.Header.Get(HeaderLastEventID)
	if text == "" {
		return run.ResumePosition{}, nil
	}
	parts := strings.Split(text, ".")
	if len(parts) == 3 {
		n, err := strconv.Atoi(parts[1])
		id := record.RunID(parts[0])
		if err == nil && n > 0 && a.isRunSignature(authenticatedTeam(r).Name, id, parts[2]) {
			return run.ResumePosition{Run: id, Tokens: n}, nil
		}
	}
	return run.ResumePosition{}, badRequest("invalid_last_event_id", "%s must be the id of an event of an earlier answer to this team.", HeaderLastEventID)
}

// isRunSignature reports whether signature is valid under any of the session keys,
// including retired ones whose sessions are still open.
func (a *API) isRunSignature(team record.Team, id record.RunID, signature string) bool {
	for _, key := range a.SessionKeys.Keys {
		if hmac.Equal([]byte(signature), []byte(runSignature(key, team, id))) {
			return true
		}
	}
	return false
}
