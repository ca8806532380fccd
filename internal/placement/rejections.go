package placement

import (
	"math"
	"time"
)

const (
	// rejectionWindow is the window of a rejection limit. rejectionMemory is how long a
	// rejection is counted: longer, since it is known here later than at the endpoint.
	rejectionWindow = time.Second
	rejectionMemory = rejectionWindow + 100*time.Millisecond
	// unownedShareRatio is the part of a rejection limit that is left to instances that own no
	// share of it.
	unownedShareRatio = 0.2
)

// rejectionState is what an endpoint's rejection limit leaves to this instance. An endpoint
// with such a limit crashes if it has to reject more requests in a second.
//
// Each attempt whose answer has not started may be rejected. So they count together with the
// rejections of the last second, and the instances divide the limit. The sum holds whatever the
// others do. An instance that needs more than its share borrows from others.
//
// Invariant: over all owners, unanswered attempts and recent rejections <= rejection limit.
type rejectionState struct {
	rejectionsLimited bool
	rejectionRoom     int // How many more attempts may be sent now.
	rejectionShare    int // This instance's part of the limit; 0 if it owns none.
	rejectionVersion  int // The fleet.version by which rejectionShare was computed.
	rejectedAt        []time.Duration
	lent, borrowed    loans // Parts of the limit; by the other instance.
}

// countRecent returns the number of rejections that still count.
func (s *rejectionState) countRecent(now time.Duration) int {
	expired := 0
	for expired < len(s.rejectedAt) && now-s.rejectedAt[expired] >= rejectionMemory {
		expired++
	}
	s.rejectedAt = s.rejectedAt[expired:]
	return len(s.rejectedAt)
}

// serviceRejections is what is known of the rejection limit of a service's endpoints.
type serviceRejections struct {
	limit    int           // Rejections that an endpoint bears in a second; 0 for any number.
	statedAt time.Duration // When an answer last stated limit.
	// pausedUntil is until when an instance without a share of the limit sends nothing, since
	// it was rejected.
	pausedUntil time.Duration
	// shortUntil is until when this instance counts as short of shares.
	shortUntil time.Duration
}

// onRejectionLimit records the limit of a service's endpoints, 0 for none, as the answer of one of them to a
// request of sentAt states it. A limit ends as a request limit does; see statements.onStatement.
func (t *Table) onRejectionLimit(service string, kind ReplyKind, limit int, sentAt, now time.Duration) {
	r, known := t.rejections[service]
	if limit == 0 && (!known || kind != ReplySuccess || sentAt < r.statedAt) {
		return
	}
	if r.limit != limit {
		r = serviceRejections{limit: limit}
		t.fleet.version++
	}
	if limit > 0 {
		r.statedAt = now
	}
	t.rejections[service] = r
}

// rejectionShare returns this instance's part of a rejection limit: an even one, if there is
// at least one rejection for each instance, else one for those of the lowest rank.
func (f *fleet) rejectionShare(endpoint uint64, limit int) int {
	shared := max(1, int(sharedBudgetRatio*float64(limit)))
	rank, listed := f.rank(endpoint)
	switch instances := len(f.instances); {
	case !listed:
		return 0
	case instances <= shared:
		return shared / instances
	case rank < shared:
		return 1
	}
	return 0
}

// updateRejectionRoom computes how many attempts may be sent to the endpoint now.
//
// Where there are more instances than the limit can be divided among, the others send one
// request at a time, and none for long after a rejection.
func (t *Table) updateRejectionRoom(e *endpointState, now time.Duration) {
	service := t.rejections[e.Service]
	s := &e.rejectionState
	if s.rejectionsLimited = service.limit > 0; !s.rejectionsLimited {
		return
	}
	if s.rejectionVersion != t.fleet.version {
		s.rejectionVersion = t.fleet.version
		s.rejectionShare = t.fleet.rejectionShare(e.idHash, service.limit)
	}
	borrowed, lent := s.borrowed.sum(now), s.lent.sum(now)
	switch {
	case s.rejectionShare > 0 || borrowed > 0:
		s.rejectionRoom = s.rejectionShare + borrowed - lent - len(e.unanswered) - s.countRecent(now)
	case now < service.pausedUntil || len(e.unanswered) > 0:
		s.rejectionRoom = 0
	default:
		s.rejectionRoom = 1
	}
}

// recordRejection records that the endpoint has rejected a request, or may have.
func (t *Table) recordRejection(e *endpointState, now time.Duration) {
	e.rejectedAt = append(e.rejectedAt, now)
	e.countRecent(now) // Drops those that no longer count.
	service, limited := t.rejections[e.Service]
	if !limited || service.limit == 0 || e.rejectionShare > 0 {
		return
	}
	perSecond := unownedShareRatio * float64(service.limit)
	pause := math.Max(1, float64(len(t.fleet.instances))/perSecond)
	service.pausedUntil = now + time.Duration(pause*float64(time.Second))
	t.rejections[e.Service] = service
}

// recordShortage records that a request of the service found no endpoint, if that is due to this
// instance's shares of the rejection limit.
func (t *Table) recordShortage(service string, now time.Duration) {
	r, known := t.rejections[service]
	if !known || r.limit == 0 {
		return
	}
	r.shortUntil = now + shortageMemory
	t.rejections[service] = r
}
