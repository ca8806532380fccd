package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// LoanDuration is how long an instance may use shares of rejection limits that another one
	// has lent to it.
	LoanDuration = 2 * time.Second
	// shortageMemory is how long an instance counts as short of shares after it had no endpoint
	// for a request.
	shortageMemory = time.Second
	// keptShares and keptSharesPerRequest are how many shares a lender keeps for requests of
	// its own: a few, and some for each one that uses a share now.
	keptShares, keptSharesPerRequest = 2, 2
)

// loan is a part of an endpoint's rejection limit that one instance has lent to another.
type loan struct {
	share int
	until time.Duration // When the lender may use it itself again, or the borrower no longer may.
}

// loans are those to or from each instance.
type loans map[string]loan

// sum returns the shares of the loans that have not expired, and drops the others.
func (l loans) sum(now time.Duration) (sum int) {
	for instance, one := range l {
		if now >= one.until {
			delete(l, instance)
			continue
		}
		sum += one.share
	}
	return sum
}

// ServicesShortOfShares returns the services of which a request lately found no endpoint since
// this instance's shares of their rejection limits were used up, in alphabetical order.
func (t *Table) ServicesShortOfShares(now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var services []string
	for service, r := range t.rejections {
		if r.isShort(now) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// isShort reports whether the instance lately had too small a share for its requests.
func (r serviceRejections) isShort(now time.Duration) bool { return now < r.shortUntil }

// LendShares lends unused shares of the rejection limits of a service's endpoints to another
// instance and renews those that it has. The result is what the borrower may use for
// LoanDuration from its request on, by the endpoint's ID. The shares come back to this instance
// only when rejections of what the borrower sent last no longer count.
func (t *Table) LendShares(service, borrower string, now time.Duration) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rejections[service].isShort(now) {
		return nil
	}
	lent := map[string]int{}
	unused, kept := t.unusedShares(service, now)
	for _, e := range unused {
		share := e.loanTo(borrower, now)
		if kept <= 0 {
			share += e.rejectionRoom
		}
		kept -= e.rejectionRoom
		if share > 0 {
			e.lent[borrower] = loan{share: share, until: now + LoanDuration + rejectionMemory}
			lent[e.ID] = share
		}
	}
	return lent
}

// loanTo returns what the borrower has already.
func (e *endpointState) loanTo(borrower string, now time.Duration) int {
	e.lent.sum(now)
	return e.lent[borrower].share
}

// unusedShares returns the service's endpoints, and how many of the unused shares this instance
// keeps. The order is one of its own, so that lenders keep shares of different endpoints.
func (t *Table) unusedShares(service string, now time.Duration) (endpoints []*endpointState, kept int) {
	kept = keptShares
	for _, e := range t.endpoints {
		if e.Service != service || !e.mayGetRequests() {
			continue
		}
		t.updateRejectionRoom(e, now)
		kept += keptSharesPerRequest * (len(e.unanswered) + e.countRecent(now))
		endpoints = append(endpoints, e)
	}
	slices.SortFunc(endpoints, func(a, b *endpointState) int {
		return cmp.Compare(mixHash(a.idHash^t.fleet.self), mixHash(b.idHash^t.fleet.self))
	})
	return endpoints, kept
}

// BorrowShares adds what another instance has lent, by the endpoint's ID, until a time. It
// replaces what that instance has lent before.
func (t *Table) BorrowShares(lender string, shares map[string]int, until time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, share := range shares {
		if e := t.endpoints[id]; e != nil && share > 0 {
			e.borrowed[lender] = loan{share: share, until: until}
		}
	}
}
