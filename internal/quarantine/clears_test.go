package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavapier/internal/logstore"
	"guavapier/internal/standin"
)

// wantKnown checks which of the instances have an entry for the part: all or none.
func wantKnown(t *testing.T, syncers []*Syncer, part string, want bool, when string) {
	t.Helper()
	for i, s := range syncers {
		if known := len(s.Table.lookup(promptContent(9, part))) > 0; known != want {
			t.Errorf("%s part %q is known at instance %d: %v, want %v", when, part, i, known, want)
		}
	}
}

// Guards against a sound part that is suspected at each crash, since the instances that have not
// answered it tell the others of its crashes again.
func TestAPartClearedWhileTheLogIsUnavailableStaysCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		syncers := startZone(t, log, 4, "")
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		for i := range 2 {
			syncers[i].Broke(t.Context(), promptContent(i, "a", "bad"), Endpoint{ID: fmt.Sprint("e", i), Address: "address"}, time.Millisecond)
			time.Sleep(5 * time.Second)
		}
		wantKnown(t, syncers, "a", true, "after two crashes")
		syncers[2].Answered(promptContent(8, "a"), Endpoint{ID: "sound", Address: "address"})
		for range 20 {
			time.Sleep(time.Second)
			wantKnown(t, syncers[2:3], "a", false, "after its answer")
		}
		wantKnown(t, syncers, "a", false, "long after its answer")
		wantKnown(t, syncers, "bad", true, "after the other part's answer")

		syncers[3].Broke(t.Context(), promptContent(10, "a"), Endpoint{ID: "e9", Address: "address"}, time.Millisecond)
		time.Sleep(5 * time.Second)
		wantKnown(t, syncers, "a", true, "after a new crash")
		for i, s := range syncers {
			if v := s.Table.verdictOn(promptContent(11, "a"), time.Now()); v.kind != verdictAdmit {
				t.Errorf("verdict of instance %d after one new crash is %+v, want that the request is admitted", i, v)
			}
		}
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		wantKnown(t, syncers, "a", true, "after the log has recovered")
		wantKnown(t, syncers, "bad", true, "after the log has recovered")
	})
}

// The log has a record of a part that was cleared while the log was unavailable. Every instance
// had it.
func TestAPartClearedWhileTheLogIsUnavailableIsClearedOnTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewKeyed()
		syncers := startZone(t, log, 3, "")
		c := promptContent(1, "a")
		syncers[0].Broke(t.Context(), c, Endpoint{ID: "e1", Address: "address"}, time.Millisecond)
		time.Sleep(time.Second)
		log.SetDown(true)
		time.Sleep(10 * time.Second)
		syncers[1].Broke(t.Context(), c, Endpoint{ID: "e2", Address: "address"}, time.Millisecond)
		time.Sleep(5 * time.Second)
		syncers[2].Answered(c, Endpoint{ID: "sound", Address: "address"})
		time.Sleep(10 * time.Second)
		log.SetDown(false)
		time.Sleep(10 * time.Second)
		wantKnown(t, syncers, "a", false, "after the log has recovered")
		if page, err := log.Newest(t.Context(), logstore.TopicQuarantine); err != nil || len(page.Records) > 0 {
			t.Errorf("%d records are left on the log after an answer, error %v; want none", len(page.Records), err)
		}
	})
}

// An instance that has read the clear on the log is told of the crashes by one that has not.
func TestAClearOnTheLogOutlastsAnOlderExchange(t *testing.T) {
	table, behind, f := NewTable("me"), NewTable("other"), fingerprint("x")
	r := behind.recordCrash(subject{fingerprint: f}, "org", "e1", time.Millisecond, startTime)
	table.observe(f, r, false, startTime)
	table.clear(f, startTime.Add(time.Second))
	if _, known := table.observeNeighbour(f, r, startTime.Add(2*time.Second)); known {
		t.Error("the subject has an entry after an older exchange")
	}
	table.observe(f, r, false, startTime.Add(3*time.Second))
	if table.entries[f] == nil {
		t.Error("a record that follows the clear on the log is ignored")
	}
}

func TestAClearLeavesOnlyTheCrashesAfterIt(t *testing.T) {
	table, behind, f := NewTable("me"), NewTable("other"), fingerprint("x")
	var last *entryRecord
	for i := range 4 {
		now := startTime.Add(time.Duration(i) * time.Second)
		last = behind.recordCrash(subject{fingerprint: f}, "org", fmt.Sprint("e", i), time.Millisecond, now)
		if i == 1 {
			table.observe(f, last, false, now)
			table.clear(f, now)
		}
	}
	now := startTime.Add(4 * time.Second)
	table.observeNeighbour(f, last, now)
	left, _ := behind.observeClears(f, table.clearRecords(now)[f], now)
	for name, r := range map[string]*entryRecord{"that cleared it": table.records()[f], "that had all crashes": left} {
		if r == nil || fmt.Sprint(r.Endpoints) != "[e2 e3]" || r.Crashes != 2 || r.Until != 0 {
			t.Errorf("record of the instance %s is %+v, want the two later crashes and no quarantine", name, r)
		}
	}
}

// What waits to be written when an instance learns of a clear or of a crash must not undo it.
func TestPendingWritesFollowWhatNeighboursTell(t *testing.T) {
	s, f := newTestSyncer("me", standin.NewKeyed(), refusingProbe), partSubject("a").fingerprint
	crash := func(endpoint string) {
		s.recordCrash(promptContent(1, "a"), Endpoint{ID: endpoint, Address: "address"}, time.Millisecond)
	}
	tellClear := func(endpoint string) {
		s.mergeNeighbour(nil, map[string][]clearRecord{f.String(): {{Endpoint: endpoint}}})
	}
	crash("e1")
	crash("e2")
	tellClear("e1")
	if r := s.pendingWrites[f].record; r == nil || fmt.Sprint(r.Endpoints) != "[e2]" {
		t.Errorf("record that waits is %+v, want the crash that was not cleared", r)
	}
	tellClear("e2")
	if w, pending := s.pendingWrites[f]; !pending || w.record != nil {
		t.Errorf("record that waits is %+v, want one that clears the part", w.record)
	}
	other := NewTable("other")
	value, err := other.recordCrash(partSubject("a"), "org", "e3", time.Millisecond, time.Now()).encode()
	if err != nil {
		t.Fatal(err)
	}
	s.mergeNeighbour(map[string][]byte{f.String(): value}, nil)
	if w, pending := s.pendingWrites[f]; pending {
		t.Errorf("record %+v waits after a neighbour has told of a new crash, want none", w.record)
	}
}

func TestClearsAreForgotten(t *testing.T) {
	c := newClears()
	for i := range 2 * maxClears {
		c.add(fingerprint("x"), fmt.Sprint(i), startTime.Add(time.Duration(i)*time.Millisecond), startTime)
		if len(c.at) > maxClears {
			t.Fatalf("%d clears are remembered, want at most %d", len(c.at), maxClears)
		}
	}
	if newest := fmt.Sprint(2*maxClears - 1); !c.has(fingerprint("x"), newest) {
		t.Error("the newest clear is forgotten")
	}
	c.add(fingerprint("x"), "old", startTime.Add(-clearTTL), startTime)
	if c.has(fingerprint("x"), "old") {
		t.Error("a clear is remembered that is too old")
	}
	if c.expire(startTime.Add(2 * clearTTL)); len(c.at) > 0 {
		t.Errorf("%d clears are remembered for longer than %s", len(c.at), clearTTL)
	}
}

// In a fleet of two builds some instances neither send nor read clears.
func TestAnExchangeWithAnOlderInstanceKeepsItsRecords(t *testing.T) {
	type olderArgs struct{ Records map[string][]byte }
	records := map[string][]byte{"x": {1}}
	sent, err := cbor.Marshal(SwapArgs{Records: records, Clears: map[string][]clearRecord{"x": {{Endpoint: "e", Age: time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	var older olderArgs
	if err := cbor.Unmarshal(sent, &older); err != nil || !reflect.DeepEqual(older.Records, records) {
		t.Errorf("an older instance reads %v, error %v; want %v", older.Records, err, records)
	}
	if sent, err = cbor.Marshal(olderArgs{records}); err != nil {
		t.Fatal(err)
	}
	var newer SwapArgs
	if err := cbor.Unmarshal(sent, &newer); err != nil || !reflect.DeepEqual(newer, SwapArgs{Records: records}) {
		t.Errorf("an older instance's arguments are read as %+v, error %v", newer, err)
	}
}
