package endpointload

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// tokenUnit is the resolution of memory in messages, in tokens.
	tokenUnit = 16
	// ttftUnit is the resolution of observed times in messages.
	ttftUnit = 100 * time.Microsecond
	// keyBytes is the size of an encoded Key.
	keyBytes = 4
	// maxField bounds the value of an encoded field, so that no sum overflows.
	maxField = 1 << 40
)

// errMalformed reports bytes that are not an encoded list.
var errMalformed = eris.New("endpointload: malformed list")

// Lists that messages carry in a compact form: 4 bytes for each key, then the fields as
// variable-length integers.
type (
	// LoadList holds loads; messages have prefill times in milliseconds and memory in tokenUnit.
	LoadList []KeyedLoad
	// SampleList holds samples; messages have times in ttftUnit.
	SampleList []KeyedSample
	// ReportList holds reports; messages have memory in tokenUnit and ages in milliseconds.
	ReportList []KeyedReport
)

// MarshalBinary implements encoding.BinaryMarshaler.
func (list LoadList) MarshalBinary() ([]byte, error) {
	buf := make([]byte, 0, len(list)*12)
	for _, l := range list {
		buf = appendFields(buf, l.Key, int64(l.Requests), int64(l.Waiting), l.Prefill.Milliseconds(), inUnits(l.Tokens, tokenUnit))
	}
	return buf, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (list *LoadList) UnmarshalBinary(data []byte) error {
	d := decoder{data: data}
	*list = slices.Grow(*list, len(data)/(keyBytes+4))
	for d.hasMore() {
		*list = append(*list, KeyedLoad{d.key(), Load{
			Requests: int(d.field()), Waiting: int(d.field()), Prefill: time.Duration(d.field()) * time.Millisecond, Tokens: d.field() * tokenUnit,
		}})
	}
	return d.err
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (list SampleList) MarshalBinary() ([]byte, error) {
	buf := make([]byte, 0, len(list)*9)
	for _, s := range list {
		buf = appendFields(buf, s.Key, s.Tokens, inUnits(int64(s.TTFT), int64(ttftUnit)))
	}
	return buf, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (list *SampleList) UnmarshalBinary(data []byte) error {
	d := decoder{data: data}
	for d.hasMore() {
		*list = append(*list, KeyedSample{Key: d.key(), Tokens: d.field(), TTFT: time.Duration(d.field()) * ttftUnit})
	}
	return d.err
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (list ReportList) MarshalBinary() ([]byte, error) {
	buf := make([]byte, 0, len(list)*14)
	for _, r := range list {
		buf = appendFields(buf, r.Key, int64(r.Running), int64(r.Waiting), inUnits(r.UsedTokens, tokenUnit), inUnits(r.TotalTokens, tokenUnit), r.Age.Milliseconds())
	}
	return buf, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (list *ReportList) UnmarshalBinary(data []byte) error {
	d := decoder{data: data}
	for d.hasMore() {
		*list = append(*list, KeyedReport{d.key(), Report{
			Running: int(d.field()), Waiting: int(d.field()), UsedTokens: d.field() * tokenUnit, TotalTokens: d.field() * tokenUnit, Age: time.Duration(d.field()) * time.Millisecond,
		}})
	}
	return d.err
}

// inUnits returns n in units, rounded to the nearest.
func inUnits(n, unit int64) int64 { return (n + unit/2) / unit }

// appendFields appends a key and its fields; a negative field becomes 0.
func appendFields(buf []byte, key Key, fields ...int64) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(key))
	for _, field := range fields {
		buf = binary.AppendUvarint(buf, uint64(min(max(field, 0), maxField)))
	}
	return buf
}

// decoder reads keys and fields until the first error, after which it returns zeros.
type decoder struct {
	data []byte
	err  error
}

// hasMore reports whether bytes are left.
func (d *decoder) hasMore() bool { return d.err == nil && len(d.data) > 0 }

func (d *decoder) key() Key {
	if len(d.data) < keyBytes {
		d.err = errMalformed
		return 0
	}
	key := Key(binary.LittleEndian.Uint32(d.data))
	d.data = d.data[keyBytes:]
	return key
}

func (d *decoder) field() int64 {
	value, n := binary.Uvarint(d.data)
	if d.err != nil || n <= 0 || value > maxField {
		d.err = errMalformed
		return 0
	}
	d.data = d.data[n:]
	return int64(value)
}
