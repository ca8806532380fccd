package quarantine

import "time"

// retestClaim returns the record with which this instance claims the next retest, and nil if
// no retest is due, since another one has begun or the request has been cleared after the
// caller last checked it. cleared reports the latter: the request may be sent.
func (t *Table) retestClaim(f Fingerprint, now time.Time) (claim *entryRecord, cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return nil, true
	}
	if now.Before(e.quarantinedUntil) {
		return nil, false
	}
	r := e.toRecord()
	r.Writer, r.RetestBy = t.self, t.self
	r.RetestRound++
	r.Until = now.Add(quarantineDuration(r.RetestRound)).UnixMilli()
	return r, false
}

// canaryClaim returns the record with which this instance claims the next canary, and nil if
// another canary has begun or the subject has been cleared after the caller last checked it.
// cleared reports the latter: the request may be sent.
func (t *Table) canaryClaim(f Fingerprint, now time.Time) (claim *entryRecord, cleared bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return nil, true
	}
	if now.Before(e.canaryUntil) {
		return nil, false
	}
	r := e.toRecord()
	r.Writer, r.CanaryBy = t.self, t.self
	r.CanaryRound++
	return r, false
}

// canaryResult is retestResult for a canary.
func (t *Table) canaryResult(f Fingerprint, round int) (decided, won bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return true, true
	}
	return e.canaryRound >= round, e.canaryRound == round && e.canaryBy == t.self
}

// beginLocalCanary reports whether the request may be sent as a canary that only this instance
// knows of, and makes others wait for it.
func (t *Table) beginLocalCanary(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return true
	}
	if now.Before(e.canaryUntil) {
		return false
	}
	e.canaryUntil = now.Add(canaryDuration)
	return true
}

// retestResult reports whether the retest of this round has been acquired by an instance,
// and whether by this one. A request without an entry has been cleared and may be sent.
func (t *Table) retestResult(f Fingerprint, round int) (decided, won bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f]
	if e == nil {
		return true, true
	}
	return e.retestRound >= round, e.retestRound == round && e.retestBy == t.self
}
