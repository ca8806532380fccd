package metrics

// Names of the metrics of a gateway instance.
const (
	GatewayRequests             = "gateway.requests"
	GatewayAttempts             = "gateway.attempts"
	GatewayLatency              = "gateway.latency"
	GatewayHeaderLatency        = "gateway.first"
	GatewayInstances            = "gateway.instances"
	GatewayStateVersion         = "gateway.state_version"
	GatewayStateAge             = "gateway.state_age"
	GatewayEndpointsAge         = "gateway.endpoints_age"
	GatewayEndpoints            = "gateway.endpoints"
	GatewayEndpointsUnreachable = "gateway.endpoints_unreachable"
	GatewayEndpointsWithoutLink = "gateway.endpoints_without_link"
	GatewayTunnelsServed        = "gateway.tunnels_served"
	GatewayHeldForSlowReaders   = "gateway.held_for_slow_readers"
	GatewayHeldBodies           = "gateway.held_bodies"
	GatewayStreams              = "gateway.streams"
	GatewayStreamsNotCopied     = "gateway.streams_not_copied"
	GatewayQuarantinedRequests  = "gateway.requests_held_back"
	GatewayLinesDropped         = "gateway.lines_dropped"
	GatewayBudgetHeld           = "gateway.budget_held"
	GatewayBudgetUsed           = "gateway.budget_used"
	GatewayBudgetLost           = "gateway.budget_lost"
	GatewayBudgetReadAge        = "gateway.budget_read_age"
	GatewayBudgetRenewalAge     = "gateway.budget_touch_age"
	GatewayBudgetReclaimed      = "gateway.budget_reclaimed"
	GatewayBudgetWaiting        = "gateway.budget_waiting"
	GatewayBudgetRefusedAtOnce  = "gateway.budget_refused_at_once"
	// GatewayStoreCallsPrefix is followed by the outcome of a call to the store.
	// Each outcome has a counter of its own.
	GatewayStoreCallsPrefix = "gateway.store."
	// GatewayRetries counts the sends of a request after its first, and
	// GatewayRetriesDenied those that the retry limit did not allow.
	GatewayRetries       = "gateway.repeats"
	GatewayRetriesDenied = "gateway.repeats_denied"
	GatewayLinkLoad      = "gateway.link_load"
	// GatewayLoadExchanges counts the exchanges of endpoints' loads with other instances,
	// GatewayLoadExchangesFailed those that nobody answered.
	GatewayLoadExchanges       = "gateway.load_exchanges"
	GatewayLoadExchangesFailed = "gateway.load_exchanges_failed"
	GatewayLoadAge             = "gateway.load_age"
	GatewayLoadedEndpoints     = "gateway.load_endpoints"
	GatewayReportsRead         = "gateway.reports_read"
	// GatewayEndsPrefix is followed by the reason why a request ended without a
	// response of an endpoint. Each reason has a counter of its own.
	GatewayEndsPrefix = "gateway.ends."
)

// GatewayCatalogue lists every metric that a gateway instance publishes. The two
// prefixes stand for all names that begin with them.
func GatewayCatalogue() []Metric {
	return []Metric{
		{GatewayRequests, KindCounter, "requests", "Callers' requests that have ended."},
		{GatewayAttempts, KindCounter, "sends", "Sends to endpoints, those that found none reachable included."},
		{GatewayLatency, KindHistogram, "microseconds", "From a request's arrival to its end, streams included."},
		{GatewayHeaderLatency, KindHistogram, "microseconds", "From a request's arrival to the head of its answer."},
		{GatewayInstances, KindGauge, "instances", "Instances whose statements are recent, this one included."},
		{GatewayStateVersion, KindGauge, "version", "Version of the desired state in force."},
		{GatewayStateAge, KindGauge, "milliseconds", "How long a change of the desired state may have gone unseen here."},
		{GatewayQuarantinedRequests, KindGauge, "requests", "Contents of requests and parts of prompts that are held back, since endpoints ended under them."},
		{GatewayEndpointsAge, KindGauge, "milliseconds", "How long a change of the endpoint list may have gone unseen here."},
		{GatewayEndpoints, KindGauge, "endpoints", "Endpoints that may get new requests by the list and by the operators."},
		{GatewayEndpointsUnreachable, KindGauge, "endpoints", "Those of them to which no connection can be made, not even through other instances."},
		{GatewayEndpointsWithoutLink, KindGauge, "endpoints", "Those of them to which no connection can be made by the own link. If it is all of them here and none elsewhere, this instance has lost its links."},
		{GatewayTunnelsServed, KindGauge, "connections", "Connections to endpoints that are open here for other instances."},
		{GatewayHeldBodies, KindGauge, "bytes", "Bytes of requests' bodies, of those that arrive and those that are being served."},
		{GatewayHeldForSlowReaders, KindGauge, "bytes", "Bytes of answers that callers have not read yet: whole answers, and those of callers who read slowly."},
		{GatewayStreams, KindGauge, "streams", "Streams whose origin is recorded here, those of other instances included."},
		{GatewayStreamsNotCopied, KindGauge, "streams", "Streams whose origin was not copied to other instances, or not kept for them, because of too many."},
		{GatewayLinesDropped, KindGauge, "lines", "Log lines dropped because nobody read the output in time, or thinned because they came too fast."},
		{GatewayBudgetHeld, KindGauge, "tokens", "Tokens of all budgets that this instance holds unused."},
		{GatewayBudgetUsed, KindGauge, "tokens", "Tokens that this instance has used since its start, requests in flight at their most."},
		{GatewayBudgetLost, KindGauge, "tokens", "Tokens that lie with processes that are not alive."},
		{GatewayBudgetReadAge, KindGauge, "milliseconds", "Time since the budgets topic was last read to its end."},
		{GatewayBudgetRenewalAge, KindGauge, "milliseconds", "Time since the store last took a statement of this instance."},
		{GatewayBudgetReclaimed, KindGauge, "tokens", "Tokens of dead processes of this host that were given back."},
		{GatewayBudgetWaiting, KindGauge, "requests", "Requests, and withdrawals of members, that wait for tokens."},
		{GatewayBudgetRefusedAtOnce, KindGauge, "requests", "Requests refused without a wait since the start, since their organisation is short of tokens."},
		{GatewayRetries, KindGauge, "sends", "Sends of a request beyond its first, from the fleet's budget of repeats."},
		{GatewayRetriesDenied, KindGauge, "sends", "Repeats that this instance's share of that budget did not cover."},
		{GatewayLinkLoad, KindGauge, "percent", "What callers and endpoints take of the link's speed, in its fuller direction, over the last second."},
		{GatewayLoadExchanges, KindGauge, "exchanges", "Times that this instance told its load at the endpoints and was told that of the others."},
		{GatewayLoadExchangesFailed, KindGauge, "exchanges", "Times that no instance of its zone answered this."},
		{GatewayLoadAge, KindGauge, "milliseconds", "Time since it was last told; -1 if never, as in a small fleet. Above a second, requests are placed by what it knows itself."},
		{GatewayLoadedEndpoints, KindGauge, "endpoints", "Endpoints at which the others had requests by that."},
		{GatewayReportsRead, KindGauge, "reports", "Endpoints' reports of their load that this instance has read for all."},
		{GatewayStoreCallsPrefix, KindCounter, "calls", "Calls to the store, by outcome: ok, unavailable, throttled, trimmed, fenced."},
		{GatewayEndsPrefix, KindCounter, "requests", "Requests that ended without an endpoint's answer, by reason."},
	}
}
