package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// remembered is how many ended requests of a route count, the last ones: at a
	// busy instance those of some seconds, at a calm one of some minutes.
	remembered = 64
	// remember is how long an ended request counts: the load of long ago says
	// nothing about now.
	remember = 10 * time.Minute
	// enough is how many must have ended before they say anything.
	enough = 5
	// unusual is the share of a route's requests that may last longer than what
	// is allowed to a new one. A cut costs its caller a whole stream and the
	// endpoint's work on it. A refusal costs a round trip only where it leads to
	// another instance: until the balancer has seen that this one leaves, three
	// callers in ten come back to this one, many of them for the last time.
	unusual = 0.2
	// overdue is the multiple of what most requests take, beyond which one under way
	// counts as if it never ended.
	overdue = 2
	// mostRoutes bounds the routes that are remembered; names change with desired
	// states.
	mostRoutes = 1000
)

// Durations learns how long the requests of each route last here, from those
// that ended and those under way.
//
// Load: endpoints that become slow or full within seconds, one slow endpoint
// among many, and short and long work on one route. Harm prevented: streams
// that are taken because those of a calmer time were short. Limits: the last
// requests count and not those of a fixed time, so that a busy route forgets
// its calm within seconds; those under way count as soon as they are overdue; one
// slow endpoint counts by its share of the requests.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*lately
}

// lately is what is known of one route's requests.
type lately struct {
	ended    []ended // A ring once it holds as many as are remembered.
	next     int     // The oldest one's place then.
	underWay map[*Sending]struct{}
}

type ended struct {
	at   time.Time
	took time.Duration
}

// Sending is a request that an endpoint was sent and that is under way.
type Sending struct {
	of    *Durations
	route *lately
	began time.Time
}

// NewDurations returns one that knows nothing yet.
func NewDurations() *Durations { return &Durations{routes: map[string]*lately{}} }

// Begin notes that a request of the route is sent.
func (d *Durations) Begin(route string, now time.Time) *Sending {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		d.makeRoom()
		l = &lately{underWay: map[*Sending]struct{}{}}
		d.routes[route] = l
	}
	s := &Sending{of: d, route: l, began: now}
	l.underWay[s] = struct{}{}
	return s
}

// makeRoom forgets some route without requests under way when there are many.
func (d *Durations) makeRoom() {
	if len(d.routes) < mostRoutes {
		return
	}
	for name, l := range d.routes {
		if len(l.underWay) == 0 {
			delete(d.routes, name)
			return
		}
	}
}

// Served notes that the request's caller has its whole answer, or that its time
// is over.
func (s *Sending) Served(now time.Time) {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	delete(s.route.underWay, s)
	s.route.add(ended{at: now, took: now.Sub(s.began)})
}

// Dropped notes that the request ended otherwise, which says nothing about how
// long others last. After Served it changes nothing.
func (s *Sending) Dropped() {
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	delete(s.route.underWay, s)
}

func (l *lately) add(e ended) {
	if len(l.ended) < remembered {
		l.ended = append(l.ended, e)
		return
	}
	l.ended[l.next] = e
	l.next = (l.next + 1) % remembered
}

// EndWithin says whether most of the route's requests end within so long. It is
// false while too few were observed.
func (d *Durations) EndWithin(route string, left time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.routes[route]
	if l == nil {
		return false
	}
	took := l.tookSince(now.Add(-remember))
	if len(took) < enough {
		return false
	}
	usual := took[int((1-unusual)*float64(len(took)-1))]
	late := l.underWayFor(min(overdue*usual, left), now)
	longer := longerThan(took, left) + late
	return float64(longer) <= unusual*float64(len(took)+late)
}

// tookSince returns how long those took that ended since then, in rising order.
func (l *lately) tookSince(then time.Time) []time.Duration {
	took := make([]time.Duration, 0, len(l.ended))
	for _, e := range l.ended {
		if e.at.After(then) {
			took = append(took, e.took)
		}
	}
	slices.Sort(took)
	return took
}

// longerThan counts those in a rising list that are longer.
func longerThan(took []time.Duration, limit time.Duration) int {
	at, _ := slices.BinarySearch(took, limit+1)
	return len(took) - at
}

// underWayFor counts the requests that have been under way for longer.
func (l *lately) underWayFor(limit time.Duration, now time.Time) int {
	n := 0
	for s := range l.underWay {
		if now.Sub(s.began) > limit {
			n++
		}
	}
	return n
}
