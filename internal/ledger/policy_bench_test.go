package ledger_test

import (
	"strings"
	"testing"

	"guavapier/internal/ledger"
)

// BenchmarkBudgetPolicies drives 100 minutes of virtual time, with the fault from minute 20 to 80, for each policy
// and fault. Run it with -benchtime 1x; the metrics are per cent of requests,
// tokens, and appends for each instance and second.
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
				continue // Where the spare grants differ.
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
