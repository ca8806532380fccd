package metrics

// The metrics of a gateway instance.
const (
	GatewayRequests  = "gateway.requests"
	GatewayAttempts  = "gateway.attempts"
	GatewayLatency   = "gateway.latency"
	GatewayFirst     = "gateway.first"
	GatewayInstances = "gateway.instances"
	GatewayState     = "gateway.state_version"
	GatewayDropped   = "gateway.lines_dropped"
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
		{GatewayDropped, KindGauge, "lines", "Log lines dropped because nobody read the output in time."},
		{GatewayEnds, KindCounter, "requests", "Requests that ended without an endpoint's answer, by reason."},
	}
}
