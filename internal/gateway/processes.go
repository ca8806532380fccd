package gateway

import (
	"time"

	"guavapier/internal/processcheck"
)

// currentListSlack is how much longer than usual a read of the endpoint list may take while the list counts as current.
const currentListSlack = maxResponseDelay

// maxCurrentAge is the age up to which this instance's endpoint list is current: that of a list which is read as usual.
func (e *endpointTracker) maxCurrentAge() time.Duration {
	return endpointsPollTimeout + e.pollPause + currentListSlack
}

// Report implements processcheck.List.
func (e *endpointTracker) Report(endpoint string) processcheck.Report {
	report := processcheck.Report{Age: e.freshness.maxUnseen()}
	born, version, doubted, listed := e.placementTable.ListedProcess(endpoint)
	if listed {
		report.Process, report.Doubted = processcheck.Process{Endpoint: endpoint, Born: born, Version: version}, doubted
	}
	return report
}

// newProcessChecks returns what asks other instances about endpoints.
func (g *Gateway) newProcessChecks(zone string) *processcheck.Checker {
	return processcheck.New(processcheck.Options{
		Zone: zone, MaxAge: g.endpoints.maxCurrentAge(), Instances: g.streamOrigins.Instances, List: g.endpoints, Caller: g.streamOrigins.pool,
		Clock: g.clock, Log: g.sampledLog,
	})
}
