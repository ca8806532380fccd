package placement

import "time"

// Statement is what an endpoint states of itself in an answer. The zero value states nothing.
type Statement struct {
	// RejectionLimit is the number of requests that the endpoint can reject in a second
	// without crashing; 0 for any number.
	RejectionLimit int
	// LimitsRequests reports whether the endpoint takes at most RequestLimit requests a second
	// from all instances together.
	LimitsRequests bool
	RequestLimit   float64
	// Leaving reports whether the endpoint is about to end and must get no more requests.
	Leaving bool
	// Rest is how long the endpoint, which has rejected the request, wants nothing from this
	// instance; 0 if it does not say so.
	Rest time.Duration
}

// ReplyKind is what an endpoint's answer says of the request.
type ReplyKind uint8

// The kinds of answers. Only a success shows by what it does not state that the endpoint has no limit any
// more: an endpoint in need may reject or fail a request before it adds the fields of its answers.
const (
	ReplySuccess   ReplyKind = iota
	ReplyFailure             // The request has failed, and may have been run.
	ReplyRejection           // The request was not run.
)

// statements is what an endpoint has stated. It ends with the endpoint's process, not with its entry: a
// new process has a new endpointState.
type statements struct {
	stated Statement
	// limitKnown reports whether anything has told if the endpoint limits requests, and limitKnownAt as of when.
	// It is negative for what another instance was told before this process started.
	limitKnown   bool
	limitKnownAt time.Duration
	// confirmedAt is when an answer last stated a request limit.
	confirmedAt time.Duration
	statedTo    string // ID of the request whose answer stated it; "" if another instance has told.
}

// onStatement records what the endpoint has stated in an answer to a request of sentAt, and
// reports whether that is news. An answer without a limit may have been begun before the last
// one that states it if its request was sent before that arrived.
func (s *statements) onStatement(kind ReplyKind, stated Statement, request string, sentAt, now time.Duration) (changed bool) {
	switch {
	case stated.LimitsRequests:
		s.confirmedAt = now
		s.limitKnown, s.limitKnownAt = true, now
	case s.stated.LimitsRequests && (kind != ReplySuccess || sentAt < s.confirmedAt):
		stated.LimitsRequests, stated.RequestLimit = true, s.stated.RequestLimit
	case s.stated.LimitsRequests:
		s.limitKnownAt = now
	case !s.limitKnown && kind == ReplySuccess:
		s.limitKnown, s.limitKnownAt = true, sentAt
	}
	stated.Leaving = stated.Leaving || s.stated.Leaving // Its process stays no more once it leaves.
	stated.Rest = 0                                     // It concerns this instance alone.
	if stated == s.stated {
		return false
	}
	s.stated, s.statedTo = stated, request
	return true
}

// requestRate returns the requests a second that the endpoint takes from all instances; 0 for
// any number.
func (s *statements) requestRate() float64 {
	if !s.stated.LimitsRequests || s.stated.RequestLimit >= maxRequestLimit {
		return 0
	}
	return max(s.stated.RequestLimit, minRequestLimit)
}

// StatementReport is what one instance knows of an endpoint's statements. Other instances are told
// so.
type StatementReport struct {
	Endpoint string // Its ID.
	Born     int64  // Of its process.
	// LimitsRequests and RequestLimit are as in Statement.
	LimitsRequests bool
	RequestLimit   float64
	Leaving        bool
	// LimitUnknown states that the instance has heard nothing of a limit, which says nothing of the endpoint.
	LimitUnknown bool
	Age          time.Duration // Since the limit was stated.
	Request      string        // ID of the request to which it was; "" if another instance has told.
}

// report returns what is known of the endpoint's statements.
func (e *endpointState) report(now time.Duration) StatementReport {
	return StatementReport{
		Endpoint: e.ID, Born: e.Born, LimitsRequests: e.stated.LimitsRequests, RequestLimit: e.stated.RequestLimit, Leaving: e.stated.Leaving,
		LimitUnknown: !e.limitKnown, Age: now - e.limitKnownAt, Request: e.statedTo,
	}
}

// Reports returns what is known of the statements of endpoints, given by their IDs.
func (t *Table) Reports(endpoints []string, now time.Duration) []StatementReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []StatementReport
	for _, id := range endpoints {
		for _, e := range t.findProcesses(id) {
			reports = append(reports, e.report(now))
		}
	}
	return reports
}

// RecordReports records what another instance knows of endpoints' statements, and returns the IDs
// of the listed endpoints for which that is news.
func (t *Table) RecordReports(reports []StatementReport, now time.Duration) (news []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		listed := t.endpoints[r.Endpoint]
		if t.recordReport(r, now) && listed != nil && listed.Born == r.Born {
			news = append(news, r.Endpoint)
		}
	}
	return news
}

// recordReport records what another instance knows of an endpoint's statements, and reports
// whether that is news. Of request limits the one that was stated last counts.
func (t *Table) recordReport(r StatementReport, now time.Duration) (changed bool) {
	e := t.findProcess(process{r.Endpoint, r.Born})
	if e == nil {
		return false
	}
	if r.Leaving && !e.stated.Leaving {
		e.stated.Leaving, changed = true, true
	}
	changed = e.recordReportedLimit(r, now-max(r.Age, 0)-reportDelay) || changed
	t.updateQuota(e, now)
	return changed
}

// reportDelay is how long a report may have been under way: it must not outdo what this instance
// has heard since.
const reportDelay = 250 * time.Millisecond

// recordReportedLimit records the request limit of a report as of a time, and reports whether that
// is news.
func (e *endpointState) recordReportedLimit(r StatementReport, at time.Duration) (changed bool) {
	if r.LimitUnknown || e.limitKnown && at <= e.limitKnownAt {
		return false
	}
	e.limitKnown, e.limitKnownAt = true, at
	if r.LimitsRequests {
		e.confirmedAt = at
	}
	if e.stated.LimitsRequests == r.LimitsRequests && e.stated.RequestLimit == r.RequestLimit {
		return false
	}
	e.stated.LimitsRequests, e.stated.RequestLimit = r.LimitsRequests, r.RequestLimit
	e.statedTo = ""
	return true
}
