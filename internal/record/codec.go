package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxBatchBytes bounds one encoded batch, in bytes. The platform's log takes
// entries of up to 1 MiB.
const MaxBatchBytes = 1 << 20

// ErrMalformed is returned for bytes that do not decode as a batch, an envelope
// or a record of the given kind.
var ErrMalformed = eris.New("record: malformed")

// Envelope holds one encoded record and its kind.
type Envelope struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// Batch is the payload of one append to the log: the records that one writer
// committed together. Writer and Seq make an append idempotent: a writer sends
// batch Seq+1 only after it has read batch Seq back from the log, and
// fold.Ledger ignores a batch whose Seq is not above the last one that it has
// seen from that writer.
type Batch struct {
	Writer  InstanceID `cbor:"1,keyasint"`
	Seq     uint64     `cbor:"2,keyasint"`
	Records []Envelope `cbor:"3,keyasint"`
}

// Encode returns the envelope of r. An Unknown record keeps its kind and its
// bytes.
func Encode(r Record) (Envelope, error) {
	if u, ok := r.(Unknown); ok {
		return Envelope{Kind: u.Of, Body: u.Body}, nil
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return Envelope{}, eris.Wrapf(err, "record: encode kind %d", r.Kind())
	}
	return Envelope{Kind: r.Kind(), Body: body}, nil
}

// EncodeAll returns the envelopes of records, in the same order.
func EncodeAll(records ...Record) ([]Envelope, error) {
	envelopes := make([]Envelope, 0, len(records))
	for _, r := range records {
		env, err := Encode(r)
		if err != nil {
			return nil, err
		}
		envelopes = append(envelopes, env)
	}
	return envelopes, nil
}

// Decode returns the typed record in e. A kind that this version does not know
// is returned as Unknown, without an error. It returns ErrMalformed if the body
// does not decode as a record of its kind.
func Decode(e Envelope) (Record, error) {
	decode, ok := decoders[e.Kind]
	if !ok {
		return Unknown{Of: e.Kind, Body: e.Body}, nil
	}
	return decode(e.Body)
}

// IsKnownKind reports whether this version can decode records of kind k.
func IsKnownKind(k Kind) bool { return decoders[k] != nil }

// EncodeBatch returns the encoded form of b. It does not check MaxBatchBytes.
func EncodeBatch(b Batch) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, eris.Wrap(err, "record: encode batch")
	}
	return data, nil
}

// DecodeBatch decodes a batch. The bodies of its records stay encoded. It
// returns ErrMalformed for bytes that are not a batch.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Batch{}, eris.Wrap(ErrMalformed, err.Error())
	}
	return b, nil
}

// EncodeEnvelope returns the encoded form of one envelope, outside a batch.
func EncodeEnvelope(e Envelope) ([]byte, error) { return cbor.Marshal(e) }

// DecodeEnvelope decodes one envelope. It returns ErrMalformed for bytes that
// are not an envelope.
func DecodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Envelope{}, eris.Wrap(ErrMalformed, err.Error())
	}
	return e, nil
}

// decoders holds the decoder of each kind that this version knows.
var decoders = map[Kind]func([]byte) (Record, error){
	KindTopUp:         decodeAs[TopUp],
	KindGrant:         decodeAs[Grant],
	KindClose:         decodeAs[Close],
	KindBill:          decodeAs[Bill],
	KindShard:         decodeAs[Shard],
	KindClaim:         decodeAs[Claim],
	KindClaimEnd:      decodeAs[ClaimEnd],
	KindSessionOpened: decodeAs[SessionOpened],
	KindSessionEnded:  decodeAs[SessionEnded],
	KindChange:        decodeAs[Change],
	KindSnapshot:      decodeAs[Snapshot],
	KindReturn:        decodeAs[Return],
}

func decodeAs[R Record](body []byte) (Record, error) {
	var r R
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(ErrMalformed, err.Error())
	}
	return r, nil
}
