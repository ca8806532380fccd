package origin

import (
	"testing"
	"time"
)

var v1, v2 = Origin{"s", "v1"}, Origin{"s", "v2"}

func TestARecordLastsForItsLifetime(t *testing.T) {
	table := NewTable()
	table.Put(Record{7, v1, 10 * time.Second}, time.Second)
	if got, found := table.Find(7, 10*time.Second); !found || got != v1 {
		t.Errorf("%v, %t", got, found)
	}
	if _, found := table.Find(7, 11*time.Second); found {
		t.Error("found after its lifetime")
	}
	table.Sweep(11 * time.Second)
	if table.Len() != 0 {
		t.Errorf("%d records, want 0", table.Len())
	}
}

func TestALaterTryExtendsARecord(t *testing.T) {
	table := NewTable()
	table.Put(Record{7, v1, 10 * time.Second}, 0)
	table.Put(Record{7, v1, 10 * time.Second}, 8*time.Second)
	table.Put(Record{7, v1, time.Second}, 9*time.Second)
	if got, found := table.Find(7, 17*time.Second); !found || got != v1 {
		t.Errorf("%v, %t", got, found)
	}
}

func TestContradictoryRecordsMakeTheOriginAmbiguous(t *testing.T) {
	table := NewTable()
	table.Put(Record{7, v1, 10 * time.Second}, 0)
	table.Put(Record{7, v2, 10 * time.Second}, 0)
	table.Put(Record{7, v1, 10 * time.Second}, 0)
	if got, found := table.Find(7, time.Second); !found || got != (Origin{}) {
		t.Errorf("%v, %t; want a record of no origin", got, found)
	}
}

func TestAFullTableTakesNoNewStream(t *testing.T) {
	table := NewTable()
	for id := range StreamID(maxRecords) {
		table.Put(Record{id, v1, time.Second}, 0)
	}
	if table.Put(Record{maxRecords, v1, time.Second}, 0) {
		t.Error("a record beyond the limit was taken")
	}
	if !table.Put(Record{0, v1, time.Minute}, 0) {
		t.Error("a known stream's record was not extended")
	}
}

func TestStreamsOfTwoOrganisationsDiffer(t *testing.T) {
	if NewStreamID("a", "r") == NewStreamID("b", "r") || NewStreamID("a", "br") == NewStreamID("ab", "r") {
		t.Error("same ID for streams of different organisations")
	}
}
