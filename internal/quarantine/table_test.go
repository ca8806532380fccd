package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/record"
)

var startTime = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

// fingerprint returns the fingerprint of a request with this name in its path.
func fingerprint(name string) Fingerprint {
	return Content{Organisation: "org", Method: "POST", Host: "h", Target: "/" + name}.Fingerprint()
}

// isQuarantinedAt reports whether the request is quarantined at now.
func (t *Table) isQuarantinedAt(f Fingerprint, now time.Time) bool {
	quarantined, _ := t.check(f, now)
	return quarantined != nil
}

func TestARequestIsQuarantinedFromTheThirdCrash(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 3 {
		now := startTime.Add(time.Duration(i) * time.Second)
		if table.isQuarantinedAt(f, now) {
			t.Errorf("quarantined after %d crashes", i)
		}
		if r := table.recordCrash(subject{fingerprint: f}, "org", fmt.Sprint("e", i), 50*time.Millisecond, now); r == nil || r.Crashes != i+1 {
			t.Errorf("record of crash %d is %+v", i+1, r)
		}
	}
	third := startTime.Add(2 * time.Second)
	if table.isQuarantinedAt(f, third) {
		t.Error("quarantined before the records of other instances can have arrived")
	}
	quarantined, retestDue := table.check(f, third.Add(reportGracePeriod))
	if quarantined == nil || retestDue || quarantined.RetryAfter != initialQuarantine-reportGracePeriod || quarantined.Crashes != 3 {
		t.Errorf("after reportGracePeriod: %+v, retest due %v", quarantined, retestDue)
	}
	if quarantined, retestDue := table.check(f, third.Add(initialQuarantine)); quarantined == nil || !retestDue || quarantined.RetryAfter != 0 {
		t.Errorf("at the end of the quarantine: %+v, retest due %v", quarantined, retestDue)
	}
	if table.isQuarantinedAt(f, third.Add(initialQuarantine+entryTTL)) {
		t.Error("quarantined after the entry has expired")
	}
}

func TestAnEndpointCountsOnce(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 5 {
		r := table.recordCrash(subject{fingerprint: f}, "org", "e", time.Millisecond, startTime.Add(time.Duration(i)*time.Second))
		if (r != nil) != (i == 0) {
			t.Errorf("record of report %d for one endpoint is %+v, want one for report 0 only", i, r)
		}
	}
}

// A frequent request is in progress on all of several endpoints that are lost at the same
// moment. Several instances report that, and their records arrive over several reads of the
// log.
func TestEndpointsThatAreLostAtOneMomentCountAsOne(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 6 {
		now := startTime.Add(time.Duration(i) * 70 * time.Millisecond)
		table.observe(f, &entryRecord{Team: "org", Writer: "other", Endpoints: []string{fmt.Sprint("e", i)}, UnderWay: 20 * time.Millisecond, Crashes: 1}, false, now)
	}
	if table.isQuarantinedAt(f, startTime.Add(time.Minute)) {
		t.Error("quarantined after six endpoints were lost at the same moment")
	}
}

// Endpoints crash while serving one request. Others are in progress on most of these
// endpoints, because they are repeated until they are answered.
func TestOtherRequestsOnCrashedEndpointsAreNotQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, culprit := NewTable("me"), fingerprint("culprit")
		others := rapid.IntRange(1, 8).Draw(t, "others")
		crashes := rapid.IntRange(crashesToQuarantine+1, 12).Draw(t, "crashes")
		sharedCrashes := make([]int, others)
		now := startTime
		for i := range crashes {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")) * time.Millisecond)
			endpoint := fmt.Sprint("e", i)
			table.recordCrash(subject{fingerprint: culprit}, "org", endpoint, 10*time.Millisecond, now)
			for o := range others {
				// A request that is not to blame is elsewhere at one crash at least.
				if rapid.Bool().Draw(t, "in progress") && sharedCrashes[o] < crashes-1 {
					sharedCrashes[o]++
					table.recordCrash(subject{fingerprint: fingerprint(fmt.Sprint(o))}, "org", endpoint, 10*time.Millisecond, now)
				}
			}
		}
		now = now.Add(reportGracePeriod)
		if !table.isQuarantinedAt(culprit, now) {
			t.Fatalf("not quarantined after %d crashes", crashes)
		}
		for o := range others {
			if table.isQuarantinedAt(fingerprint(fmt.Sprint(o)), now) {
				t.Fatalf("request %d is quarantined, although in progress at only %d of %d crashes", o, sharedCrashes[o], crashes)
			}
		}
	})
}

// Two requests that always occur together can't be told apart. Both are quarantined, one
// crash later.
func TestRequestsThatAreAlwaysTogetherAreQuarantinedAtTheFourthCrash(t *testing.T) {
	table, first, second := NewTable("me"), fingerprint("a"), fingerprint("b")
	for i := range 4 {
		now := startTime.Add(time.Duration(i) * time.Second)
		if table.isQuarantinedAt(first, now) || table.isQuarantinedAt(second, now) {
			t.Errorf("quarantined after %d crashes", i)
		}
		table.recordCrash(subject{fingerprint: first}, "org", fmt.Sprint("e", i), time.Millisecond, now)
		table.recordCrash(subject{fingerprint: second}, "org", fmt.Sprint("e", i), time.Millisecond, now)
	}
	now := startTime.Add(3*time.Second + reportGracePeriod)
	if !table.isQuarantinedAt(first, now) || !table.isQuarantinedAt(second, now) {
		t.Error("not quarantined after four crashes")
	}
}

func TestRecordsReadAtTheStartQuarantineAtOnce(t *testing.T) {
	known, fresh, f := NewTable("me"), NewTable("new"), fingerprint("x")
	var last *entryRecord
	for i := range 3 {
		last = known.recordCrash(subject{fingerprint: f}, "org", fmt.Sprint("e", i), time.Millisecond, startTime.Add(time.Duration(i)*time.Second))
	}
	now := startTime.Add(time.Minute)
	fresh.observe(f, last, true, now)
	quarantined, _ := fresh.check(f, now)
	if quarantined == nil || quarantined.RetryAfter != last.until().Sub(now) {
		t.Errorf("quarantine is %+v, want until %s", quarantined, last.until())
	}
}

func TestAWrongClockDoesNotQuarantineForEver(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	table.observe(f, &entryRecord{Writer: "other", Endpoints: []string{"a", "b", "c"}, Crashes: 3, Until: startTime.Add(24 * time.Hour).UnixMilli()}, true, startTime)
	if quarantined, _ := table.check(f, startTime); quarantined == nil || quarantined.RetryAfter != initialQuarantine {
		t.Errorf("quarantine is %+v, want for %s", quarantined, initialQuarantine)
	}
}

// mustClaimRetest returns the table's claim of a retest that is due.
func mustClaimRetest(t *testing.T, table *Table, f Fingerprint, now time.Time) *entryRecord {
	t.Helper()
	claim, _ := table.retestClaim(f, now)
	if claim == nil {
		t.Fatalf("no claim of a retest at %s, when one is due", now)
	}
	return claim
}

func TestEachRetestQuarantinesLonger(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 3 {
		table.recordCrash(subject{fingerprint: f}, "org", fmt.Sprint("e", i), time.Millisecond, startTime.Add(time.Duration(i)*time.Second))
	}
	now := startTime.Add(time.Hour)
	for round, want := range []time.Duration{8 * time.Minute, 32 * time.Minute, maxQuarantine, maxQuarantine} {
		table.observe(f, mustClaimRetest(t, table, f, now), false, now)
		if decided, won := table.retestResult(f, round+1); !decided || !won {
			t.Errorf("retest %d: decided %v, won %v", round+1, decided, won)
		}
		if quarantined, retestDue := table.check(f, now); quarantined == nil || retestDue || quarantined.RetryAfter != want {
			t.Errorf("after retest %d: %+v, retest due %v; want a quarantine of %s", round+1, quarantined, retestDue, want)
		}
		now = now.Add(want)
	}
}

func TestTheFirstClaimOnTheLogHasTheRetest(t *testing.T) {
	me, other, f := NewTable("me"), NewTable("other"), fingerprint("x")
	for i := range 3 {
		r := me.recordCrash(subject{fingerprint: f}, "org", fmt.Sprint("e", i), time.Millisecond, startTime.Add(time.Duration(i)*time.Second))
		other.observe(f, r, false, startTime.Add(time.Duration(i)*time.Second))
	}
	now := startTime.Add(initialQuarantine + 3*time.Second)
	first, second := mustClaimRetest(t, other, f, now), mustClaimRetest(t, me, f, now)
	for _, table := range []*Table{me, other} {
		table.observe(f, first, false, now)
		table.observe(f, second, false, now)
	}
	if _, won := me.retestResult(f, 1); won {
		t.Error("the second claim on the log acquired the retest")
	}
	if _, won := other.retestResult(f, 1); !won {
		t.Error("the first claim on the log did not acquire the retest")
	}
}

func TestOneOrganisationCannotFillTheTable(t *testing.T) {
	table := NewTable("me")
	victim := fingerprint("victim")
	for i := range 3 {
		table.recordCrash(subject{fingerprint: victim}, "victim", fmt.Sprint("v", i), time.Millisecond, startTime.Add(time.Duration(i)*time.Second))
	}
	for i := range 3 * maxEntriesPerTeam {
		table.recordCrash(subject{fingerprint: fingerprint(fmt.Sprint(i))}, "hostile", fmt.Sprint("e", i), time.Millisecond, startTime.Add(time.Hour))
	}
	if n := table.countByTeam["hostile"]; n != maxEntriesPerTeam {
		t.Errorf("%d entries of one organisation, want %d", n, maxEntriesPerTeam)
	}
	for i := range 2 * maxEntries {
		table.recordCrash(subject{fingerprint: fingerprint(fmt.Sprint("of many ", i))}, record.Team(fmt.Sprint("team ", i%100)), fmt.Sprint("m", i), time.Millisecond, startTime.Add(time.Hour))
	}
	if n := len(table.entries); n > maxEntries || int64(n) != table.size.Load() {
		t.Errorf("%d entries, want at most %d; size is %d", n, maxEntries, table.size.Load())
	}
	if table.entries[victim] == nil {
		t.Error("another organisation's entry was evicted")
	}
	for f := range table.entries {
		table.clear(f, startTime)
	}
	if len(table.countByMetadata)+len(table.countByTeam)+len(table.crashes) > 0 {
		t.Errorf("after clearing all entries %d metadata hashes, %d teams and %d crashes are left", len(table.countByMetadata), len(table.countByTeam), len(table.crashes))
	}
}

func TestWhatIsStaleIsClearedByItsWriterFirst(t *testing.T) {
	mine, theirs := fingerprint("mine"), fingerprint("theirs")
	table := NewTable("me")
	table.recordCrash(subject{fingerprint: mine}, "org", "e1", time.Millisecond, startTime)
	table.observe(theirs, &entryRecord{Writer: "other", Endpoints: []string{"e2"}, Crashes: 1}, false, startTime)
	if cleared := table.sweep(startTime.Add(entryTTL - time.Second)); len(cleared) > 0 {
		t.Errorf("cleared before expiry: %v", cleared)
	}
	if cleared := table.sweep(startTime.Add(entryTTL)); len(cleared) != 1 || cleared[0] != mine {
		t.Errorf("cleared %v at expiry, want the entry that this instance wrote", cleared)
	}
	if cleared := table.sweep(startTime.Add(4 * entryTTL)); len(cleared) != 1 || cleared[0] != theirs {
		t.Errorf("cleared %v long after expiry, want the entry of the other instance", cleared)
	}
}

func TestTheBodyIsHashedOnlyForAKnownMetadataHash(t *testing.T) {
	table := NewTable("me")
	c := Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: [][]byte{[]byte("body")}}
	if _, known := table.find(c); known {
		t.Error("the request is found in an empty table")
	}
	table.recordCrash(subject{fingerprint: c.Fingerprint()}, "org", "e", time.Millisecond, startTime)
	if f, known := table.find(c); !known || f != c.Fingerprint() {
		t.Errorf("fingerprint is %s, found %v", f, known)
	}
	for _, body := range []string{"ydob", "another"} {
		c.Body = [][]byte{[]byte(body)}
		if _, known := table.find(c); known {
			t.Errorf("a request with body %q is found", body)
		}
	}
	if c.metadataHash() == (Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: [][]byte{[]byte("body")}}).metadataHash() {
		t.Error("a body of another length has the same metadata hash")
	}
}

// Many instances have the entries of one that is gone. They don't all clear them at the same
// time.
func TestOrphansAreClearedByOneAfterTheOther(t *testing.T) {
	const instances = 40
	cleared := 0
	for range instances {
		table := NewTable("me")
		table.observe(fingerprint("x"), &entryRecord{Writer: "gone", Endpoints: []string{"e"}, Crashes: 1}, false, startTime)
		for at := entryTTL; at < 2*entryTTL+entryTTL/10; at += time.Second {
			if len(table.sweep(startTime.Add(at))) > 0 {
				cleared++
			}
		}
	}
	if cleared > instances/2 {
		t.Errorf("%d of %d instances cleared it within %s", cleared, instances, entryTTL/10)
	}
}
