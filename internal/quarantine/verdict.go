package quarantine

import (
	"bytes"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

const (
	// crashesToSuspect is the number of crashes, one after the other, from which on requests with a
	// part are sent one at a time. Parts of many requests occur on all endpoints that are lost
	// at the same moment.
	crashesToSuspect = 2
	// canaryDuration is how long a canary keeps others from being sent, unless it ends earlier
	// with an answer or a crash. An endpoint that crashes does so when it begins to answer.
	canaryDuration = time.Second
)

// verdictKind is what may be done with a request. The kinds are in the order of precedence: of
// several subjects of a request the one with the highest kind decides.
type verdictKind uint8

// The values of verdictKind.
const (
	verdictAdmit verdictKind = iota
	// verdictCanary allows the request to be sent by the instance that acquires the next canary.
	verdictCanary
	// verdictRetest allows the request to be sent by the instance that acquires the retest.
	verdictRetest
	verdictRefuse
)

// verdict is the decision about a request, and the subject that it rests on.
type verdict struct {
	kind       verdictKind
	subject    subject
	crashes    int
	endpoints  []string
	suspected  bool // The subject is not quarantined, but suspected.
	retryAfter time.Duration
}

// err returns the error for a request that is not sent on this verdict; nil if it may be sent.
func (v verdict) err() *QuarantinedError {
	if v.kind == verdictAdmit {
		return nil
	}
	return &QuarantinedError{
		Fingerprint: v.subject.fingerprint, Part: v.subject.part, Suspected: v.suspected,
		Crashes: v.crashes, Endpoints: v.endpoints, RetryAfter: v.retryAfter,
	}
}

// log adds what the verdict rests on to a log line.
func (v verdict) log(line *zerolog.Event) *zerolog.Event {
	return line.Stringer("content", v.subject.fingerprint).Str("part", v.subject.part).Int("ends", v.crashes)
}

// overrides reports whether v decides about a request rather than other. The order is the same
// at all instances, so that they claim the canary of the same subject.
func (v verdict) overrides(other verdict) bool {
	switch {
	case v.kind != other.kind:
		return v.kind > other.kind
	case v.crashes != other.crashes:
		return v.crashes > other.crashes
	}
	return bytes.Compare(v.subject.fingerprint[:], other.subject.fingerprint[:]) < 0
}

// lookup returns the subjects of the request that the table has entries for. The body is only
// hashed if there is an entry with the same metadata hash.
func (t *Table) lookup(c Content) []subject {
	if t.size.Load() == 0 {
		return nil
	}
	var known []subject
	if f, ok := t.find(c); ok {
		known = append(known, subject{fingerprint: f})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range c.Parts {
		if s := partSubject(id); t.entries[s.fingerprint] != nil {
			known = append(known, s)
		}
	}
	return known
}

// judge decides about a request that has the known subjects.
func (t *Table) judge(known []subject, now time.Time) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make([]*entry, 0, len(known))
	for _, s := range known {
		own = append(own, t.entries[s.fingerprint])
	}
	var decisive verdict
	for i, s := range known {
		if own[i] == nil {
			continue
		}
		if v := t.judgeSubject(s, own, own[i], now); v.overrides(decisive) {
			decisive = v
		}
	}
	return decisive
}

// judgeSubject decides about a request for one of its subjects, whose entry is e; own are the
// entries of all of them.
func (t *Table) judgeSubject(s subject, own []*entry, e *entry, now time.Time) verdict {
	v := verdict{subject: s, crashes: e.crashes, endpoints: slices.Clone(e.endpoints)}
	if e.staleFor(now) >= 0 {
		return v
	}
	if s.part == "" {
		if t.blameContent(e, own, now).isQuarantined() {
			v.kind, v.retryAfter = e.quarantineVerdict(now)
		}
		return v
	}
	b := t.blamePart(e, own, now)
	switch {
	case b.unexplained < crashesToSuspect:
	case b.isQuarantined():
		v.kind, v.retryAfter = e.quarantineVerdict(now)
	case b.isPending():
		v.kind, v.retryAfter, v.suspected = verdictRefuse, reportGracePeriod, true
	case now.Before(e.canaryUntil):
		v.kind, v.retryAfter, v.suspected = verdictRefuse, e.canaryUntil.Sub(now), true
	default:
		v.kind, v.suspected = verdictCanary, true
	}
	return v
}

// quarantineVerdict returns the verdict on a request with a quarantined subject.
func (e *entry) quarantineVerdict(now time.Time) (verdictKind, time.Duration) {
	if now.Before(e.quarantinedUntil) {
		return verdictRefuse, e.quarantinedUntil.Sub(now)
	}
	return verdictRetest, 0
}

// blame is how much speaks against a subject.
type blame struct {
	spaced int // Crashes one after the other.
	// unexplained is the number of crashes that no other subject explains better; reported is
	// the number of those of which all records have had time to arrive.
	unexplained, reported int
	// ambiguous reports that another subject, which the request does not have, explains one of
	// the crashes as well.
	ambiguous bool
}

// isQuarantined reports whether the subject is to blame for enough crashes.
func (b blame) isQuarantined() bool {
	return b.spaced >= crashesToQuarantine && b.reported >= crashesToQuarantine && !b.ambiguous
}

// isPending reports whether the subject will be quarantined unless further records of the same
// crashes arrive.
func (b blame) isPending() bool {
	return b.spaced >= crashesToQuarantine && b.unexplained >= crashesToQuarantine && !b.ambiguous
}

// blamePart returns what speaks against a part of a prompt. Another subject explains a crash
// better if it occurred at the same endpoint and has more crashes. Subjects with as many crashes
// are equally likely to blame: a request that has all of them crashes endpoints, one that has
// some of them tells which. own are the entries of the request's subjects.
func (t *Table) blamePart(e *entry, own []*entry, now time.Time) blame {
	b := blame{spaced: e.crashes}
	if e.crashes < crashesToSuspect {
		return b
	}
	ownCrashes := t.fullyReportedCrashes(e, now)
	for _, endpoint := range e.endpoints {
		c := t.crashes[endpoint]
		explained, ambiguous := t.findRivals(c, e, own, ownCrashes, now)
		if explained {
			continue
		}
		b.unexplained++
		b.ambiguous = b.ambiguous || ambiguous
		if c.isFullyReported(now) {
			b.reported++
		}
	}
	return b
}

// findRivals looks for other subjects of the crash, that are not in own: whether one explains it
// better than e, which has ownCrashes that are fully reported, or as well.
func (t *Table) findRivals(c *crash, e *entry, own []*entry, ownCrashes int, now time.Time) (better, equal bool) {
	for _, other := range c.entries {
		if other == e || len(other.endpoints) < len(e.endpoints) || slices.Contains(own, other) {
			continue
		}
		if equal && len(other.endpoints) == len(e.endpoints) && ownCrashes == len(e.endpoints) {
			continue // It can't have more than all.
		}
		if t.fullyReportedCrashes(other, now) > ownCrashes {
			return true, false
		}
		equal = true
	}
	return false, equal
}

// blameContent returns what speaks against the content of a request. Contents that always occur
// together are never in one request, so that none of them can be sent without risk: they are
// all quarantined, one crash later. Crashes for which records may still arrive don't count.
func (t *Table) blameContent(e *entry, own []*entry, now time.Time) blame {
	b := blame{spaced: e.crashes}
	ownCrashes := t.fullyReportedCrashes(e, now)
	explainsBetter := func(other *entry) bool {
		if len(other.endpoints) < ownCrashes || slices.Contains(own, other) {
			return false
		}
		crashes := t.fullyReportedCrashes(other, now)
		return crashes > ownCrashes || crashes == ownCrashes && ownCrashes == crashesToQuarantine
	}
	for _, endpoint := range e.endpoints {
		if c := t.crashes[endpoint]; c.isFullyReported(now) && !slices.ContainsFunc(c.entries, explainsBetter) {
			b.reported++
		}
	}
	return b
}
