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

// signatureBytes is how much of an event id's signature is kept.
const signatureBytes = 16

// eventID names the first n tokens of a run's answer: "run.n.signature". The
// signature binds the run to its team, so that the id alone lets the team, and
// nobody else, go on in the run at any instance.
func (c *Callers) eventID(team record.Team, run record.RunID, n int) string {
	return string(run) + "." + strconv.Itoa(n) + "." + signRun(c.Sessions.Keys[c.Sessions.CurrentKeyID], team, run)
}

func signRun(key []byte, team record.Team, run record.RunID) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("event\x00" + string(team) + "\x00" + string(run)))
	return hex.EncodeToString(mac.Sum(nil)[:signatureBytes])
}

// lastEvent reads the position in an earlier answer out of the Last-Event-ID.
func (c *Callers) lastEvent(r *http.Request) (run.ResumePosition, *refusal) {
	text := r.Header.Get(HeaderLast)
	if text == "" {
		return run.ResumePosition{}, nil
	}
	parts := strings.Split(text, ".")
	if len(parts) == 3 {
		n, err := strconv.Atoi(parts[1])
		id := record.RunID(parts[0])
		if err == nil && n > 0 && c.signed(teamOf(r).Name, id, parts[2]) {
			return run.ResumePosition{Run: id, Tokens: n}, nil
		}
	}
	return run.ResumePosition{}, badRequest("invalid_last_event_id", "%s must be the id of an event of an earlier answer to this team.", HeaderLast)
}

// signed checks a signature with every key that sessions are still accepted
// with.
func (c *Callers) signed(team record.Team, id record.RunID, signature string) bool {
	for _, key := range c.Sessions.Keys {
		if hmac.Equal([]byte(signature), []byte(signRun(key, team, id))) {
			return true
		}
	}
	return false
}
