package record

// Kind identifies the type of a record on the log. Numbers are never reused.
type Kind uint16

// The kinds known to this version.
const (
	KindTopUp         Kind = 1
	KindGrant         Kind = 2
	KindClose         Kind = 3
	KindBill          Kind = 4
	KindShard         Kind = 5
	KindClaim         Kind = 6
	KindClaimEnd      Kind = 7
	KindSessionOpened Kind = 8
	KindSessionEnded  Kind = 9
	KindChange        Kind = 10
	KindSnapshot      Kind = 11
	KindReturn        Kind = 20
)

// Record is one typed entry of a batch.
type Record interface {
	Kind() Kind
}

// TopUp adds prepaid tokens to a budget; the first top-up creates the budget.
// ID makes it idempotent: the fold counts each remembered ID once.
type TopUp struct {
	Budget BudgetID `cbor:"1,keyasint"`
	ID     string   `cbor:"2,keyasint"`
	Tokens int64    `cbor:"3,keyasint"`
	By     string   `cbor:"4,keyasint,omitempty"`
}

// Grant reserves part of a budget for one holder. The witness, if there is one,
// may close the grant in the holder's place. The fold ignores a grant that
// would raise the budget's committed tokens above its prepaid tokens.
type Grant struct {
	Right   RightID    `cbor:"1,keyasint"`
	Budget  BudgetID   `cbor:"2,keyasint"`
	Tokens  int64      `cbor:"3,keyasint"`
	Holder  InstanceID `cbor:"4,keyasint"`
	Witness InstanceID `cbor:"5,keyasint,omitempty"`
	Zone    Zone       `cbor:"6,keyasint"`
}

// Return gives tokens of an open grant back to its budget. Only the holder may
// return tokens, and only after it has subtracted them from the amount that it
// reserves from. Seq counts the returns of one grant from 1, so that a late
// copy has no effect.
type Return struct {
	Right  RightID    `cbor:"1,keyasint"`
	By     InstanceID `cbor:"2,keyasint"`
	Seq    uint64     `cbor:"3,keyasint"`
	Tokens int64      `cbor:"4,keyasint"`
}

// Outstanding is a reservation whose final usage is unknown to the instance
// that closes the grant.
type Outstanding struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Run    RunID      `cbor:"2,keyasint"`
	Tokens int64      `cbor:"3,keyasint"`
}

// Close ends a right. The first close in log order wins. When a grant is
// closed, each Outstanding reservation is billed at its amount unless its key
// has been billed, and Spent is the minimum that stays charged in any case.
// When a claim shard is closed, Claims lists the counted claims that may not
// have reached the log yet.
type Close struct {
	Right       RightID       `cbor:"1,keyasint"`
	By          InstanceID    `cbor:"2,keyasint"`
	Spent       int64         `cbor:"3,keyasint"`
	Outstanding []Outstanding `cbor:"4,keyasint,omitempty"`
	Claims      []Claim       `cbor:"5,keyasint,omitempty"`
	// Forced marks a close by an operator, of a right whose holder is gone.
	Forced bool `cbor:"6,keyasint,omitempty"`
}

// Bill charges the tokens used by one request to a grant, at most what is left
// of the grant. The fold counts the first bill of each key and ignores bills to
// a closed grant.
type Bill struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Right  RightID    `cbor:"2,keyasint"`
	Run    RunID      `cbor:"3,keyasint"`
	Tokens int64      `cbor:"4,keyasint"`
}

// Shard makes an instance the holder of a claim shard for one epoch. It is
// valid only if Epoch is one above the shard's last epoch, and that last epoch
// is closed or has no witness. Without a witness, claims count only once they
// are on the log, so that the next epoch can begin without a close.
type Shard struct {
	Right   RightID    `cbor:"1,keyasint"`
	Zone    Zone       `cbor:"2,keyasint"`
	Shard   int        `cbor:"3,keyasint"`
	Epoch   uint64     `cbor:"4,keyasint"`
	Holder  InstanceID `cbor:"5,keyasint"`
	Witness InstanceID `cbor:"6,keyasint,omitempty"`
}

// Claim assigns one run to a request, under one epoch of a claim shard. Digest
// is a hash of the request's body, and Runner is the instance that executes the
// run.
type Claim struct {
	Key      RequestKey `cbor:"1,keyasint"`
	Digest   uint64     `cbor:"2,keyasint"`
	Run      RunID      `cbor:"3,keyasint"`
	Right    RightID    `cbor:"4,keyasint"`
	Runner   InstanceID `cbor:"5,keyasint"`
	Endpoint string     `cbor:"6,keyasint,omitempty"`
	// UnixMilli is the time of the claim by its holder's clock. It only decides
	// when the fold may forget the claim, never which run may proceed.
	UnixMilli int64 `cbor:"7,keyasint"`
	// Seq orders the claims of one right. A second claim of a key with a higher
	// Seq means that the holder has released the key in between.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// Outcome is the final outcome of a claimed request.
type Outcome uint8

// The final outcomes. OutcomeNotRun releases the request's key for another run.
const (
	OutcomeAnswered Outcome = 1
	OutcomeNotRun   Outcome = 2
	OutcomeUnknown  Outcome = 3
)

// String returns the name that the outcome has in the callers' API.
func (o Outcome) String() string {
	switch o {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// ClaimEnd records the final outcome of a claimed run.
type ClaimEnd struct {
	Key     RequestKey `cbor:"1,keyasint"`
	Run     RunID      `cbor:"2,keyasint"`
	Outcome Outcome    `cbor:"3,keyasint"`
}

// SessionOpened adds a session to the list of open sessions. The list does not
// decide whether a session is valid; the session's own token does.
type SessionOpened struct {
	Session   SessionID `cbor:"1,keyasint"`
	Team      Team      `cbor:"2,keyasint"`
	Zone      Zone      `cbor:"3,keyasint"`
	KeyID     string    `cbor:"4,keyasint"`
	UnixMilli int64     `cbor:"5,keyasint"`
}

// SessionEnded ends a session at the request of its owner.
type SessionEnded struct {
	Session SessionID `cbor:"1,keyasint"`
	Team    Team      `cbor:"2,keyasint"`
}

// ChangeOp sets or deletes the value at one path of the settings.
type ChangeOp struct {
	Path string `cbor:"1,keyasint" json:"path"`
	// Base is the version of the path that the operator has seen, 0 for a path
	// without a value. The change is refused if the path has another version.
	Base   uint64 `cbor:"2,keyasint" json:"base,omitempty"`
	Value  string `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	Delete bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
}

// Change is an operator's change of settings. Either all its operations apply
// or none.
type Change struct {
	ID        string     `cbor:"1,keyasint" json:"id"`
	By        string     `cbor:"2,keyasint" json:"by"`
	UnixMilli int64      `cbor:"3,keyasint" json:"unix_milli,omitempty"`
	Ops       []ChangeOp `cbor:"4,keyasint" json:"ops"`
	// Scope is the subtree that the change is restricted to; empty for no
	// restriction.
	Scope string `cbor:"5,keyasint,omitempty" json:"scope,omitempty"`
	// Credential is the settings path of the credential that authorized the
	// change. It must still have a value when the change is applied. It is
	// empty for a credential that is not part of the settings.
	Credential string `cbor:"6,keyasint,omitempty" json:"credential,omitempty"`
}

// Snapshot is one chunk of a fold's encoded state. Snapshots are appended
// repeatedly, each before the records that it covers age out of the log.
type Snapshot struct {
	ID string `cbor:"1,keyasint"`
	// Covers is the offset after the last record that the state includes.
	Covers uint64 `cbor:"2,keyasint"`
	// Chunk is the chunk's index, from 0 to Chunks-1.
	Chunk  int    `cbor:"3,keyasint"`
	Chunks int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
	// Sum is the xxHash64 checksum of the whole state.
	Sum uint64 `cbor:"6,keyasint"`
}

// Unknown is a record of kind Of, which this version does not know. It has no
// effect and keeps its encoded body.
type Unknown struct {
	Of   Kind
	Body []byte
}

// Kind implements Record.
func (TopUp) Kind() Kind { return KindTopUp }

// Kind implements Record.
func (Grant) Kind() Kind { return KindGrant }

// Kind implements Record.
func (Close) Kind() Kind { return KindClose }

// Kind implements Record.
func (Bill) Kind() Kind { return KindBill }

// Kind implements Record.
func (Shard) Kind() Kind { return KindShard }

// Kind implements Record.
func (Claim) Kind() Kind { return KindClaim }

// Kind implements Record.
func (ClaimEnd) Kind() Kind { return KindClaimEnd }

// Kind implements Record.
func (SessionOpened) Kind() Kind { return KindSessionOpened }

// Kind implements Record.
func (SessionEnded) Kind() Kind { return KindSessionEnded }

// Kind implements Record.
func (Change) Kind() Kind { return KindChange }

// Kind implements Record.
func (Snapshot) Kind() Kind { return KindSnapshot }

// Kind implements Record.
func (Return) Kind() Kind { return KindReturn }

// Kind implements Record.
func (u Unknown) Kind() Kind { return u.Of }
