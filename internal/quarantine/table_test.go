package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/record"
)

var origin = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func fingerprint(name string) Fingerprint {
	return Content{Organisation: "org", Method: "POST", Host: "h", Target: "/" + name}.Fingerprint()
}

// isHeldAt says whether the table holds a request at that time.
func (t *Table) isHeldAt(f Fingerprint, now time.Time) bool {
	held, _ := t.held(f, now)
	return held != nil
}

func TestARequestIsHeldFromTheThirdEnd(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 3 {
		now := origin.Add(time.Duration(i) * time.Second)
		if table.isHeldAt(f, now) {
			t.Errorf("held after %d ends", i)
		}
		if n := table.ended(f, "org", fmt.Sprint("e", i), 50*time.Millisecond, now); n == nil || n.Ends != i+1 {
			t.Errorf("end %d told as %+v", i+1, n)
		}
	}
	third := origin.Add(2 * time.Second)
	if table.isHeldAt(f, third) {
		t.Error("held before the other instances' reports can be there")
	}
	held, due := table.held(f, third.Add(settleFor))
	if held == nil || due || held.After != firstHold-settleFor || held.Ends != 3 {
		t.Errorf("held %+v, due %v", held, due)
	}
	if held, due := table.held(f, third.Add(firstHold)); held == nil || !due || held.After != 0 {
		t.Errorf("at the hold's end: %+v, due %v", held, due)
	}
	if table.isHeldAt(f, third.Add(firstHold+keepFor)) {
		t.Error("held when it is forgotten")
	}
}

func TestAnEndpointCountsOnce(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 5 {
		n := table.ended(f, "org", "e", time.Millisecond, origin.Add(time.Duration(i)*time.Second))
		if (n != nil) != (i == 0) {
			t.Errorf("report %d told as %+v", i, n)
		}
	}
}

// A much asked content is under way at all endpoints that are lost at one moment; it is
// reported by several instances, some reads of the log apart.
func TestEndpointsThatAreLostAtOneMomentCountAsOne(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 6 {
		now := origin.Add(time.Duration(i) * 70 * time.Millisecond)
		table.hear(f, &report{Team: "org", Writer: "other", Endpoints: []string{fmt.Sprint("e", i)}, UnderWay: 20 * time.Millisecond, Ends: 1}, false, now)
	}
	if table.isHeldAt(f, origin.Add(time.Minute)) {
		t.Error("held after one loss of six endpoints")
	}
}

// Endpoints end under one request. Others are under way at most of these; they come
// again as long as they are not answered.
func TestOthersThatWereUnderWayAreNotHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, culprit := NewTable("me"), fingerprint("culprit")
		others := rapid.IntRange(1, 8).Draw(t, "others")
		ends := rapid.IntRange(endsToHold+1, 12).Draw(t, "ends")
		beside := make([]int, others)
		now := origin
		for i := range ends {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "pause")) * time.Millisecond)
			endpoint := fmt.Sprint("e", i)
			table.ended(culprit, "org", endpoint, 10*time.Millisecond, now)
			for o := range others {
				// An innocent request is somewhere else at one end at least.
				if rapid.Bool().Draw(t, "beside") && beside[o] < ends-1 {
					beside[o]++
					table.ended(fingerprint(fmt.Sprint(o)), "org", endpoint, 10*time.Millisecond, now)
				}
			}
		}
		now = now.Add(settleFor)
		if !table.isHeldAt(culprit, now) {
			t.Fatalf("not held after %d ends", ends)
		}
		for o := range others {
			if table.isHeldAt(fingerprint(fmt.Sprint(o)), now) {
				t.Fatalf("request %d held, beside at %d of %d ends", o, beside[o], ends)
			}
		}
	})
}

// Two requests that always come together can't be told apart: both are held, one end later.
func TestRequestsThatAreAlwaysTogetherAreHeldAtTheFourthEnd(t *testing.T) {
	table, a, b := NewTable("me"), fingerprint("a"), fingerprint("b")
	for i := range 4 {
		now := origin.Add(time.Duration(i) * time.Second)
		if table.isHeldAt(a, now) || table.isHeldAt(b, now) {
			t.Errorf("held after %d ends", i)
		}
		table.ended(a, "org", fmt.Sprint("e", i), time.Millisecond, now)
		table.ended(b, "org", fmt.Sprint("e", i), time.Millisecond, now)
	}
	now := origin.Add(3*time.Second + settleFor)
	if !table.isHeldAt(a, now) || !table.isHeldAt(b, now) {
		t.Error("not held after four ends")
	}
}

func TestWhatIsReadAtTheStartIsHeldAtOnce(t *testing.T) {
	known, fresh, f := NewTable("me"), NewTable("new"), fingerprint("x")
	var last *report
	for i := range 3 {
		last = known.ended(f, "org", fmt.Sprint("e", i), time.Millisecond, origin.Add(time.Duration(i)*time.Second))
	}
	now := origin.Add(time.Minute)
	fresh.hear(f, last, true, now)
	held, _ := fresh.held(f, now)
	if held == nil || held.After != last.until().Sub(now) {
		t.Errorf("held %+v, want until %s", held, last.until())
	}
}

func TestAWrongClockDoesNotHoldForEver(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	table.hear(f, &report{Writer: "other", Endpoints: []string{"a", "b", "c"}, Ends: 3, Until: origin.Add(24 * time.Hour).UnixMilli()}, true, origin)
	if held, _ := table.held(f, origin); held == nil || held.After != firstHold {
		t.Errorf("held %+v, want %s at most", held, firstHold)
	}
}

func TestEachRetestHoldsLonger(t *testing.T) {
	table, f := NewTable("me"), fingerprint("x")
	for i := range 3 {
		table.ended(f, "org", fmt.Sprint("e", i), time.Millisecond, origin.Add(time.Duration(i)*time.Second))
	}
	now := origin.Add(time.Hour)
	for round, want := range []time.Duration{8 * time.Minute, 32 * time.Minute, longestHold, longestHold} {
		table.hear(f, table.claim(f, now), false, now)
		if decided, won := table.decided(f, round+1); !decided || !won {
			t.Errorf("retest %d: decided %v, won %v", round+1, decided, won)
		}
		if held, due := table.held(f, now); held == nil || due || held.After != want {
			t.Errorf("after retest %d: %+v, due %v; want %s", round+1, held, due, want)
		}
		now = now.Add(want)
	}
}

func TestTheFirstClaimOnTheLogHasTheRetest(t *testing.T) {
	me, other, f := NewTable("me"), NewTable("other"), fingerprint("x")
	for i := range 3 {
		n := me.ended(f, "org", fmt.Sprint("e", i), time.Millisecond, origin.Add(time.Duration(i)*time.Second))
		other.hear(f, n, false, origin.Add(time.Duration(i)*time.Second))
	}
	now := origin.Add(firstHold + 3*time.Second)
	first, second := other.claim(f, now), me.claim(f, now)
	for _, table := range []*Table{me, other} {
		table.hear(f, first, false, now)
		table.hear(f, second, false, now)
	}
	if _, won := me.decided(f, 1); won {
		t.Error("the second claim won")
	}
	if _, won := other.decided(f, 1); !won {
		t.Error("the first claim lost")
	}
}

func TestOneOrganisationCannotFillTheTable(t *testing.T) {
	table := NewTable("me")
	victim := fingerprint("victim")
	for i := range 3 {
		table.ended(victim, "victim", fmt.Sprint("v", i), time.Millisecond, origin.Add(time.Duration(i)*time.Second))
	}
	for i := range 3 * mostOfTeam {
		table.ended(fingerprint(fmt.Sprint(i)), "hostile", fmt.Sprint("e", i), time.Millisecond, origin.Add(time.Hour))
	}
	if n := table.teams["hostile"]; n != mostOfTeam {
		t.Errorf("%d entries of one organisation, at most %d", n, mostOfTeam)
	}
	for i := range 2 * mostEntries {
		table.ended(fingerprint(fmt.Sprint("of many ", i)), record.Team(fmt.Sprint("team ", i%100)), fmt.Sprint("m", i), time.Millisecond, origin.Add(time.Hour))
	}
	if n := len(table.entries); n > mostEntries || int64(n) != table.size.Load() {
		t.Errorf("%d entries, at most %d; counted %d", n, mostEntries, table.size.Load())
	}
	if table.entries[victim] == nil {
		t.Error("another organisation's request was pushed out")
	}
	for f := range table.entries {
		table.clear(f)
	}
	if len(table.places)+len(table.teams)+len(table.under) > 0 {
		t.Errorf("left behind: %d places, %d teams, %d ends", len(table.places), len(table.teams), len(table.under))
	}
}

func TestWhatIsStaleIsClearedByItsWriterFirst(t *testing.T) {
	mine, theirs := fingerprint("mine"), fingerprint("theirs")
	table := NewTable("me")
	table.ended(mine, "org", "e1", time.Millisecond, origin)
	table.hear(theirs, &report{Writer: "other", Endpoints: []string{"e2"}, Ends: 1}, false, origin)
	if cleared := table.sweep(origin.Add(keepFor - time.Second)); len(cleared) > 0 {
		t.Errorf("cleared early: %v", cleared)
	}
	if cleared := table.sweep(origin.Add(keepFor)); len(cleared) != 1 || cleared[0] != mine {
		t.Errorf("cleared %v, want the own one", cleared)
	}
	if cleared := table.sweep(origin.Add(4 * keepFor)); len(cleared) != 1 || cleared[0] != theirs {
		t.Errorf("cleared %v, want that of an instance that is gone", cleared)
	}
}

func TestTheBodyIsHashedOnlyForAPlaceThatIsKnown(t *testing.T) {
	table := NewTable("me")
	c := Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}
	if _, known := table.find(c); known {
		t.Error("known in an empty table")
	}
	table.ended(c.Fingerprint(), "org", "e", time.Millisecond, origin)
	if f, known := table.find(c); !known || f != c.Fingerprint() {
		t.Errorf("%s, known %v", f, known)
	}
	for _, body := range []string{"ydob", "another"} {
		c.Body = []byte(body)
		if _, known := table.find(c); known {
			t.Errorf("body %q is known", body)
		}
	}
	if c.place() == (Content{Organisation: "org", Method: "POST", Host: "h", Target: "/x", Body: []byte("body")}).place() {
		t.Error("a body of another length has the same place")
	}
}

// Many instances know the records of one that is gone; they don't all clear them at once.
func TestOrphansAreClearedByOneAfterTheOther(t *testing.T) {
	const instances = 40
	cleared := 0
	for range instances {
		table := NewTable("me")
		table.hear(fingerprint("x"), &report{Writer: "gone", Endpoints: []string{"e"}, Ends: 1}, false, origin)
		for at := keepFor; at < 2*keepFor+keepFor/10; at += time.Second {
			if len(table.sweep(origin.Add(at))) > 0 {
				cleared++
			}
		}
	}
	if cleared > instances/2 {
		t.Errorf("%d of %d instances cleared it within %s", cleared, instances, keepFor/10)
	}
}
