package endpointload

import "time"

const (
	// keptSamples bounds the samples that a table keeps for those that ask.
	keptSamples = 512
	// maxToldSamples bounds the samples of one message, at 8 bytes each.
	maxToldSamples = 96
	// maxReportAge is the age from which on a report is not told.
	maxReportAge = 3 * time.Second
)

// news is the samples and reports that a table has received, each with the version of the table
// at its arrival. The newest version is told with each message, so that the next one brings only
// what came after it.
type news struct {
	version uint64
	samples []storedSample // Oldest first.
	reports map[Key]storedReport
}

type storedSample struct {
	KeyedSample
	version uint64
	from    string // Name of the instance or collector that told it.
	own     bool   // Told by a member.
}

type storedReport struct {
	Report
	madeAt  time.Duration
	version uint64
	own     bool // Read by this instance.
}

func newNews() news { return news{version: 1, reports: map[Key]storedReport{}} }

// addSamples adds the samples that an instance has told, and drops the oldest if there are too
// many.
func (n *news) addSamples(list SampleList, from string, own bool) {
	for _, s := range list {
		n.version++
		n.samples = append(n.samples, storedSample{KeyedSample: s, version: n.version, from: from, own: own})
	}
	if excess := len(n.samples) - keptSamples; excess > 0 {
		n.samples = append(n.samples[:0], n.samples[excess:]...)
	}
}

// samplesSince returns the samples after a version; if there are too many, maxToldSamples spread evenly.
func (n *news) samplesSince(after uint64, asker string, own bool) SampleList {
	var list SampleList
	if after == 0 {
		return nil
	}
	for i := len(n.samples) - 1; i >= 0 && n.samples[i].version > after; i-- {
		if s := n.samples[i]; s.from != asker && (s.own || !own) {
			list = append(list, s.KeyedSample)
		}
	}
	if len(list) <= maxToldSamples {
		return list
	}
	thinned := make(SampleList, maxToldSamples)
	for i := range thinned {
		thinned[i] = list[i*len(list)/maxToldSamples]
	}
	return thinned
}

// addReports adds reports that are newer than the known ones of their endpoints.
func (n *news) addReports(list ReportList, own bool, now time.Duration) {
	for _, r := range list {
		madeAt := now - r.Age
		if known, ok := n.reports[r.Key]; ok && known.madeAt >= madeAt {
			continue
		}
		n.version++
		n.reports[r.Key] = storedReport{Report: r.Report, madeAt: madeAt, version: n.version, own: own}
	}
}

// reportsSince returns the reports after a version, and forgets those that are too old.
func (n *news) reportsSince(after uint64, own bool, now time.Duration) ReportList {
	var list ReportList
	for key, r := range n.reports {
		if now-r.madeAt > maxReportAge {
			delete(n.reports, key)
			continue
		}
		if r.version > after && (r.own || !own) {
			r.Age = now - r.madeAt
			list = append(list, KeyedReport{key, r.Report})
		}
	}
	return list
}
