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

// TestAfterALossOfAllFewReadTheLog kills all instances of a zone and restarts them under new
// identities. Members must obtain tokens without reading the log, because hundreds of readers
// would delay each other, and must reclaim what their predecessors held.
func TestAfterALossOfAllFewReadTheLog(t *testing.T) {
	const instances = 12
	log := standin.NewKeyed()
	controllers, stops := runZone(t, log, instances)
	for _, c := range controllers {
		waitFor(t, "tokens", func() bool {
			r, err := c.Reserve(t.Context(), team, 800)
			if err == nil {
				r.Settle(300)
			}
			return err == nil
		})
	}
	waitFor(t, "records of all instances", func() bool { return publishedUse(t, log) >= instances*300 })
	for _, stop := range stops {
		stop()
	}
	before := log.NewestReads(logstore.TopicBudgets)
	var restarted []*prepaid.Controller
	for i := range instances {
		c, _ := restartController(t, log, fmt.Sprint("k", i))
		restarted = append(restarted, c)
	}
	for _, c := range restarted {
		waitFor(t, "tokens after the loss", func() bool {
			r, err := c.Reserve(t.Context(), team, 500)
			if err == nil {
				r.Settle(500)
			}
			return err == nil
		})
	}
	if reads := log.NewestReads(logstore.TopicBudgets) - before; reads > 2*allocator.SlotsPerZone {
		t.Errorf("the newest records were read %d times by %d instances", reads, instances)
	}
	waitFor(t, "members that know their predecessors", func() bool {
		reclaiming := 0
		for _, c := range restarted {
			if c.ReclaimedTokens() > 0 {
				reclaiming++
			}
		}
		return reclaiming > 0
	})
}

// publishedUse returns the sum of used tokens in all records on the log.
func publishedUse(t *testing.T, log *standin.Keyed) (sum int64) {
	t.Helper()
	page, err := log.Newest(t.Context(), logstore.TopicBudgets)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Records {
		var s prepaid.ClaimRecord
		if err := cbor.Unmarshal(r.Value, &s); err != nil {
			t.Fatal(err)
		}
		for _, claim := range s.Claims {
			sum += claim.Used
		}
	}
	return sum
}

// restartController starts a later process of a host.
func restartController(t *testing.T, log *standin.Keyed, node string) (*prepaid.Controller, func()) {
	t.Helper()
	time.Sleep(2 * time.Millisecond) // Start times have a resolution of one millisecond.
	return runControllerOnHost(t, log, record.InstanceID(node+".again"), node, 100_000, allocatorPolicy())
}
