package placement

import (
	"cmp"
	"slices"
	"time"

	"guavapier/internal/quota"
)

const (
	// minRequestLimit is the lowest limit that is kept to: without a request now and then the
	// endpoint could not state another one.
	minRequestLimit = 0.05 // requests per second
	// maxRequestLimit is the limit from which on one is taken for none.
	maxRequestLimit = 10_000.0 // requests per second
	// maxReturnDelay bounds how long a caller is asked to stay away. Beyond it the rate is far
	// exceeded, and callers are spread over that time.
	maxReturnDelay = 5 * time.Second
)

// requestLimit is what an endpoint's limit of requests leaves to this instance.
type requestLimit struct {
	quota        quota.Quota
	quotaLimit   float64 // The limit by which the quota is divided; 0 for none.
	quotaVersion int     // The fleet.version by which it is.
}

// updateQuota divides the endpoint's rate anew if the limit or the fleet has changed.
func (t *Table) updateQuota(e *endpointState, now time.Duration) {
	limit := e.requestRate()
	if limit == e.quotaLimit && (limit == 0 || e.quotaVersion == t.fleet.version) {
		return
	}
	e.quotaLimit, e.quotaVersion = limit, t.fleet.version
	if limit == 0 {
		e.quota.SetDivision(quota.Division{}, now)
		return
	}
	t.limitsKnown = true
	owners := quota.OwnerCount(limit, len(t.fleet.instances))
	rank, listed := t.fleet.rank(e.idHash)
	if !listed || rank >= owners {
		rank = -1
	}
	phase := float64(mixHash(e.idHash^t.fleet.self)>>11) / (1 << 53)
	e.quota.SetDivision(quota.Division{
		PerSecond: limit, Instances: len(t.fleet.instances), Owners: owners, Rank: rank, Others: t.fleet.first(e.idHash, owners), Phase: phase,
	}, now)
}

// endpointToRefresh returns an endpoint with a request limit that should get the request although others cost less; nil
// if there is none. What is cheapest is seldom an endpoint with a limit: it holds no prompts. If it got nothing, it
// could not state another limit.
func (t *Table) endpointToRefresh(q *Query, now time.Duration) *endpointState {
	if !t.limitsKnown {
		return nil
	}
	for _, e := range t.byService[q.Service] {
		if !e.quota.NeedsRequest(now) || !e.matches(q) || slices.Contains(q.Exclude, e.ID) {
			continue
		}
		if use, _ := t.useOf(e, now); use == UseNormal {
			return e
		}
	}
	return nil
}

// recordWant records that a request which is placed on best, nil for none, would have been
// placed on an endpoint whose request limit is used up.
func (t *Table) recordWant(q *Query, best *endpointState, now time.Duration) {
	if !t.limitsKnown {
		return
	}
	var wanted *endpointState
	lowest := 0.0
	for _, e := range t.endpoints {
		if !e.quota.IsBound() || e.quota.HasRoom(now) || !t.mayTake(e, q, now) {
			continue
		}
		if cost := e.cost(q, now); wanted == nil || cost < lowest {
			wanted, lowest = e, cost
		}
	}
	if wanted == nil || best != nil && best.cost(q, now) <= lowest {
		return
	}
	wanted.quota.Want(now)
	select {
	case t.permitsWanted <- struct{}{}:
	default: // A signal is waiting.
	}
}

// mayTake reports whether the request could be placed on the endpoint but for its request
// limit.
func (t *Table) mayTake(e *endpointState, q *Query, now time.Duration) bool {
	use, _ := e.use(now)
	return use < UseNone && !e.wantsNothing(len(e.unanswered), now) && e.matches(q) && !slices.Contains(q.Exclude, e.ID)
}

// PermitsWanted returns a channel that receives when a request could have used a permit.
func (t *Table) PermitsWanted() <-chan struct{} { return t.permitsWanted }

// AwaitsPermits reports whether an instance that owns a part of the request limit of an
// endpoint for the query is being asked for permits, or is to be.
func (t *Table) AwaitsPermits(q Query, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.maxDoubt = versionUncertain
	for _, e := range t.endpoints {
		if e.quota.IsBound() && t.mayTake(e, &q, now) && (e.quota.HasRoom(now) || e.quota.IsAsking(now)) {
			return true
		}
	}
	return false
}

// PermitAsk asks another instance, which owns a part of an endpoint's request limit, for
// permits.
type PermitAsk struct {
	Known StatementReport // By the instance that asks.
	Count int
}

// PermitGrant is the reply to a PermitAsk.
type PermitGrant struct {
	Granted int             // Permits, each for quota.PermitLifetime from the call on.
	NextIn  time.Duration   // Until there is room for another one.
	Known   StatementReport // By the instance that grants.
}

// PermitAsks returns what to ask other instances for now, by their names.
func (t *Table) PermitAsks(now time.Duration) map[string][]PermitAsk {
	t.mu.Lock()
	defer t.mu.Unlock()
	byOwner := map[string][]PermitAsk{}
	for _, e := range t.endpoints {
		t.updateQuota(e, now)
		for owner, count := range e.quota.Asks(now) {
			byOwner[owner] = append(byOwner[owner], PermitAsk{Known: e.report(now), Count: count})
		}
	}
	return byOwner
}

// GrantPermits replies to another instance, in the order of its questions.
func (t *Table) GrantPermits(asks []PermitAsk, now time.Duration) []PermitGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	grants := make([]PermitGrant, len(asks))
	for i, ask := range asks {
		grants[i] = t.grant(ask, now)
	}
	return grants
}

// grant replies to one question. An endpoint that is not known here, or names no limit here, has
// none to grant; what is known here tells the other instance so.
func (t *Table) grant(ask PermitAsk, now time.Duration) PermitGrant {
	const unknownRetry = time.Second
	t.recordReport(ask.Known, now)
	e := t.findProcess(process{ask.Known.Endpoint, ask.Known.Born})
	if e == nil {
		return PermitGrant{NextIn: unknownRetry}
	}
	t.updateQuota(e, now)
	granted, nextIn := 0, unknownRetry
	if e.quota.IsBound() {
		granted, nextIn = e.quota.Grant(ask.Count, now)
	}
	return PermitGrant{Granted: granted, NextIn: nextIn, Known: e.report(now)}
}

// ReceivePermits records the reply of another instance to the questions of askedAt.
func (t *Table) ReceivePermits(owner string, asks []PermitAsk, grants []PermitGrant, askedAt, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, ask := range asks[:min(len(asks), len(grants))] {
		t.recordReport(grants[i].Known, now)
		if e := t.findProcess(process{ask.Known.Endpoint, ask.Known.Born}); e != nil {
			e.quota.Receive(owner, grants[i].Granted, max(0, grants[i].NextIn), askedAt, now)
		}
	}
}

// RecordPermitFailure records that another instance could not be asked.
func (t *Table) RecordPermitFailure(owner string, asks []PermitAsk, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ask := range asks {
		if e := t.findProcess(process{ask.Known.Endpoint, ask.Known.Born}); e != nil {
			e.quota.Unreachable(owner, now)
		}
	}
}

// RequestLimits returns what endpoints of a service with a request limit have stated, at most n
// of them.
func (t *Table) RequestLimits(service string, n int, now time.Duration) []StatementReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limits []StatementReport
	for _, e := range t.endpoints {
		if e.Service == service && e.stated.LimitsRequests {
			limits = append(limits, e.report(now))
		}
	}
	slices.SortFunc(limits, func(a, b StatementReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return limits[:min(n, len(limits))]
}

// RequestLimitDelay returns when a caller is to come back whose request no endpoint may get for
// their request limits, and false if these are not why. Callers come back one after the other,
// at the rate that this instance's part of the limits allows.
func (t *Table) RequestLimitDelay(q Query, now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := 0.0
	q.maxDoubt = versionUncertain
	for _, e := range t.endpoints {
		t.updateQuota(e, now)
		if e.quota.IsBound() && t.mayTake(e, &q, now) {
			rate += e.requestRate()
		}
	}
	if rate == 0 {
		return 0, false
	}
	interval := time.Duration(float64(time.Second) * float64(max(1, len(t.fleet.instances))) / rate)
	at := max(t.returnsDue[q.Service], now) + interval
	if at-now > maxReturnDelay {
		return time.Duration(t.rng.Int64N(int64(maxReturnDelay))), true
	}
	t.returnsDue[q.Service] = at
	return at - now, true
}
