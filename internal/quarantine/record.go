package quarantine

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// entryRecord is a record on the log, under the fingerprint of a request: what its writer knows
// of it. The newest one is enough for an instance that starts. A record without a value
// clears the request.
type entryRecord struct {
	Team   record.Team       `cbor:"1,keyasint,omitempty"`
	Writer record.InstanceID `cbor:"2,keyasint"`
	// Endpoints have ended under the request, the latest last.
	Endpoints []string `cbor:"3,keyasint"`
	// UnderWay is for how long the request had been under way at the last of them.
	UnderWay time.Duration `cbor:"4,keyasint,omitempty"`
	// Crashes counts those that ended one after the other.
	Crashes int `cbor:"5,keyasint"`
	// RetestRound counts retests. The first record of a round on the log has the right to it.
	RetestRound int `cbor:"6,keyasint,omitempty"`
	// RetestBy has the right to the last retest.
	RetestBy record.InstanceID `cbor:"8,keyasint,omitempty"`
	// Until is the end of the hold in Unix milliseconds; 0 for none.
	Until int64 `cbor:"7,keyasint,omitempty"`
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
	r := &entryRecord{Team: e.team, Writer: e.writer, Endpoints: slices.Clone(e.endpoints), Crashes: e.crashes, RetestRound: e.retestRound, RetestBy: e.retestBy}
	if !e.quarantinedUntil.IsZero() {
		r.Until = e.quarantinedUntil.UnixMilli()
	}
	return r
}

// until is the end of the hold; zero for none.
func (r *entryRecord) until() time.Time {
	if r.Until == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.Until)
}
