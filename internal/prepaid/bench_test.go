package prepaid_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// BenchmarkRefusalAmong81Instances measures a refused request in a fleet of 81 instances with 24
// organisations. Comparing the records of all instances for each refusal takes 56 us instead of
// 70 ns; an instance with a fifth of a core then answers nothing in time while a busy
// organisation floods it.
func BenchmarkRefusalAmong81Instances(b *testing.B) {
	accounts, _ := largeFleet()
	b.ReportAllocs()
	for b.Loop() {
		if err := accounts.Reserve("organisation-7", 250, 0); !errors.Is(err, prepaid.ErrInsufficient) {
			b.Fatal(err)
		}
		accounts.MayFindTokens("organisation-7")
	}
}

// BenchmarkNoRecordDueAmong81Instances measures a check for a due record too soon after the last
// one, while a request waits. Each waiting request triggers it on every change. Preparing the
// claims before the check of the interval takes 258 us instead of 4.4 us.
func BenchmarkNoRecordDueAmong81Instances(b *testing.B) {
	accounts, claims := largeFleet()
	accounts.AddShortfall("organisation-7", 250)
	s := accounts.NextRecord(0)
	accounts.MarkAcknowledged(s, 0)
	accounts.Apply("self", s, 0)
	b.ReportAllocs()
	for b.Loop() {
		accounts.Apply("node-1", &prepaid.ClaimRecord{Node: "node-1", Started: 1, Peer: "node-1", Claims: claims}, 0)
		if accounts.NextRecord(time.Millisecond) != nil {
			b.Fatal("record prepared before the interval has passed")
		}
	}
}

// BenchmarkNextRecordAmong81Instances measures the preparation of a record, which takes 133 us
// with one pass over all claims and 266 us with one pass per budget.
func BenchmarkNextRecordAmong81Instances(b *testing.B) {
	accounts, claims := largeFleet()
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 2 * time.Second
		accounts.Apply("node-1", &prepaid.ClaimRecord{Node: "node-1", Started: 1, Peer: "node-1", Claims: claims}, now)
		s := accounts.NextRecord(now)
		if s == nil {
			b.Fatal("no record prepared")
		}
		accounts.MarkAcknowledged(s, now)
		accounts.Apply("self", s, now)
	}
}

// largeFleet returns the accounts of one of 81 instances with 24 organisations, and the claims in
// the record of each other instance.
func largeFleet() (*prepaid.Accounts, []prepaid.BudgetClaim) {
	accounts := prepaid.NewAccounts(prepaid.Identity{Key: "self", Node: "self"}, prepaid.DefaultPolicy(), hostClocks())
	totals := map[record.Team]int64{}
	var claims []prepaid.BudgetClaim
	for i := range 24 {
		name := record.Team(fmt.Sprintf("organisation-%d", i))
		totals[name] = 1000
		claims = append(claims, prepaid.BudgetClaim{Team: name, Claimed: 10, Reserved: 1, Used: 10})
	}
	accounts.SetPrepaid(totals)
	for i := range 80 {
		node := fmt.Sprintf("node-%d", i)
		accounts.Apply(record.InstanceID(node), &prepaid.ClaimRecord{Node: node, Started: 1, Peer: node, Claims: claims}, 0)
	}
	return accounts, claims
}
