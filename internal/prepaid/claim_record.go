package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// BudgetClaim is the part of a claim record that concerns one budget. All amounts
// are tokens.
type BudgetClaim struct {
	Team record.Team `cbor:"1,keyasint"`
	// Claimed is the cumulative amount that the process claims of the budget since
	// its start. It becomes negative when tokens received from other processes were
	// returned to the log.
	Claimed int64 `cbor:"2,keyasint"`
	// InitialBound limits Used + Transferred - Received at the time Renewed of the
	// record. From then on the limit grows at GrowthRate and LateGrowthRate; see
	// spendingBound.
	InitialBound int64 `cbor:"3,keyasint"`
	// Used is what requests have used, including Reserved.
	Used int64 `cbor:"4,keyasint"`
	// Reserved is the part of Used that is set aside for requests in flight, each
	// with its maximum. Encoding it rather than the settled use takes fewer bytes.
	Reserved int64 `cbor:"5,keyasint,omitempty"`
	// Received and Transferred are the cumulative amounts received from and
	// transferred to other processes.
	Received    int64 `cbor:"6,keyasint,omitempty"`
	Transferred int64 `cbor:"7,keyasint,omitempty"`
	// Rate is the recent use in tokens per second.
	Rate int64 `cbor:"8,keyasint,omitempty"`
	// Shortfall is what waiting requests need.
	Shortfall int64 `cbor:"9,keyasint,omitempty"`
	// GrowthRate and LateGrowthRate are tokens per second: GrowthRate applies until
	// LateRateAfter has passed since Renewed, LateGrowthRate afterwards. A
	// LateRateAfter of 0 stands for defaultLateRateAfter. Records of earlier versions set
	// GrowthRate; this version leaves it 0.
	GrowthRate     int64         `cbor:"10,keyasint,omitempty"`
	LateGrowthRate int64         `cbor:"11,keyasint,omitempty"`
	LateRateAfter  time.Duration `cbor:"12,keyasint,omitempty"`
}

// isEmpty reports whether the process has no share in the budget and never had one.
func (c BudgetClaim) isEmpty() bool {
	return c.Claimed == 0 && c.Used == 0 && c.Received == 0 && c.Transferred == 0 && c.Shortfall == 0
}

// allotment is the total allotted to the process, used tokens included. Nobody else can
// use it; once the process is dead, it is lost unless reclaimed.
func (c BudgetClaim) allotment() int64 { return c.Claimed + c.Received - c.Transferred }

// claimConsumed is the part of the claim that the process had consumed; see account.claimConsumed.
func (c BudgetClaim) claimConsumed() int64 { return c.Used + c.Transferred - c.Received }

// ClockReading is a point in time by the clocks of one host.
type ClockReading struct {
	// BootID identifies the boot of the host. SinceBoot is the time since that boot,
	// including time suspended.
	BootID    string        `cbor:"1,keyasint"`
	SinceBoot time.Duration `cbor:"2,keyasint"`
	// Wall is the time of day in Unix milliseconds. If Corrected is set, the host's
	// offset from the fleet's median clock has been subtracted from it.
	Wall      int64 `cbor:"3,keyasint"`
	Corrected bool  `cbor:"4,keyasint,omitempty"`
}

// ClaimRecord is the record that a process publishes on the log about its claims on all
// budgets. Each record replaces the previous one of the process.
type ClaimRecord struct {
	// Node is the instance's name and host. A process of the same node that started
	// later has replaced this one.
	Node string `cbor:"1,keyasint"`
	// Started is the start time of the process in Unix milliseconds.
	Started int64 `cbor:"2,keyasint"`
	// Sequence numbers the records of the process from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Closed states that the process has ended and uses no more tokens.
	Closed bool          `cbor:"4,keyasint,omitempty"`
	Claims []BudgetClaim `cbor:"5,keyasint"`
	// Renewed is the time of the last renewal known when this record was prepared:
	// the log's last acknowledgement of a record of the process. The spending bounds
	// of the claims grow from then on.
	Renewed ClockReading `cbor:"6,keyasint"`
	// Wall is the host's own time of day when the record was prepared, uncorrected, in
	// Unix milliseconds.
	Wall int64 `cbor:"7,keyasint"`
	// Peer is the address at which other instances reach the process; "" if none.
	Peer string `cbor:"8,keyasint,omitempty"`
	Zone string `cbor:"9,keyasint,omitempty"`
	// Member states that the process withdraws from its zone's allocators and claims
	// nothing. Its rate and shortfall are then contained in those of the allocators.
	Member bool `cbor:"10,keyasint,omitempty"`
}

// Identity identifies the process. The fields are those of ClaimRecord; Key is the
// key of its records on the log.
type Identity struct {
	Key     record.InstanceID
	Node    string
	Started int64
	Peer    string
	Zone    string
}
