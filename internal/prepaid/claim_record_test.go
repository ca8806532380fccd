package prepaid_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"guavapier/internal/prepaid"
)

// Budget claims are the largest part of the traffic on the log; docs/CAPACITY.md relies on this
// size.
func TestAnEncodedBudgetClaimTakesAtMost64Bytes(t *testing.T) {
	claim := prepaid.BudgetClaim{
		Team: "organisation-1", Claimed: 1_234_567, InitialBound: 1_034_567, Used: 934_567, Reserved: 10_000,
		Received: 34_567, Transferred: 12_345, Rate: 23_456, Shortfall: 4_567, GrowthRate: 46_912, LateGrowthRate: 51_234,
	}
	one, err := cbor.Marshal(prepaid.ClaimRecord{Claims: []prepaid.BudgetClaim{claim}})
	if err != nil {
		t.Fatal(err)
	}
	two, err := cbor.Marshal(prepaid.ClaimRecord{Claims: []prepaid.BudgetClaim{claim, claim}})
	if err != nil {
		t.Fatal(err)
	}
	if got := len(two) - len(one); got > 64 {
		t.Errorf("a budget claim takes %d bytes, want at most 64", got)
	} else {
		t.Logf("a budget claim takes %d bytes", got)
	}
}
