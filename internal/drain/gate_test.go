package drain_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"guavapier/internal/drain"
)

const (
	reports = "reports"
	// patience is how long callers wait.
	patience = 12 * time.Second
	// drainLasts and strictAfter are those of each test's drain, lastBytes what is
	// kept free before its end.
	drainLasts, strictAfter = 7500 * time.Millisecond, 2200 * time.Millisecond
	lastBytes               = 250 * time.Millisecond
	// rememberedSends is how many of a route's sends count.
	rememberedSends = 64
)

// world is a gate and a clock that the test moves.
type world struct {
	t    *testing.T
	gate *drain.Gate
	now  time.Time
}

func newWorld(t *testing.T) *world {
	return &world{t: t, gate: drain.NewGate(), now: time.Unix(1_000_000, 0)}
}

// serve has n requests end one after another, each after so long.
func (w *world) serve(route string, n int, took time.Duration) {
	for range n {
		sending := w.gate.Begin(route, w.now)
		w.now = w.now.Add(took)
		sending.Served(w.now)
	}
}

// serveTogether has n requests begin at once and end after so long.
func (w *world) serveTogether(route string, n int, took time.Duration) {
	sent := make([]*drain.Sending, n)
	for i := range sent {
		sent[i] = w.gate.Begin(route, w.now)
	}
	w.now = w.now.Add(took)
	for _, sending := range sent {
		sending.Served(w.now)
	}
}

// send has n requests begin that are under way until the test ends.
func (w *world) send(route string, n int) {
	for range n {
		w.gate.Begin(route, w.now)
	}
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) beginDrain() {
	w.gate.Close(drain.Plan{Began: w.now, Strict: w.now.Add(strictAfter), Ends: w.now.Add(drainLasts)})
}

// takes asks for a request that comes now.
func (w *world) takes(route string, patience time.Duration) bool {
	return w.gate.Takes(drain.Arrival{Route: route, Began: w.now, Deadline: w.now.Add(patience)}, w.now)
}

func (w *world) want(takes bool, route string, patience time.Duration) {
	w.t.Helper()
	if got := w.takes(route, patience); got != takes {
		w.t.Errorf("%s, waiting %v: taken %v, want %v", route, patience, got, takes)
	}
}

func TestBeforeADrainEverythingIsTaken(t *testing.T) {
	w := newWorld(t)
	w.want(true, reports, patience)
	w.serve(reports, rememberedSends, time.Minute)
	w.want(true, reports, time.Hour)
}

func TestWhatWasUnderWayAtTheSignalIsNeverRefused(t *testing.T) {
	w := newWorld(t)
	under := drain.Arrival{Route: reports, Began: w.now, Deadline: w.now.Add(patience)}
	w.pass(time.Millisecond)
	w.beginDrain()
	for range 10 {
		if !w.gate.Takes(under, w.now) {
			t.Errorf("refused at %v", w.now)
		}
		w.pass(drainLasts / 10)
	}
}

func TestAsLongAsLittleWasObservedCallersPatienceDecides(t *testing.T) {
	w := newWorld(t)
	w.serve(reports, 4, 10*time.Millisecond)
	w.beginDrain()
	w.want(false, reports, patience)
	w.want(false, reports, drainLasts)
	w.want(true, reports, drainLasts-lastBytes)
	w.want(false, "never seen", patience)
	w.serve(reports, 1, 10*time.Millisecond)
	w.want(true, reports, patience)
}

func TestLessIsTakenAsTheDrainGoesOn(t *testing.T) {
	w := newWorld(t)
	w.serveTogether(reports, 100, 6*time.Second)
	w.beginDrain()
	w.want(true, reports, patience)
	w.pass(drainLasts - lastBytes - 6*time.Second)
	w.want(true, reports, patience)
	w.pass(time.Millisecond)
	w.want(false, reports, patience)
}

// A request that has waited for tokens or for a first endpoint has less time left.
func TestARequestIsAskedAgainAfterAWait(t *testing.T) {
	w := newWorld(t)
	w.serveTogether(reports, 100, 6*time.Second)
	w.beginDrain()
	came := drain.Arrival{Route: reports, Began: w.now, Deadline: w.now.Add(patience)}
	if !w.gate.Takes(came, w.now) {
		t.Error("refused at once")
	}
	w.pass(1500 * time.Millisecond)
	if w.gate.Takes(came, w.now) {
		t.Error("taken after its wait")
	}
}

func TestLateInADrainOnlyCallersPatienceDecides(t *testing.T) {
	w := newWorld(t)
	w.serve(reports, 100, 10*time.Millisecond)
	w.beginDrain()
	w.pass(strictAfter - time.Millisecond)
	w.want(true, reports, patience)
	w.pass(time.Millisecond)
	w.want(false, reports, patience)
	w.want(true, reports, drainLasts-strictAfter-lastBytes)
	w.pass(drainLasts - strictAfter)
	w.want(false, reports, time.Millisecond)
}

func TestAResumableStreamIsTakenUntilCallersAreLedElsewhere(t *testing.T) {
	w := newWorld(t)
	w.serveTogether(reports, rememberedSends, 9*time.Second)
	w.beginDrain()
	came := func() drain.Arrival {
		return drain.Arrival{Route: reports, Resumable: true, Began: w.now, Deadline: w.now.Add(patience)}
	}
	if !w.gate.Takes(came(), w.now) {
		t.Error("refused at once")
	}
	w.pass(strictAfter)
	if w.gate.Takes(came(), w.now) {
		t.Error("taken late")
	}
}

// Skew: what one route's requests need says nothing about another's.
func TestRoutesAreLearnedApart(t *testing.T) {
	w := newWorld(t)
	w.serve("questions", 5000, 5*time.Millisecond)
	w.serveTogether(reports, 40, 9*time.Second)
	w.beginDrain()
	w.want(true, "questions", patience)
	w.want(false, reports, patience)
}

// Load: many requests of one route at once. As long as none lasts longer than
// usual, more of them are taken.
func TestABurstThatIsServedChangesNothing(t *testing.T) {
	w := newWorld(t)
	w.serveTogether(reports, rememberedSends, 2*time.Second)
	w.send(reports, 300)
	w.pass(1500 * time.Millisecond)
	w.beginDrain()
	w.want(true, reports, patience)
}

// Load: a burst that the endpoints can't serve. None of it has ended, so nothing
// but the requests under way shows it.
func TestSaturationShowsBeforeAnythingSlowHasEnded(t *testing.T) {
	w := newWorld(t)
	w.serve(reports, rememberedSends, 100*time.Millisecond)
	w.send(reports, 20)
	w.pass(time.Second)
	w.beginDrain()
	w.want(false, reports, patience)
	w.want(true, reports, time.Second)
}

// Calm is believed again once the slow ones are few among those remembered.
func TestSlownessIsForgottenWithTheRequestsThatShowedIt(t *testing.T) {
	w := newWorld(t)
	w.serveTogether(reports, rememberedSends, 9*time.Second)
	w.serve(reports, rememberedSends-13, 50*time.Millisecond)
	w.beginDrain()
	w.want(false, reports, patience)
	w.serve(reports, 1, 50*time.Millisecond)
	w.want(true, reports, patience)
}

// Load: one endpoint of several is slow. Where few requests meet it, refusing all
// of them would cost more callers than it saves.
func TestOneSlowEndpointCountsByItsShare(t *testing.T) {
	for _, c := range []struct {
		endpoints int
		takes     bool
	}{{140, true}, {10, true}, {3, false}} {
		w := newWorld(t)
		for i := range 2 * rememberedSends {
			if i%c.endpoints == c.endpoints-1 {
				w.gate.Begin(reports, w.now).Served(w.now.Add(8 * time.Second))
				continue
			}
			w.serve(reports, 1, 20*time.Millisecond)
		}
		w.beginDrain()
		w.want(c.takes, reports, patience)
	}
}

// Load: one endpoint answers nothing. What was sent to it stays under way and is
// soon the most of what is, but new requests meet it no more often than before.
func TestOneDeadEndpointCountsByItsShare(t *testing.T) {
	for _, c := range []struct {
		endpoints int
		takes     bool
	}{{10, true}, {3, false}} {
		w := newWorld(t)
		for i := range rememberedSends {
			if i%c.endpoints == c.endpoints-1 {
				w.send(reports, 1)
				continue
			}
			w.serve(reports, 1, 50*time.Millisecond)
		}
		w.pass(time.Second)
		w.beginDrain()
		w.want(c.takes, reports, patience)
	}
}

// Load: short and long work on one route. Where many are long, all are taken
// while the long ones still fit, and none later: nobody knows which one comes.
func TestAMixOfLongAndShortWork(t *testing.T) {
	for _, c := range []struct {
		everyLong  int
		takesLater bool
	}{{20, true}, {3, false}} {
		w := newWorld(t)
		for i := range rememberedSends {
			took := 300 * time.Millisecond
			if i%c.everyLong == 0 {
				took = 6 * time.Second
			}
			w.gate.Begin(reports, w.now).Served(w.now.Add(took))
		}
		w.pass(6 * time.Second)
		w.beginDrain()
		w.pass(time.Second)
		w.want(true, reports, patience)
		w.pass(time.Second)
		w.want(c.takesLater, reports, patience)
		w.want(true, reports, 2*time.Second)
	}
}

func TestFailuresDoNotMakeARouteFast(t *testing.T) {
	w := newWorld(t)
	for range 100 {
		w.gate.Begin(reports, w.now).Dropped()
	}
	w.beginDrain()
	w.want(false, reports, patience)
}

func TestWhatIsOldSaysNothing(t *testing.T) {
	w := newWorld(t)
	w.serve(reports, 100, 10*time.Millisecond)
	w.pass(11 * time.Minute)
	w.beginDrain()
	w.want(false, reports, patience)
}

// Routes come and go with desired states, and many of them make old ones forgotten;
// but never one whose requests are under way.
func TestARouteWithRequestsUnderWayIsNotForgotten(t *testing.T) {
	w := newWorld(t)
	under := w.gate.Begin(reports, w.now)
	for i := range 5000 {
		w.serve(string(rune(0x4e00+i)), 1, time.Millisecond)
	}
	under.Served(w.now)
	w.serve(reports, 4, time.Millisecond)
	w.beginDrain()
	w.want(true, reports, patience)
}

// drawnReport is how long a report lasts: 2.1 s at the median and one in a hundred
// 6.5 s or more where slowness is 1.
func drawnReport(r *rand.Rand, slowness float64) time.Duration {
	const median, spread = 2.1, 0.485
	return time.Duration(slowness * median * math.Exp(spread*r.NormFloat64()) * float64(time.Second))
}

// Load: drains of instances with three reports a second, each of which had them for
// 30 s. Harm prevented: where endpoints are slow, reports that are cut, 47 of a
// hundred if all are taken. Limit: where they are not, none is refused, though one
// in a hundred is cut.
func TestReportsInManyDrains(t *testing.T) {
	for _, c := range []struct {
		slowness               float64
		mostTaken, mostRefused float64 // Shares of those that would be cut, and of those that would not.
	}{{1, 1, 0.01}, {3, 0.05, 1}} {
		const drains, perSecond, seen = 400, 3, 30 * 3
		r := rand.New(rand.NewPCG(1, 1))
		taken, refused := map[bool]int{}, map[bool]int{} // By whether they outlast the drain.
		for range drains {
			w := newWorld(t)
			for range seen {
				w.gate.Begin(reports, w.now).Served(w.now.Add(drawnReport(r, c.slowness)))
				w.pass(time.Second / perSecond)
			}
			w.beginDrain()
			for at := time.Duration(0); at < strictAfter; at += time.Second / perSecond {
				outlasts := at+drawnReport(r, c.slowness) > drainLasts
				if w.takes(reports, patience) {
					taken[outlasts]++
				} else {
					refused[outlasts]++
				}
				w.pass(time.Second / perSecond)
			}
		}
		t.Logf("slowness %g: taken and cut %d, taken and served %d; refused and saved %d, refused for nothing %d",
			c.slowness, taken[true], taken[false], refused[true], refused[false])
		if share := float64(taken[true]) / float64(taken[true]+refused[true]); share > c.mostTaken {
			t.Errorf("slowness %g: %.2f of those that outlast the drain are taken", c.slowness, share)
		}
		if share := float64(refused[false]) / float64(taken[false]+refused[false]); share > c.mostRefused {
			t.Errorf("slowness %g: %.2f of those that end in time are refused", c.slowness, share)
		}
	}
}
