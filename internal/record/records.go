package record

// Kind tells the type of a record on the log. Numbers are never reused.
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

// TopUp adds prepaid tokens to a budget; the first one creates the budget.
// Its own ID makes it idempotent: the fold counts each ID once.
type TopUp struct {
	Budget BudgetID `cbor:"1,keyasint"`
	ID     string   `cbor:"2,keyasint"`
	Tokens int64    `cbor:"3,keyasint"`
	By     string   `cbor:"4,keyasint,omitempty"`
}

// Grant reserves part of a budget for one holder. The fold voids a grant that
// would raise the committed sum above the prepaid sum.
type Grant struct {
	Right   RightID    `cbor:"1,keyasint"`
	Budget  BudgetID   `cbor:"2,keyasint"`
	Tokens  int64      `cbor:"3,keyasint"`
	Holder  InstanceID `cbor:"4,keyasint"`
	Witness InstanceID `cbor:"5,keyasint,omitempty"`
	Zone    Zone       `cbor:"6,keyasint"`
}

// Return gives part of an open grant back to its budget. Only the holder may
// do so, after it has taken the tokens out of what it reserves from. Seq counts
// the returns of one right from 1, so that a late copy has no effect.
type Return struct {
	Right  RightID    `cbor:"1,keyasint"`
	By     InstanceID `cbor:"2,keyasint"`
	Seq    uint64     `cbor:"3,keyasint"`
	Tokens int64      `cbor:"4,keyasint"`
}

// Outstanding is a reservation whose final usage the closer does not know.
type Outstanding struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Run    RunID      `cbor:"2,keyasint"`
	Tokens int64      `cbor:"3,keyasint"`
}

// Close ends a right. The first close in log order wins. For a grant, each
// Outstanding reservation becomes a bill of its amount unless its key has one,
// and Spent is the least sum that stays charged whatever was billed. For a
// claim shard, Claims are the counted claims that may not have reached the log
// yet.
type Close struct {
	Right       RightID       `cbor:"1,keyasint"`
	By          InstanceID    `cbor:"2,keyasint"`
	Spent       int64         `cbor:"3,keyasint"`
	Outstanding []Outstanding `cbor:"4,keyasint,omitempty"`
	Claims      []Claim       `cbor:"5,keyasint,omitempty"`
	// Forced marks an operator's close of a right whose holder is gone.
	Forced bool `cbor:"6,keyasint,omitempty"`
}

// Bill charges one request's tokens to a grant, at most what is left of the
// grant. The fold counts the first bill of each key and ignores bills to a
// closed grant.
type Bill struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Right  RightID    `cbor:"2,keyasint"`
	Run    RunID      `cbor:"3,keyasint"`
	Tokens int64      `cbor:"4,keyasint"`
}

// Shard makes an instance the holder of a claim shard for one epoch. It is
// valid only if Epoch is the shard's last epoch plus one, and that last epoch
// is closed or had no witness: then its claims count by the log alone.
type Shard struct {
	Right   RightID    `cbor:"1,keyasint"`
	Zone    Zone       `cbor:"2,keyasint"`
	Shard   int        `cbor:"3,keyasint"`
	Epoch   uint64     `cbor:"4,keyasint"`
	Holder  InstanceID `cbor:"5,keyasint"`
	Witness InstanceID `cbor:"6,keyasint,omitempty"`
}

// Claim says that a request has been given one run under a shard's epoch.
type Claim struct {
	Key      RequestKey `cbor:"1,keyasint"`
	Digest   uint64     `cbor:"2,keyasint"`
	Run      RunID      `cbor:"3,keyasint"`
	Right    RightID    `cbor:"4,keyasint"`
	Runner   InstanceID `cbor:"5,keyasint"`
	Endpoint string     `cbor:"6,keyasint,omitempty"`
	// UnixMilli is the time of the claim by its holder's clock. It decides
	// only when the fold may forget the claim, never who may run.
	UnixMilli int64 `cbor:"7,keyasint"`
	// Seq orders the claims of one right. A later one of the same key says
	// that the holder has freed the key in between.
	Seq uint64 `cbor:"8,keyasint,omitempty"`
}

// Outcome is the final outcome of a request.
type Outcome uint8

// The three final outcomes.
const (
	OutcomeAnswered Outcome = 1
	OutcomeNotRun   Outcome = 2
	OutcomeUnknown  Outcome = 3
)

// String returns the outcome's name on the callers' interface.
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

// SessionOpened lists a session. Validity rests on the session's own token.
type SessionOpened struct {
	Session   SessionID `cbor:"1,keyasint"`
	Team      Team      `cbor:"2,keyasint"`
	Zone      Zone      `cbor:"3,keyasint"`
	KeyID     string    `cbor:"4,keyasint"`
	UnixMilli int64     `cbor:"5,keyasint"`
}

// SessionEnded ends a session by its owner's word.
type SessionEnded struct {
	Session SessionID `cbor:"1,keyasint"`
	Team    Team      `cbor:"2,keyasint"`
}

// ChangeOp sets or deletes the value at one path.
type ChangeOp struct {
	Path string `cbor:"1,keyasint" json:"path"`
	// Base is the path's version that the operator saw; 0 for none.
	Base   uint64 `cbor:"2,keyasint" json:"base,omitempty"`
	Value  string `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	Delete bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
}

// Change is an operator's settings change. All its operations apply or none.
type Change struct {
	ID        string     `cbor:"1,keyasint" json:"id"`
	By        string     `cbor:"2,keyasint" json:"by"`
	UnixMilli int64      `cbor:"3,keyasint" json:"unix_milli,omitempty"`
	Ops       []ChangeOp `cbor:"4,keyasint" json:"ops"`
	// Scope is the subtree that the change may touch; empty for all.
	Scope string `cbor:"5,keyasint,omitempty" json:"scope,omitempty"`
	// Credential is the path that must still stand when the change is
	// applied; empty where the credential does not stand in the settings.
	Credential string `cbor:"6,keyasint,omitempty" json:"credential,omitempty"`
}

// Snapshot is one chunk of a fold's state, appended anew before the records
// it covers age out.
type Snapshot struct {
	ID string `cbor:"1,keyasint"`
	// Covers is the offset after the last record in the snapshot.
	Covers uint64 `cbor:"2,keyasint"`
	Chunk  int    `cbor:"3,keyasint"`
	Chunks int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
	Sum    uint64 `cbor:"6,keyasint"`
}

// Unknown is a record of a kind that this version does not know. It is kept
// as it is and has no effect.
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
