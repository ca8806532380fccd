package quarantine

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// report is a record on the log, under the fingerprint of a request: what its writer knows
// of it. The newest one is enough for an instance that starts. A record without a value
// clears the request.
type report struct {
	Team   record.Team       `cbor:"1,keyasint,omitempty"`
	Writer record.InstanceID `cbor:"2,keyasint"`
	// Endpoints have ended under the request, the latest last.
	Endpoints []string `cbor:"3,keyasint"`
	// UnderWay is for how long the request had been under way at the last of them.
	UnderWay time.Duration `cbor:"4,keyasint,omitempty"`
	// Ends counts those that ended one after the other.
	Ends int `cbor:"5,keyasint"`
	// Round counts retests. The first record of a round on the log has the right to it.
	Round int `cbor:"6,keyasint,omitempty"`
	// RetestBy has the right to the last retest.
	RetestBy record.InstanceID `cbor:"8,keyasint,omitempty"`
	// Until is the end of the hold in Unix milliseconds; 0 for none.
	Until int64 `cbor:"7,keyasint,omitempty"`
}

func (r *report) encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, eris.Wrap(err, "quarantine: encode record")
}

func decodeReport(data []byte) (*report, error) {
	var r report
	err := cbor.Unmarshal(data, &r)
	return &r, eris.Wrap(err, "quarantine: decode record")
}

func (e *entry) report() *report {
	r := &report{Team: e.team, Writer: e.writer, Endpoints: slices.Clone(e.endpoints), Ends: e.ends, Round: e.round, RetestBy: e.retestBy}
	if !e.until.IsZero() {
		r.Until = e.until.UnixMilli()
	}
	return r
}

// until is the end of the hold; zero for none.
func (r *report) until() time.Time {
	if r.Until == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.Until)
}
