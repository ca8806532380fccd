package endpointload

import (
	"slices"
	"sync"
	"time"
)

// maxStatementAge is how long an instance may be silent before its load is dropped from the sums.
const maxStatementAge = time.Second

// Sender identifies a statement of an instance.
type Sender struct {
	Name    string `cbor:"1,keyasint"` // Of the instance, which restarted processes keep.
	Started int64  `cbor:"2,keyasint"` // Start of its process, in Unix milliseconds.
	Seq     uint64 `cbor:"3,keyasint"` // Grows with each statement of the process.
}

// isNewerThan reports whether s identifies a later statement than other, which is of the same
// instance.
func (s Sender) isNewerThan(other Sender) bool {
	return s.Started > other.Started || s.Started == other.Started && s.Seq > other.Seq
}

// Statement is what an instance tells of its own load, or a collector of the sum over the
// instances that told it theirs.
type Statement struct {
	Sender Sender `cbor:"1,keyasint"`
	// Loads has the endpoints with a load; all others have none.
	Loads LoadList `cbor:"2,keyasint"`
	Links LinkSum  `cbor:"3,keyasint"`
	// Samples and Reports are those since the last statement.
	Samples SampleList `cbor:"4,keyasint"`
	Reports ReportList `cbor:"5,keyasint"`
}

// LinkSum is the load of the links of one or several instances.
type LinkSum struct {
	Load      float64 `cbor:"1,keyasint"` // Sum of the links' utilisations, 1 for each full one.
	Instances int     `cbor:"2,keyasint"`
	Shedding  int     `cbor:"3,keyasint"` // Instances that send callers to others.
}

// add adds the links of other instances.
func (l *LinkSum) add(other LinkSum) {
	l.Load += other.Load
	l.Instances += other.Instances
	l.Shedding += other.Shedding
}

// ZoneLinks is the load of the links of an availability zone's instances.
type ZoneLinks struct {
	Mean      float64 `cbor:"1,keyasint"` // Utilisation; 1 is full.
	Instances int     `cbor:"2,keyasint"` // Those that the figures cover.
	Shedding  int     `cbor:"3,keyasint"` // Those that send callers to others.
	Known     bool    `cbor:"4,keyasint"`
}

// Table sums up the statements of instances. Each collector has one: its members are the
// instances that tell it their loads themselves, its parts are the sums of the other collectors
// over their members. Every statement replaces the one before it of the same instance; one that
// is late or doubled is ignored. The table is soft state: it is empty at the start of a process,
// and instances that fall silent drop out of it. It does no I/O and has no clock: callers pass the
// current time as a duration since a fixed origin. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	members map[string]*source // By the instance's name.
	parts   map[string]*source
	rows    []row       // Of the endpoints with a load, in no particular order.
	index   map[Key]int // Of rows, by key.
	news    news
}

// source is the last statement of an instance or collector.
type source struct {
	sender Sender
	zone   string // Of a collector.
	at     time.Duration
	loads  LoadList
	links  LinkSum
}

// row is the load of one endpoint.
type row struct {
	key            Key
	members, parts Load
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[string]*source{}, parts: map[string]*source{}, index: map[Key]int{}, news: newNews()}
}

// TellMember records the statement of an instance, and reports whether it was newer than the last
// one.
func (t *Table) TellMember(s Statement, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if !t.replace(t.members, memberLoad, s, "", now) {
		return false
	}
	t.news.addSamples(s.Samples, s.Sender.Name, true)
	return true
}

// TellPart records the statement of a collector of this availability zone, and reports whether it
// was newer than the last one.
func (t *Table) TellPart(zone string, s Statement, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if !t.replace(t.parts, partLoad, s, zone, now) {
		return false
	}
	t.news.addSamples(s.Samples, s.Sender.Name, false)
	t.news.addReports(s.Reports, false, now)
	return true
}

// AddReports records reports that this instance has read itself.
func (t *Table) AddReports(reports ReportList, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news.addReports(reports, true, now)
}

// memberLoad and partLoad select what statements of each kind add to.
func memberLoad(r *row) *Load { return &r.members }
func partLoad(r *row) *Load   { return &r.parts }

// replace replaces the last statement of an instance unless s is older.
func (t *Table) replace(sources map[string]*source, selected func(*row) *Load, s Statement, zone string, now time.Duration) bool {
	old := sources[s.Sender.Name]
	if old != nil {
		if !s.Sender.isNewerThan(old.sender) {
			return false
		}
		t.subtract(old, selected)
	}
	for _, l := range s.Loads {
		i, ok := t.index[l.Key]
		if !ok {
			i = len(t.rows)
			t.rows, t.index[l.Key] = append(t.rows, row{key: l.Key}), i
		}
		selected(&t.rows[i]).Add(l.Load)
	}
	sources[s.Sender.Name] = &source{sender: s.Sender, zone: zone, at: now, loads: s.Loads, links: s.Links}
	return true
}

// subtract takes a statement out of the sums.
func (t *Table) subtract(s *source, selected func(*row) *Load) {
	for _, l := range s.loads {
		i, ok := t.index[l.Key]
		if !ok { // A load of nothing, which another statement's end has removed.
			continue
		}
		r := &t.rows[i]
		selected(r).sub(l.Load)
		if r.members.IsZero() && r.parts.IsZero() {
			t.removeRow(i)
		}
	}
}

// removeRow removes a row; the last one takes its place.
func (t *Table) removeRow(i int) {
	last := len(t.rows) - 1
	delete(t.index, t.rows[i].key)
	if i != last {
		t.rows[i] = t.rows[last]
		t.index[t.rows[i].key] = i
	}
	t.rows = t.rows[:last]
}

// sweep drops the instances and collectors that are silent.
func (t *Table) sweep(now time.Duration) {
	t.dropSilent(t.members, memberLoad, now)
	t.dropSilent(t.parts, partLoad, now)
}

func (t *Table) dropSilent(sources map[string]*source, selected func(*row) *Load, now time.Duration) {
	for name, s := range sources {
		if now-s.at > maxStatementAge {
			t.subtract(s, selected)
			delete(sources, name)
		}
	}
}

// Others returns the load of all instances but the member of this name, by endpoint. Endpoints
// without any are left out.
func (t *Table) Others(name string, now time.Duration) LoadList {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := make(LoadList, len(t.rows))
	for i := range t.rows {
		r := &t.rows[i]
		list[i] = KeyedLoad{r.key, r.members}
		list[i].Add(r.parts)
	}
	if own := t.members[name]; own != nil {
		for _, l := range own.loads {
			if i, ok := t.index[l.Key]; ok {
				list[i].sub(l.Load)
			}
		}
	}
	return slices.DeleteFunc(list, func(l KeyedLoad) bool { return l.IsZero() })
}

// Part returns the load of the members, by endpoint, and of their links: what this collector tells
// the others.
func (t *Table) Part(now time.Duration) (LoadList, LinkSum) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := make(LoadList, 0, len(t.rows))
	for i := range t.rows {
		if r := &t.rows[i]; !r.members.IsZero() {
			list = append(list, KeyedLoad{r.key, r.members})
		}
	}
	return list, t.memberLinks()
}

func (t *Table) memberLinks() LinkSum {
	var sum LinkSum
	for _, s := range t.members {
		sum.add(s.links)
	}
	return sum
}

// Links returns the load of the links of a zone, which must be that of the members.
func (t *Table) Links(zone string, now time.Duration) ZoneLinks {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	sum := t.memberLinks()
	for _, s := range t.parts {
		if s.zone == zone {
			sum.add(s.links)
		}
	}
	if sum.Instances <= 0 {
		return ZoneLinks{}
	}
	return ZoneLinks{Mean: sum.Load / float64(sum.Instances), Instances: sum.Instances, Shedding: sum.Shedding, Known: true}
}

// CountInstances returns the number of instances whose loads the table has.
func (t *Table) CountInstances(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	count := t.memberLinks().Instances
	for _, s := range t.parts {
		count += s.links.Instances
	}
	return count
}

// HasMembers reports whether other instances than the one of this name tell their loads here.
func (t *Table) HasMembers(self string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for name := range t.members {
		if name != self {
			return true
		}
	}
	return false
}

// News returns the samples and reports that have come since version after, without those of the
// instance that asks, and the version of the table. With own, only those that members have told
// and this instance has read. An instance that asks for the first time, with version 0, gets no
// samples.
func (t *Table) News(after uint64, asker string, own bool, now time.Duration) (SampleList, ReportList, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news.samplesSince(after, asker, own), t.news.reportsSince(after, own, now), t.news.version
}

// Size is the number of instances and collectors that a table has statements of, and of
// endpoints with a load, as of the last statement.
type Size struct{ Members, Collectors, Endpoints int }

// Size returns the size of the table.
func (t *Table) Size() Size {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Size{Members: len(t.members), Collectors: len(t.parts), Endpoints: len(t.rows)}
}
