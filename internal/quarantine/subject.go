package quarantine

import (
	"crypto/sha256"
	"strconv"
	"time"
)

// Endpoint identifies an endpoint that serves a request.
type Endpoint struct {
	ID, Address string // Address is IP:port.
	// Born is the start time of its process in Unix milliseconds; 0 if unknown. An endpoint may
	// start again under its ID and crash again.
	Born int64
}

// incarnation identifies the endpoint's process in records.
func (e Endpoint) incarnation() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// subject is a property of a request that may be what crashes endpoints.
type subject struct {
	fingerprint Fingerprint
	part        string // ID of the part of the prompt; "" for the content.
}

// partPrefix keeps the hash of a part's ID apart from other hashes.
const partPrefix = "part\x00"

// partSubject returns the subject of a part of a prompt. It is the same whoever sends the part
// and to whichever route.
func partSubject(id string) subject {
	s := subject{part: id}
	digest := sha256.Sum256([]byte(partPrefix + id))
	copy(s.fingerprint[:], digest[:])
	return s
}

// subjects returns the subjects of the request.
func (c Content) subjects() []subject {
	all := []subject{{fingerprint: c.Fingerprint()}}
	for _, id := range c.Parts {
		all = append(all, partSubject(id))
	}
	return all
}

// answeredWindow is how long a part counts as recently answered, at least. It is short, so that
// a part that endpoints begin to crash on is reported in time.
const answeredWindow = time.Second

// recentAnswers remembers which parts were answered lately. It keeps those of the current
// answeredWindow and of the one before.
type recentAnswers struct {
	current, previous map[string]string // Incarnation of the endpoint that answered last, by the part's ID.
	rotated           time.Time
}

// rotate forgets what is older than answeredWindow.
func (r *recentAnswers) rotate(now time.Time) {
	age := now.Sub(r.rotated)
	if age < answeredWindow {
		return
	}
	r.previous, r.current, r.rotated = r.current, map[string]string{}, now
	if age >= 2*answeredWindow {
		r.previous = nil
	}
}

// add records that an endpoint has answered a request with these parts.
func (r *recentAnswers) add(parts []string, endpoint string, now time.Time) {
	r.rotate(now)
	for _, id := range parts {
		r.current[id] = endpoint
	}
}

// endpoint returns the endpoint that answered a request with the part lately, "" for none.
func (r *recentAnswers) endpoint(part string, now time.Time) string {
	r.rotate(now)
	if endpoint := r.current[part]; endpoint != "" {
		return endpoint
	}
	return r.previous[part]
}
