package metrics

// The metrics of a gateway instance.
const (
	GatewayRequests  = "gateway.requests"
	GatewayAttempts  = "gateway.attempts"
	GatewayLatency   = "gateway.latency"
	GatewayFirst     = "gateway.first"
	GatewayInstances = "gateway.instances"
	GatewayState     = "gateway.state_version"
	GatewayStateAge  = "gateway.state_age"
	GatewayListAge   = "gateway.endpoints_age"
	GatewayHeldBack  = "gateway.requests_held_back"
	GatewayDropped   = "gateway.lines_dropped"
	GatewayHeld      = "gateway.budget_held"
	GatewayUsed      = "gateway.budget_used"
	GatewayLost      = "gateway.budget_lost"
	GatewayReadAge   = "gateway.budget_read_age"
	GatewayTouchAge  = "gateway.budget_touch_age"
	GatewayReclaimed = "gateway.budget_reclaimed"
	// GatewayStore begins the name of each counter of calls to the store; the
	// outcome follows.
	GatewayStore = "gateway.store."
	// GatewayRepeats and GatewayRepeatsDenied count sends beyond a request's first.
	GatewayRepeats       = "gateway.repeats"
	GatewayRepeatsDenied = "gateway.repeats_denied"
	GatewayLinkLoad      = "gateway.link_load"
	// GatewayEnds begins the name of each counter of requests that ended
	// without an endpoint's answer; the reason follows.
	GatewayEnds = "gateway.ends."
)

// GatewayCatalogue lists every metric that a gateway instance publishes; the
// names under GatewayEnds are completed by the reason.
func GatewayCatalogue() []Metric {
	return []Metric{
		{GatewayRequests, KindCounter, "requests", "Callers' requests that have ended."},
		{GatewayAttempts, KindCounter, "sends", "Sends to endpoints, those that found none reachable included."},
		{GatewayLatency, KindHistogram, "microseconds", "From a request's arrival to its end, streams included."},
		{GatewayFirst, KindHistogram, "microseconds", "From a request's arrival to the head of its answer."},
		{GatewayInstances, KindGauge, "instances", "Instances whose statements are recent, this one included."},
		{GatewayState, KindGauge, "version", "Version of the desired state in force."},
		{GatewayStateAge, KindGauge, "milliseconds", "How long a change of the desired state may have gone unseen here."},
		{GatewayHeldBack, KindGauge, "requests", "Contents of requests that are held back, since endpoints ended under them."},
		{GatewayListAge, KindGauge, "milliseconds", "How long a change of the endpoint list may have gone unseen here."},
		{GatewayDropped, KindGauge, "lines", "Log lines dropped because nobody read the output in time, or thinned because they came too fast."},
		{GatewayHeld, KindGauge, "tokens", "Tokens of all budgets that this instance holds unused."},
		{GatewayUsed, KindGauge, "tokens", "Tokens that this instance has used since its start, requests in flight at their most."},
		{GatewayLost, KindGauge, "tokens", "Tokens that lie with processes that are not alive."},
		{GatewayReadAge, KindGauge, "milliseconds", "Time since the budgets topic was last read to its end."},
		{GatewayTouchAge, KindGauge, "milliseconds", "Time since the store last took a statement of this instance."},
		{GatewayReclaimed, KindGauge, "tokens", "Tokens of dead processes of this host that were given back."},
		{GatewayRepeats, KindGauge, "sends", "Sends of a request beyond its first, from the fleet's budget of repeats."},
		{GatewayRepeatsDenied, KindGauge, "sends", "Repeats that this instance's share of that budget did not cover."},
		{GatewayLinkLoad, KindGauge, "percent", "What callers and endpoints take of the link's speed, in its fuller direction, over the last second."},
		{GatewayStore, KindCounter, "calls", "Calls to the store, by outcome: ok, unavailable, throttled, trimmed, fenced."},
		{GatewayEnds, KindCounter, "requests", "Requests that ended without an endpoint's answer, by reason."},
	}
}
