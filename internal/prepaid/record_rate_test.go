package prepaid_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// newLargeFleet returns the accounts of one instance that has read records of that many others.
func newLargeFleet(others int, now time.Duration) *prepaid.Accounts {
	b := prepaid.NewAccounts(prepaid.Identity{Key: "self", Node: "self", Started: 1}, prepaid.DefaultPolicy(), hostClocks())
	b.SetPrepaid(map[record.Team]int64{team: 1 << 40})
	for n := range others {
		key := fmt.Sprint("other-", n)
		b.Apply(record.InstanceID(key), &prepaid.ClaimRecord{Node: key, Started: 1, Sequence: 1}, now)
	}
	b.MarkCaughtUp(now)
	return b
}

// countRecords simulates one second of requests in steps of 5 ms and returns the number of
// records prepared. If waiting is set, a request lacks tokens all the time.
func countRecords(b *prepaid.Accounts, waiting bool) (count int) {
	if waiting {
		b.AddShortfall(team, 1<<30)
	}
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		if s := b.NextRecord(now); s != nil {
			count++
			b.MarkAcknowledged(s, now)
			b.Apply("self", s, now)
		}
		if waiting {
			b.AddShortfall(team, 1<<30)
		}
		if b.Reserve(team, 10, now) == nil {
			b.Settle(team, 10, 10)
		}
	}
	return count
}

// Each instance reads the records of all others. The records of the whole fleet must not grow in
// proportion to its size.
func TestRecordsPublishedInALargeFleetAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		others   int
		waiting  bool
		minOwn   int
		maxByAll int // Limit for the records of all instances in the second.
	}{
		"small":                  {others: 7, minOwn: 5, maxByAll: 8 * 7},
		"large":                  {others: 69, minOwn: 1, maxByAll: 140},
		"small, requests wait":   {others: 7, waiting: true, minOwn: 50, maxByAll: 8 * 200},
		"large, requests wait":   {others: 69, waiting: true, minOwn: 3, maxByAll: 350},
		"hundreds, few requests": {others: 299, minOwn: 1, maxByAll: 310},
	} {
		t.Run(name, func(t *testing.T) {
			n := countRecords(newLargeFleet(c.others, 0), c.waiting)
			if n < c.minOwn || n*(c.others+1) > c.maxByAll {
				t.Fatalf("%d records in a second, %d by all instances; want at least %d, at most %d by all", n, n*(c.others+1), c.minOwn, c.maxByAll)
			}
		})
	}
}
