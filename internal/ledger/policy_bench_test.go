package ledger_test

import (
	"strings"
	"testing"

	"guavapier/internal/ledger"
)

// BenchmarkBudgetPolicies simulates 100 minutes for each policy and fault,
// with the fault from minute 20 to 80. Run it with -benchtime 1x. It reports
// overspent tokens, false refusals in percent of requests, appends per
// instance and second, and log bytes per request.
func BenchmarkBudgetPolicies(b *testing.B) {
	policies := []struct {
		name string
		make func() admissionPolicy
	}{
		{"static", func() admissionPolicy { return newStaticSplit() }},
		{"central", func() admissionPolicy { return newCentralCounter() }},
		{"lean0", func() admissionPolicy { return newGrantPolicy(0, ledger.SpareNone) }},
		{"lean0.5", func() admissionPolicy { return newGrantPolicy(0.5, ledger.SpareNone) }},
		{"lean0.8", func() admissionPolicy { return newGrantPolicy(0.8, ledger.SpareNone) }},
		{"lean1", func() admissionPolicy { return newGrantPolicy(1, ledger.SpareNone) }},
		{"lean1-otherzone", func() admissionPolicy { return newGrantPolicy(1, ledger.SpareOtherZone) }},
		{"lean1-unwitnessed", func() admissionPolicy { return newGrantPolicy(1, ledger.SpareUnwitnessed) }},
	}
	for _, f := range []fault{noFault, zoneCut, holderDies, topUpBehindCut, hotTeam, holderDiesInOutage} {
		for _, p := range policies {
			spares := f == zoneCut || f == holderDiesInOutage
			if strings.Contains(p.name, "-") && !spares {
				continue // Spare grants make a difference only in these faults.
			}
			b.Run(faultNames[f]+"/"+p.name, func(b *testing.B) {
				for range b.N {
					r := simulateLoad(p.make(), f)
					b.ReportMetric(float64(r.overspend), "overspend")
					b.ReportMetric(100*float64(r.falseRefusals)/float64(r.requests), "false%")
					b.ReportMetric(100*float64(r.faultFalseRefusals)/float64(r.faultRequests), "false%fault")
					b.ReportMetric(float64(r.appends)/float64(steps*zones*instancesPerZone), "appends/s/inst")
					b.ReportMetric(float64(r.bytes)/float64(r.requests), "B/request")
				}
			})
		}
	}
}
