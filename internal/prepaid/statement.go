package prepaid

import (
	"time"

	"guavapier/internal/record"
)

// BudgetClaim is what a statement says of one budget, in tokens.
type BudgetClaim struct {
	Team record.Team `cbor:"1,keyasint"`
	// Claimed is the process's part of the budget, from its start on. It goes
	// below zero when tokens taken from others were given back to the log.
	Claimed int64 `cbor:"2,keyasint"`
	// InitialBound bounds what the process has used and given beyond what it took, with
	// Pace and LatePace for the time since Touched; see allowance.
	InitialBound int64 `cbor:"3,keyasint"`
	// Used is what it has used, requests in flight at their most included.
	Used int64 `cbor:"4,keyasint"`
	// Reserved is the part of Used that is set aside for requests in flight; it
	// takes fewer bytes than what ended ones have used.
	Reserved int64 `cbor:"5,keyasint,omitempty"`
	// Received and Given are what it has from and gave to other processes.
	Received    int64 `cbor:"6,keyasint,omitempty"`
	Transferred int64 `cbor:"7,keyasint,omitempty"`
	// Rate is its recent use a second.
	Rate int64 `cbor:"8,keyasint,omitempty"`
	// Shortfall is what waiting requests want beyond what it holds.
	Shortfall int64 `cbor:"9,keyasint,omitempty"`
	// GrowthRate and LatePace are tokens a second: up to LateAfter after Touched, and
	// later. A LateAfter of 0 stands for paceChanges.
	GrowthRate     int64         `cbor:"10,keyasint,omitempty"`
	LateGrowthRate int64         `cbor:"11,keyasint,omitempty"`
	LateRateAfter  time.Duration `cbor:"12,keyasint,omitempty"`
}

// isEmpty says that the process has nothing of the budget and had nothing.
func (c BudgetClaim) isEmpty() bool {
	return c.Claimed == 0 && c.Used == 0 && c.Received == 0 && c.Transferred == 0 && c.Shortfall == 0
}

// allotment is what nobody can use any more once the process is dead.
func (c BudgetClaim) allotment() int64 { return c.Claimed + c.Received - c.Transferred }

// ClockReading is a moment by the clocks of one host.
type ClockReading struct {
	// BootID and Boot are the host's boot and the time since it, time
	// suspended included.
	BootID    string        `cbor:"1,keyasint"`
	SinceBoot time.Duration `cbor:"2,keyasint"`
	// Wall is the time of day in Unix milliseconds. Corrected says that it is
	// taken back by how far the host's clock stood before the median of the
	// fleet's.
	Wall      int64 `cbor:"3,keyasint"`
	Corrected bool  `cbor:"4,keyasint,omitempty"`
}

// ClaimRecord is an instance's record.
type ClaimRecord struct {
	// Node is the instance's name and host; a later process of that node
	// has replaced this one.
	Node string `cbor:"1,keyasint"`
	// Started is when the process started, in Unix milliseconds.
	Started int64 `cbor:"2,keyasint"`
	// Sequence counts the process's statements.
	Sequence uint64 `cbor:"3,keyasint"`
	// Closed says that the process has ended and uses nothing more.
	Closed bool          `cbor:"4,keyasint,omitempty"`
	Claims []BudgetClaim `cbor:"5,keyasint"`
	// Renewed is when the log had last taken a statement of the process at the
	// time of drafting this one. From it on the allowances of the rows grow.
	Renewed ClockReading `cbor:"6,keyasint"`
	// Wall is the host's own time of day at drafting, uncorrected.
	Wall int64 `cbor:"7,keyasint"`
	// Peer is where other instances reach the process; "" for nowhere.
	Peer string `cbor:"8,keyasint,omitempty"`
	Zone string `cbor:"9,keyasint,omitempty"`
	// Member says that the process draws from its zone's allocators and claims
	// nothing. Its rate and what it is short of are theirs to state.
	Member bool `cbor:"10,keyasint,omitempty"`
}

// Identity names the process.
type Identity struct {
	Key     record.InstanceID
	Node    string
	Started int64
	Peer    string
	Zone    string
}
