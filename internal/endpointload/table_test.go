package endpointload_test

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/endpointload"
)

// Keys of the tests' endpoints.
var keyA, keyB = endpointload.KeyOf("a", 1), endpointload.KeyOf("b", 1)

// statement returns the statement with this sequence number of a process of an instance that has
// n requests at the endpoint of the key.
func statement(name string, started int64, seq uint64, key endpointload.Key, n int) endpointload.Statement {
	load := endpointload.Load{Requests: n, Waiting: n / 2, Prefill: time.Duration(n) * time.Millisecond, Tokens: int64(n) * 100}
	return endpointload.Statement{
		Sender: endpointload.Sender{Name: name, Started: started, Seq: seq}, Loads: endpointload.LoadList{{Key: key, Load: load}},
	}
}

// requests returns the requests by endpoint that a member is told of all others.
func requests(t *endpointload.Table, asker string, now time.Duration) map[endpointload.Key]int {
	byKey := map[endpointload.Key]int{}
	for _, l := range t.Others(asker, now) {
		byKey[l.Key] = l.Requests
	}
	return byKey
}

// expectRequests fails unless a member is told these requests.
func expectRequests(t *testing.T, table *endpointload.Table, asker string, now time.Duration, want map[endpointload.Key]int) {
	t.Helper()
	if got := requests(table, asker, now); !maps.Equal(got, want) {
		t.Errorf("%s is told %v at %s, want %v", asker, got, now, want)
	}
}

// Two instances that don't know each other are each told the other's load and not their own.
func TestMembersAreToldTheLoadsOfAllOthers(t *testing.T) {
	table := endpointload.NewTable()
	table.TellMember(statement("one", 1, 1, keyA, 4), time.Second)
	table.TellMember(statement("two", 1, 1, keyA, 6), time.Second)
	table.TellPart("z", statement("collector", 1, 1, keyB, 7), time.Second)
	expectRequests(t, table, "one", time.Second, map[endpointload.Key]int{keyA: 6, keyB: 7})
	expectRequests(t, table, "two", time.Second, map[endpointload.Key]int{keyA: 4, keyB: 7})
	if part, _ := table.Part(time.Second); len(part) != 1 || part[0].Requests != 10 {
		t.Errorf("the part is %v, want the 10 requests of the members", part)
	}
}

func TestSilentInstancesDropOutOfTheSums(t *testing.T) {
	table := endpointload.NewTable()
	table.TellMember(statement("one", 1, 1, keyA, 4), time.Second)
	table.TellPart("z", statement("collector", 1, 1, keyA, 7), 1500*time.Millisecond)
	expectRequests(t, table, "two", 2*time.Second, map[endpointload.Key]int{keyA: 11})
	expectRequests(t, table, "two", 2100*time.Millisecond, map[endpointload.Key]int{keyA: 7})
	expectRequests(t, table, "two", 2600*time.Millisecond, map[endpointload.Key]int{})
	if size := table.Size(); size != (endpointload.Size{}) {
		t.Errorf("the table has %+v after all have fallen silent", size)
	}
}

// A statement that is late or doubled changes nothing, and doesn't keep its instance alive.
func TestLateAndDoubledStatementsAreIgnored(t *testing.T) {
	table := endpointload.NewTable()
	table.TellMember(statement("one", 1, 2, keyA, 4), time.Second)
	for _, s := range []endpointload.Statement{statement("one", 1, 2, keyA, 4), statement("one", 1, 1, keyB, 9)} {
		if table.TellMember(s, 1900*time.Millisecond) {
			t.Errorf("statement %+v was taken after number 2", s.Sender)
		}
	}
	expectRequests(t, table, "two", 1950*time.Millisecond, map[endpointload.Key]int{keyA: 4})
	expectRequests(t, table, "two", 2050*time.Millisecond, map[endpointload.Key]int{})
}

// A restarted process replaces what the one before it told, of which a late message is ignored.
func TestARestartedInstanceReplacesItsPredecessor(t *testing.T) {
	table := endpointload.NewTable()
	table.TellMember(statement("one", 1, 900, keyA, 4), time.Second)
	table.TellMember(statement("one", 2, 1, keyB, 2), time.Second)
	table.TellMember(statement("one", 1, 901, keyA, 5), time.Second)
	expectRequests(t, table, "two", time.Second, map[endpointload.Key]int{keyB: 2})
}

// The load of an endpoint's last incarnation is not told under the key of the new one.
func TestAnEndpointBornAgainHasAnotherKey(t *testing.T) {
	reborn := endpointload.KeyOf("a", 2)
	table := endpointload.NewTable()
	table.TellMember(statement("one", 1, 1, keyA, 4), time.Second)
	table.TellMember(statement("two", 1, 1, reborn, 1), time.Second)
	expectRequests(t, table, "three", time.Second, map[endpointload.Key]int{keyA: 4, reborn: 1})
	if reborn == keyA {
		t.Error("both incarnations have one key")
	}
}

// Whatever the order of statements, doubled ones and pauses, the sum is that of the newest
// statements of the instances that are not silent.
func TestSumsAreThoseOfTheNewestStatements(t *testing.T) {
	type last struct {
		seq uint64
		at  time.Duration
		n   int
	}
	rapid.Check(t, func(t *rapid.T) {
		table, known := endpointload.NewTable(), map[string]last{}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "statements") {
			now += rapid.SampledFrom([]time.Duration{0, 150 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "pause")
			maps.DeleteFunc(known, func(_ string, l last) bool { return now-l.at > time.Second })
			name := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "name")
			seq, n := rapid.Uint64Range(1, 8).Draw(t, "seq"), rapid.IntRange(0, 5).Draw(t, "requests")
			table.TellMember(statement(name, 1, seq, keyA, n), now)
			if seq > known[name].seq {
				known[name] = last{seq, now, n}
			}
			want := 0
			for _, l := range known {
				want += l.n
			}
			if got := requests(table, "asker", now)[keyA]; got != want {
				t.Fatalf("at %s the sum is %d, want %d", now, got, want)
			}
		}
	})
}

func TestLinksAreThoseOfTheOwnZone(t *testing.T) {
	table := endpointload.NewTable()
	if links := table.Links("z", time.Second); links.Known {
		t.Errorf("without statements the links are %+v", links)
	}
	full := endpointload.Statement{Sender: endpointload.Sender{Name: "one", Started: 1, Seq: 1}, Links: endpointload.LinkSum{Load: 0.9, Instances: 1, Shedding: 1}}
	two := endpointload.Statement{Sender: endpointload.Sender{Name: "two", Started: 1, Seq: 1}, Links: endpointload.LinkSum{Load: 0.6, Instances: 2}}
	table.TellMember(full, time.Second)
	table.TellPart("z", two, time.Second)
	two.Sender.Name = "other"
	table.TellPart("other zone", two, time.Second)
	if links := table.Links("z", time.Second); links != (endpointload.ZoneLinks{Mean: 0.5, Instances: 3, Shedding: 1, Known: true}) {
		t.Errorf("the zone's links are %+v", links)
	}
}

// Each instance gets the samples of the others once, from its second call on, and a part only
// those of the members.
func TestSamplesAreToldOnce(t *testing.T) {
	table, now := endpointload.NewTable(), time.Second
	_, _, version := table.News(0, "one", false, now)
	s := statement("two", 1, 1, keyA, 1)
	s.Samples = endpointload.SampleList{{Key: keyA, Tokens: 500, TTFT: 40 * time.Millisecond}}
	table.TellMember(s, now)
	s.Sender.Name = "collector"
	table.TellPart("z", s, now)
	own, _, _ := table.News(version, "collector", true, now)
	samples, _, next := table.News(version, "one", false, now)
	again, _, _ := table.News(next, "one", false, now)
	first, _, _ := table.News(0, "new", false, now)
	if len(samples) != 2 || len(own) != 1 || len(again) != 0 || len(first) != 0 {
		t.Errorf("told %d samples, %d in a part, %d again, %d at the first call; want 2, 1, 0, 0", len(samples), len(own), len(again), len(first))
	}
}

func TestSamplesOfAMessageAreBounded(t *testing.T) {
	table := endpointload.NewTable()
	s := statement("two", 1, 1, keyA, 1)
	s.Samples = make(endpointload.SampleList, 2000)
	table.TellMember(s, time.Second)
	if samples, _, _ := table.News(1, "one", false, time.Second); len(samples) == 0 || len(samples) > 100 {
		t.Errorf("told %d samples at once", len(samples))
	}
}

// Of several reports of an endpoint the newest is told, with its age, until it is too old.
func TestTheNewestReportIsTold(t *testing.T) {
	table, now := endpointload.NewTable(), 10*time.Second
	report := func(running int, age time.Duration) endpointload.ReportList {
		return endpointload.ReportList{{Key: keyA, Report: endpointload.Report{Running: running, Age: age}}}
	}
	table.AddReports(report(3, 100*time.Millisecond), now)
	s := statement("collector", 1, 1, keyB, 1)
	s.Reports = report(9, 500*time.Millisecond)
	table.TellPart("z", s, now)
	_, got, _ := table.News(0, "one", false, now+time.Second)
	if want := report(3, 1100*time.Millisecond); !reflect.DeepEqual(got, want) {
		t.Errorf("told %v, want %v", got, want)
	}
	if _, got, _ = table.News(0, "one", false, now+4*time.Second); len(got) > 0 {
		t.Errorf("told %v after 4 s", got)
	}
}

// BenchmarkExchange measures what one exchange costs a collector, with the encoding of both
// messages: a statement is taken and the sums are told. Half of the zone's instances are its
// members, and each has requests at a tenth of the endpoints.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct{ instances, zones, endpoints int }{{58, 3, 63}, {91, 4, 145}, {413, 3, 640}} {
		b.Run(fmt.Sprint(size.instances), func(b *testing.B) {
			table, now := endpointload.NewTable(), time.Second
			var statements [][]byte
			members := size.instances / size.zones / 2
			for m := range members {
				var list endpointload.LoadList
				for e := range size.endpoints/10 + 1 {
					list = append(list, endpointload.KeyedLoad{Key: endpointload.KeyOf("e", int64((m*7+e*9)%size.endpoints)), Load: endpointload.Load{Requests: 3, Waiting: 1, Prefill: 40 * time.Millisecond, Tokens: 20_000}})
				}
				data, _ := list.MarshalBinary()
				statements = append(statements, data)
			}
			told, read := 0, 0
			for n := 0; b.Loop(); n++ {
				m := n % members
				s := endpointload.Statement{Sender: endpointload.Sender{Name: fmt.Sprint(m), Started: 1, Seq: uint64(n + 1)}}
				_ = s.Loads.UnmarshalBinary(statements[m])
				table.TellMember(s, now)
				data, _ := table.Others(s.Sender.Name, now).MarshalBinary()
				told, read = told+len(data), read+len(statements[m])
			}
			b.ReportMetric(float64(told)/float64(b.N), "B-told")
			b.ReportMetric(float64(read)/float64(b.N), "B-read")
		})
	}
}
