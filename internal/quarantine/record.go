package quarantine

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// entryRecord is the value of a record on the log, whose key is the fingerprint of a subject.
// It holds all that its writer knows of the subject, so that an instance that starts only
// needs the newest record. A record without a value clears the subject.
type entryRecord struct {
	Team   record.Team       `cbor:"1,keyasint,omitempty"`
	Writer record.InstanceID `cbor:"2,keyasint"`
	// Endpoints are the incarnations of the endpoints that crashed while serving requests
	// with the subject, the latest last.
	Endpoints []string `cbor:"3,keyasint"`
	// UnderWay is how long the request had been in progress on the last of these endpoints.
	UnderWay time.Duration `cbor:"4,keyasint,omitempty"`
	// Crashes is the number of endpoints that crashed one after the other.
	Crashes int `cbor:"5,keyasint"`
	// RetestRound is the number of retests. The writer of the first record of a round
	// on the log acquires the retest.
	RetestRound int `cbor:"6,keyasint,omitempty"`
	// RetestBy is the instance that has acquired the latest retest, or claims it with
	// this record.
	RetestBy record.InstanceID `cbor:"8,keyasint,omitempty"`
	// Until is the end of the quarantine in Unix milliseconds; 0 for none.
	Until int64 `cbor:"7,keyasint,omitempty"`
	// Part is the ID of the part of the prompt; "" for the content of a request.
	Part string `cbor:"9,keyasint,omitempty"`
	// CanaryRound and CanaryBy are the number of canaries and the instance that has acquired the
	// latest one, or claims it with this record; they work like those of retests.
	CanaryRound int               `cbor:"10,keyasint,omitempty"`
	CanaryBy    record.InstanceID `cbor:"11,keyasint,omitempty"`
}

func (r *entryRecord) encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, eris.Wrap(err, "quarantine: encode record")
}

func decodeRecord(data []byte) (*entryRecord, error) {
	var r entryRecord
	err := cbor.Unmarshal(data, &r)
	return &r, eris.Wrap(err, "quarantine: decode record")
}

func (e *entry) toRecord() *entryRecord {
	r := &entryRecord{
		Team: e.team, Part: e.part, Writer: e.writer, Endpoints: slices.Clone(e.endpoints), Crashes: e.crashes,
		RetestRound: e.retestRound, RetestBy: e.retestBy, CanaryRound: e.canaryRound, CanaryBy: e.canaryBy,
	}
	if !e.quarantinedUntil.IsZero() {
		r.Until = e.quarantinedUntil.UnixMilli()
	}
	return r
}

// until returns the end of the quarantine; the zero time for none.
func (r *entryRecord) until() time.Time {
	if r.Until == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.Until)
}

// lacks reports whether the record has less than the entry into which it was merged, of what
// the instance self has contributed. The others see to what is theirs.
func (r *entryRecord) lacks(e *entry, self record.InstanceID) bool {
	switch {
	case r.Crashes < e.crashes && e.countedBy == self:
		return true
	case r.RetestRound < e.retestRound && e.retestBy == self, r.CanaryRound < e.canaryRound && e.canaryBy == self:
		return true
	}
	return slices.ContainsFunc(e.endpoints, func(endpoint string) bool {
		return slices.Contains(e.ownEndpoints, endpoint) && !slices.Contains(r.Endpoints, endpoint)
	})
}
