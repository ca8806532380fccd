package prepaid_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// TestAfterALossOfAllFewReadTheLog has all instances of a zone killed and started again
// under new identities. Their members must get tokens without a look at the log, which
// hundreds would keep from each other, and give back what their predecessors held.
func TestAfterALossOfAllFewReadTheLog(t *testing.T) {
	const instances = 12
	log := standin.NewKeyed()
	keepers, stops := runPool(t, log, instances)
	for _, k := range keepers {
		waitFor(t, "tokens", func() bool {
			r, err := k.Reserve(t.Context(), team, 800)
			if err == nil {
				r.Settle(300)
			}
			return err == nil
		})
	}
	waitFor(t, "statements of all", func() bool { return statedUse(t, log) >= instances*300 })
	for _, stop := range stops {
		stop()
	}
	before := log.NewestReads(logstore.TopicBudgets)
	var again []*prepaid.Keeper
	for i := range instances {
		k, _ := runKeeperAgain(t, log, fmt.Sprint("k", i))
		again = append(again, k)
	}
	for _, k := range again {
		waitFor(t, "tokens after the loss", func() bool {
			r, err := k.Reserve(t.Context(), team, 500)
			if err == nil {
				r.Settle(500)
			}
			return err == nil
		})
	}
	if reads := log.NewestReads(logstore.TopicBudgets) - before; reads > 2*allocator.SlotsPerZone {
		t.Errorf("the log was read whole %d times by %d instances", reads, instances)
	}
	waitFor(t, "members that know their predecessors", func() bool {
		given := 0
		for _, k := range again {
			if k.Reclaimed() > 0 {
				given++
			}
		}
		return given > 0
	})
}

// statedUse is what all statements on the log say is used.
func statedUse(t *testing.T, log *standin.Keyed) (sum int64) {
	t.Helper()
	page, err := log.Newest(t.Context(), logstore.TopicBudgets)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		var s prepaid.Statement
		if err := cbor.Unmarshal(r.Value, &s); err != nil {
			t.Fatal(err)
		}
		for _, row := range s.Rows {
			sum += row.Used
		}
	}
	return sum
}

// runKeeperAgain starts a later process of a host.
func runKeeperAgain(t *testing.T, log *standin.Keyed, node string) (*prepaid.Keeper, func()) {
	t.Helper()
	time.Sleep(2 * time.Millisecond) // Starts are told apart by the millisecond.
	return runKeeperOn(t, log, record.InstanceID(node+".again"), node, 100_000, pooledPolicy())
}
