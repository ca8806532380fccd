package prepaid_test

import (
	"errors"
	"fmt"
	"testing"

	"guavapier/internal/prepaid"
	"guavapier/internal/record"
)

// BenchmarkRefusalAmong81Instances is a refused request at an instance of a
// fleet of 81 with 24 organisations. It took 56 us (70 ns now) while each one read all
// statements against each other, and an instance of a fifth of a core that got a
// busy organisation's flood answered nothing in time.
func BenchmarkRefusalAmong81Instances(b *testing.B) {
	book := prepaid.NewBook(prepaid.Identity{Key: "self", Node: "self"}, prepaid.DefaultPolicy(), hostClocks())
	totals := map[record.Team]int64{}
	var rows []prepaid.Row
	for i := range 24 {
		name := record.Team(fmt.Sprintf("organisation-%d", i))
		totals[name] = 1000
		rows = append(rows, prepaid.Row{Team: name, Claimed: 10, Settled: 9, Used: 10})
	}
	book.SetPrepaid(totals)
	for i := range 80 {
		node := fmt.Sprintf("node-%d", i)
		book.Apply(record.InstanceID(node), &prepaid.Statement{Node: node, Started: 1, Peer: node, Rows: rows}, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := book.Reserve("organisation-7", 250, 0); !errors.Is(err, prepaid.ErrShort) {
			b.Fatal(err)
		}
		book.Findable("organisation-7")
	}
}
