package quarantine

import (
	"slices"
	"time"
)

const (
	// clearTTL is how long a clear is remembered. A neighbour that was not reached for longer has
	// forgotten its entry, unless it quarantines the subject.
	clearTTL = entryTTL
	// maxClears bounds the crashes whose clears are remembered; the oldest clears are dropped.
	maxClears = 2048
)

// clearedCrash is a crash that does not speak against a subject, since the subject was cleared
// after it.
type clearedCrash struct {
	fingerprint Fingerprint
	endpoint    string // Incarnation.
}

// clears remembers which crashes were cleared, so that the records of instances that don't know of
// the clear can't bring them back. It answers the exchange of records while the log is out of
// reach; on the log the order of the records decides.
type clears struct {
	at map[clearedCrash]time.Time // When the subject was cleared.
}

func newClears() clears { return clears{at: map[clearedCrash]time.Time{}} }

// add remembers that the subject was cleared of the crash, unless that is known or too long ago.
func (c *clears) add(f Fingerprint, endpoint string, at, now time.Time) {
	key := clearedCrash{f, endpoint}
	if c.has(f, endpoint) || now.Sub(at) >= clearTTL {
		return
	}
	if len(c.at) >= maxClears {
		c.dropOldest()
	}
	c.at[key] = at
}

// dropOldest forgets the oldest quarter, so that a full table is rarely searched.
func (c *clears) dropOldest() {
	times := make([]time.Time, 0, len(c.at))
	for _, at := range c.at {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	c.forget(times[len(times)/4])
}

// expire forgets what was cleared clearTTL ago.
func (c *clears) expire(now time.Time) { c.forget(now.Add(-clearTTL)) }

// forget forgets what was cleared at the given time or before.
func (c *clears) forget(until time.Time) {
	for key, at := range c.at {
		if !at.After(until) {
			delete(c.at, key)
		}
	}
}

func (c *clears) has(f Fingerprint, endpoint string) bool {
	_, cleared := c.at[clearedCrash{f, endpoint}]
	return cleared
}

// filter returns the record without the crashes that the subject was cleared of; nil if none is
// left. A quarantine that rests on them is over.
func (c *clears) filter(f Fingerprint, r *entryRecord) *entryRecord {
	isCleared := func(endpoint string) bool { return c.has(f, endpoint) }
	if !slices.ContainsFunc(r.Endpoints, isCleared) {
		return r
	}
	left := *r
	left.Endpoints = slices.DeleteFunc(slices.Clone(r.Endpoints), isCleared)
	if len(left.Endpoints) == 0 {
		return nil
	}
	left.Crashes = min(r.Crashes, len(left.Endpoints))
	if left.Crashes < crashesToQuarantine {
		left.Until = 0
	}
	return &left
}

// revoke forgets that the subject was cleared of these crashes.
func (c *clears) revoke(f Fingerprint, endpoints []string) {
	for _, endpoint := range endpoints {
		delete(c.at, clearedCrash{f, endpoint})
	}
}

// clearRecord is a clear of one crash as instances exchange it.
type clearRecord struct {
	// Endpoint is the incarnation of the endpoint that crashed.
	Endpoint string `cbor:"1,keyasint"`
	// Age is the time since the subject was cleared.
	Age time.Duration `cbor:"2,keyasint"`
}

// toRecords returns all clears by the subject's fingerprint.
func (c *clears) toRecords(now time.Time) map[Fingerprint][]clearRecord {
	records := make(map[Fingerprint][]clearRecord, len(c.at))
	for key, at := range c.at {
		records[key.fingerprint] = append(records[key.fingerprint], clearRecord{Endpoint: key.endpoint, Age: now.Sub(at)})
	}
	return records
}
