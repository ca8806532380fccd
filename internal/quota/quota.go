// Package quota divides the rate of requests that an endpoint takes among the instances that
// send to it. It does no I/O and has no clock: callers pass the current time as a duration
// since a fixed origin.
//
// A few instances own equal parts of the rate. An owner sends requests within its part, and
// grants what it does not use to instances that ask for it, as permits for one request each.
// So the rate goes where the callers are, and a request to an endpoint needs a call only at an
// instance that owns no part of its rate.
//
// Invariant: in any span of time the requests that the owners send and the permits that they
// grant are at most one for each owner, and dividedRatio of the rate times that span and
// burstTime.
package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxOwners bounds the instances that own parts of one endpoint's rate, and so the calls by
	// which another one finds out that no part is left.
	maxOwners = 8
	// PermitLifetime is how long a permit may be used from the request for it on.
	PermitLifetime = 500 * time.Millisecond
	// askTimeout is how long a call to an owner counts as under way.
	askTimeout = 200 * time.Millisecond
	// unreachableTime is how long an owner that could not be called is not called again.
	unreachableTime = 2 * time.Second
	// dividedRatio is the part of the rate that the owners divide. The rest allows for instances
	// that know fewer others.
	dividedRatio = 0.95
	// aloneRatio is the part of the rate that is left to instances that reach no owner.
	aloneRatio = 0.2
	// minAskPause and maxAskPause bound the pause, beyond the time that the owner tells, after
	// it was asked in vain. It doubles each time: others ask too.
	minAskPause, maxAskPause = 20 * time.Millisecond, time.Second
	// refreshInterval is the time in which an endpoint with a limit gets a request, as far as its limit allows: by its
	// answers alone it can state another limit, or none.
	refreshInterval = time.Second
	// maxWants bounds the permits that an instance asks for at a time.
	maxWants = 64
)

// OwnerCount returns how many of a number of instances own parts of a rate in requests a
// second. Each owner may send one request at any moment, so a low rate has few.
func OwnerCount(perSecond float64, instances int) int {
	const least = 2
	return min(least+int(min(perSecond, maxOwners)), maxOwners, instances)
}

// Division is how a rate is divided, as one instance sees it.
type Division struct {
	PerSecond float64  // The whole rate; 0 for no bound.
	Instances int      // In the fleet; 0 if not known yet.
	Owners    int      // How many instances own a part, this one included.
	Rank      int      // Of this instance among the owners, from 0; -1 if it is none.
	Others    []string // Names of the other owners.
	// Phase, from 0 to 1, is different for each instance.
	Phase float64
}

// Quota is what one instance may send to one endpoint. The zero value has no bound.
type Quota struct {
	division  Division
	own       bucket
	permits   []time.Duration // When each expires, in order.
	owners    map[string]*owner
	wants     int // Permits that requests could have used.
	wantsEnd  time.Duration
	aloneNext time.Duration // When a request may be sent without permit if no owner is reachable.
}

// owner is what is known of another instance that owns a part.
type owner struct {
	askedUntil       time.Duration // A call to it may be under way until then.
	emptyUntil       time.Duration // Until then it has nothing to grant.
	pause            time.Duration // After it was last asked in vain.
	unreachableUntil time.Duration
}

// Use is what one request was sent by; it can be given back if it was not sent.
type Use struct {
	source  source
	expires time.Duration // Of the permit.
}

type source uint8

const (
	sourceNone source = iota
	sourceOwn
	sourcePermit
	sourceAlone
)

// SetDivision sets how the rate is divided from now on.
func (q *Quota) SetDivision(d Division, now time.Duration) {
	wasOwner := q.division.PerSecond > 0 && q.division.Rank >= 0
	wasBound := q.IsBound()
	q.division = d
	if !q.IsBound() {
		return
	}
	if d.Rank >= 0 {
		interval := seconds(float64(d.Owners) / (dividedRatio * d.PerSecond))
		firstAt := now + interval*time.Duration(d.Rank+1)/time.Duration(d.Owners)
		q.own.setInterval(interval, now)
		if !wasOwner {
			q.own.startAt(firstAt)
		}
	}
	if !wasBound {
		q.aloneNext = max(q.aloneNext, now+time.Duration(d.Phase*float64(q.aloneInterval())))
	}
	others := map[string]*owner{}
	for _, name := range d.Others {
		if others[name] = q.owners[name]; others[name] == nil {
			others[name] = &owner{}
		}
	}
	q.owners = others
}

// IsBound reports whether the endpoint's rate is bounded.
func (q *Quota) IsBound() bool { return q.division.PerSecond > 0 }

// HasRoom reports whether a request may be sent now.
func (q *Quota) HasRoom(now time.Duration) bool { return !q.IsBound() || q.source(now) != sourceNone }

// NeedsRequest reports whether a request should be sent for the endpoint's sake: this instance owns a part of the rate,
// has not used it for its part of refreshInterval, and may send one.
func (q *Quota) NeedsRequest(now time.Duration) bool {
	if !q.IsBound() || q.division.Rank < 0 || now < q.own.dueAt {
		return false
	}
	return now >= q.own.usedAt()+refreshInterval*time.Duration(q.division.Owners)
}

// source returns what a request could be sent by now.
func (q *Quota) source(now time.Duration) source {
	q.dropExpired(now)
	switch {
	case !q.IsBound():
		return sourceNone
	case len(q.permits) > 0:
		return sourcePermit
	case q.division.Rank >= 0 && q.own.hasRoom(now):
		return sourceOwn
	case q.division.Rank < 0 && now >= q.aloneNext && q.isAlone(now):
		return sourceAlone
	}
	return sourceNone
}

// Take uses what a request is sent by. HasRoom must be true.
func (q *Quota) Take(now time.Duration) Use {
	use := Use{source: q.source(now)}
	switch use.source {
	case sourcePermit:
		use.expires = q.permits[0]
		q.permits = q.permits[1:]
	case sourceOwn:
		q.own.take(now)
	case sourceAlone:
		q.aloneNext = now + q.aloneInterval()
	}
	return use
}

// GiveBack undoes a Take whose request was not sent.
func (q *Quota) GiveBack(u Use) {
	switch u.source {
	case sourcePermit:
		q.permits = append([]time.Duration{u.expires}, q.permits...)
	case sourceOwn:
		q.own.giveBack()
	}
}

// Grant takes up to count requests from this instance's part for another one, and returns
// how many, and in what time there is room for the next.
func (q *Quota) Grant(count int, now time.Duration) (granted int, nextIn time.Duration) {
	if q.division.Rank < 0 {
		return 0, unreachableTime
	}
	for granted < count && q.own.hasRoom(now) {
		q.own.take(now)
		granted++
	}
	return granted, q.own.roomIn(now)
}

// Want records that a request could have used a permit.
func (q *Quota) Want(now time.Duration) {
	if now >= q.wantsEnd {
		q.wants = 0
	}
	most := 1 + int(min(q.division.PerSecond*PermitLifetime.Seconds(), maxWants))
	q.wants, q.wantsEnd = min(q.wants+1, most), now+PermitLifetime
}

// Asks returns how many permits to ask each owner for now, by its name, and counts them as
// asked.
func (q *Quota) Asks(now time.Duration) map[string]int {
	if q.wants == 0 || now >= q.wantsEnd {
		return nil
	}
	var names []string
	for name, o := range q.owners {
		if o.mayBeAsked(now) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	names = names[:min(len(names), q.wants)]
	asks := map[string]int{}
	for i := range q.wants {
		asks[names[i%len(names)]]++
	}
	for name := range asks {
		q.owners[name].askedUntil = now + askTimeout
	}
	return asks
}

func (o *owner) mayBeAsked(now time.Duration) bool {
	return now >= o.askedUntil && now >= o.emptyUntil && now >= o.unreachableUntil
}

// Receive adds the permits that an owner has granted for a request of askedAt, and when it has
// the next.
func (q *Quota) Receive(name string, granted int, nextIn, askedAt, now time.Duration) {
	o := q.owners[name]
	if o == nil {
		return
	}
	o.askedUntil, o.unreachableUntil = 0, 0
	o.emptyUntil = now + nextIn
	if granted > 0 {
		o.pause = 0
	} else {
		o.pause = min(max(2*o.pause, minAskPause), maxAskPause)
		o.emptyUntil += rand.N(o.pause)
	}
	for range granted {
		q.permits = append(q.permits, askedAt+PermitLifetime)
	}
	q.wants = max(0, q.wants-granted)
}

// Unreachable records that an owner could not be called.
func (q *Quota) Unreachable(name string, now time.Duration) {
	if o := q.owners[name]; o != nil {
		o.askedUntil, o.unreachableUntil = 0, now+unreachableTime
	}
}

// IsAsking reports whether permits may arrive: an owner is being asked, or may be.
func (q *Quota) IsAsking(now time.Duration) bool {
	for _, o := range q.owners {
		if now < o.askedUntil || o.mayBeAsked(now) {
			return true
		}
	}
	return false
}

// isAlone reports whether no owner can be called.
func (q *Quota) isAlone(now time.Duration) bool {
	for _, o := range q.owners {
		if now >= o.unreachableUntil {
			return false
		}
	}
	return true
}

// aloneInterval is the time between two requests of an instance that reaches no owner.
func (q *Quota) aloneInterval() time.Duration {
	const unknownFleet = 16 // Instances that a fleet is taken to have until they are known.
	instances := q.division.Instances
	if instances == 0 {
		instances = unknownFleet
	}
	return seconds(float64(instances) / (aloneRatio * q.division.PerSecond))
}

// dropExpired drops permits that may no longer be used.
func (q *Quota) dropExpired(now time.Duration) {
	for len(q.permits) > 0 && now >= q.permits[0] {
		q.permits = q.permits[1:]
	}
}

// seconds converts a number of seconds, at most a day.
func seconds(n float64) time.Duration {
	const day = 24 * time.Hour
	return time.Duration(math.Min(n*float64(time.Second), float64(day)))
}
