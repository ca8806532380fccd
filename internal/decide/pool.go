package decide

import (
	"cmp"
	"slices"
	"time"

	"guavapier/internal/record"
)

// poolKey names what a request asks for. Team is set where the team has
// endpoints of its own for it; those pools hold the shared ones too.
type poolKey struct {
	service string
	model   string
	team    record.Team
}

// pool is all endpoints that can serve a kind of request, with its queue.
type pool struct {
	key       poolKey
	endpoints []*endpointRow // By name.
	own       []*endpointRow // Those in the instance's own zone.
	keys      []rankKey      // Of endpoints, in one piece for rankRow.
	mostSlots int            // Of one endpoint.
	// long holds the endpoints that take long work while shorter work is in
	// use; nil if the pool is too small to be parted.
	long    map[*endpointRow]bool
	classes [classCount]classQueue
	started [classCount]uint64

	parked     rowHeap             // Rows that wait for any endpoint they don't avoid.
	classOrder [2 * classCount]int // Classes in the order of this tick; see order.
	aged       int                 // How many entries at its start go first by age.

	hold, base, perTok, pace float64 // Averages over the endpoints.
	usage                    usageTable
	lastSeen                 [classCount]Time    // When the class last came; 0 for never.
	free                     [classCount]float64 // Free slots by class, at refreshedAt.
	drain                    float64             // Starts a second when all slots are busy.
	usable                   int                 // Endpoints that take work.
	probes                   int                 // Endpoints that want a probe.
	refreshedAt              Time
	refreshed                bool
	checkedAt                Time
	scratch                  []float64
	nextReturn               Time // When the next refused caller may come back.
}

// rankKey is what the rendezvous needs of an endpoint.
type rankKey struct {
	hash   uint64
	weight float64
}

const (
	// refreshEvery bounds how often a pool's sums are made: a few steps of an
	// engine; reports come ten times as slowly.
	refreshEvery = 10 * time.Millisecond
	// longShare is the part of a pool's endpoints that takes long work while
	// shorter work is in use. A long prompt makes every step of its batch
	// several times as long, so questions beside it are slow however many slots
	// are kept for them; half of the fleet stays free of that. A pool of fewer
	// than leastToPart endpoints shares slots only.
	longShare   = 0.5
	leastToPart = 4
	longSeed    = 0x6c6f6e67
	// classInUse is how long a class counts as in use after its last request.
	// Slots stay reserved that long; without the class nothing is reserved.
	classInUse = time.Minute
)

// buildPools makes the pools of the endpoint table anew. Pools keep their
// queues; one that lost all its endpoints stays until its queue is refused.
func (d *Decider) buildPools() {
	for _, p := range d.pools {
		p.endpoints, p.own, p.keys = p.endpoints[:0], p.own[:0], p.keys[:0]
		p.mostSlots, p.refreshed = 0, false
	}
	for _, e := range d.endpoints {
		if e.gone {
			continue
		}
		for _, key := range e.poolKeys() {
			d.served[key] = true
			d.poolOf(key)
		}
	}
	for _, p := range d.pools {
		for _, e := range d.endpoints {
			if !e.gone && e.serves(p.key) {
				p.add(e, d.opts.Zone)
			}
		}
	}
	for _, p := range d.pools {
		p.part()
	}
	d.pools = slices.DeleteFunc(d.pools, func(p *pool) bool {
		unused := len(p.endpoints) == 0 && p.queuedCount() == 0
		if unused {
			delete(d.poolByKey, p.key)
		}
		return unused
	})
	slices.SortFunc(d.pools, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.team, b.key.team))
	})
}

func (p *pool) add(e *endpointRow, own record.Zone) {
	p.endpoints = append(p.endpoints, e)
	p.keys = append(p.keys, rankKey{hash: e.hash, weight: e.Weight})
	p.mostSlots = max(p.mostSlots, e.Slots)
	if own != "" && e.Zone == own {
		p.own = append(p.own, e)
	}
}

// part picks the endpoints for long work: the same ones at every instance, for
// the choice is by hash, and as few as possible change with the table.
func (p *pool) part() {
	p.long = nil
	if len(p.endpoints) < leastToPart {
		return
	}
	order := slices.Clone(p.endpoints)
	slices.SortFunc(order, func(a, b *endpointRow) int { return cmp.Compare(mix(a.hash^longSeed), mix(b.hash^longSeed)) })
	p.long = make(map[*endpointRow]bool, len(order))
	for _, e := range order[:int(longShare*float64(len(order)))] {
		p.long[e] = true
	}
}

// takesClass tells whether work of the class may start at the endpoint while
// shorter work is in use.
func (p *pool) takesClass(e *endpointRow, class int, now Time) bool {
	if class > int(PriorityBatch) || p.long == nil || p.long[e] {
		return true
	}
	return !p.inUse(int(PriorityInteractive), now) && !p.inUse(int(PriorityCall), now)
}

func (d *Decider) poolOf(key poolKey) *pool {
	if p, ok := d.poolByKey[key]; ok {
		return p
	}
	p := &pool{key: key, parked: rowHeap{index: parkIndex}, usage: usageTable{byTeam: map[record.Team]int{}}}
	for class := range p.classes {
		p.classes[class].byTeam = map[record.Team]*teamQueue{}
		p.lastSeen[class] = -classInUse
	}
	d.poolByKey[key] = p
	d.pools = append(d.pools, p)
	return p
}

func (e *endpointRow) poolKeys() []poolKey {
	if e.Service != "" {
		return []poolKey{{service: e.Service, team: e.Team}}
	}
	keys := make([]poolKey, 0, len(e.Models))
	for _, model := range e.Models {
		keys = append(keys, poolKey{model: model, team: e.Team})
	}
	return keys
}

func (e *endpointRow) serves(key poolKey) bool {
	if e.Service != key.service || e.Team != "" && e.Team != key.team {
		return false
	}
	return e.Service != "" || slices.Contains(e.Models, key.model)
}

// find returns the pool of a request, or nil if no endpoint serves it.
func (d *Decider) find(r *Request) *pool {
	key := poolKey{service: r.Service, model: r.Model, team: r.Team}
	if r.Service != "" {
		key.model = ""
	}
	if p, ok := d.poolByKey[key]; ok && len(p.endpoints) > 0 {
		return p
	}
	key.team = ""
	if p, ok := d.poolByKey[key]; ok && len(p.endpoints) > 0 {
		return p
	}
	return nil
}

// unknownModel says that no endpoint has served the request's model to its team
// since the start. While nothing at all is known it is false.
func (d *Decider) unknownModel(r *Request) bool {
	if r.Service != "" || len(d.served) == 0 {
		return false
	}
	return !d.served[poolKey{model: r.Model, team: r.Team}] && !d.served[poolKey{model: r.Model}]
}

// span returns the seconds that the row should take on an endpoint like its
// peers, its answer as long as it may be.
func (p *pool) span(row *requestRow) float64 {
	if row.Service != "" || p.pace <= 0 {
		return known(p.hold, unknownHold)
	}
	return p.base + float64(max(row.MaxTokens, 1))*p.pace + row.uncached*p.perTok
}

func (p *pool) queuedCount() int {
	n := 0
	for class := range p.classes {
		n += p.classes[class].count
	}
	return n
}

// inUse tells whether the class came within the last classInUse.
func (p *pool) inUse(class int, now Time) bool { return now-p.lastSeen[class] < classInUse }

// refreshPools makes each pool's sums that admission needs.
func (d *Decider) refreshPools() {
	for _, p := range d.pools {
		if p.refreshed && d.now-p.refreshedAt < refreshEvery {
			continue
		}
		p.refreshedAt, p.refreshed = d.now, true
		p.sum(d)
	}
}

func (p *pool) sum(d *Decider) {
	p.free, p.usable, p.probes = [classCount]float64{}, 0, 0
	for _, e := range p.endpoints {
		if e.wantsProbe(d.now) {
			p.probes++
		}
		if !e.out() && e.health.state != ejected {
			p.usable++
		}
	}
	var reserve [classCount]float64
	for class := range reserve {
		reserve[class] = d.reserve(p, class)
	}
	slots := 0.0
	for _, e := range p.endpoints {
		if !p.takes(e) {
			continue
		}
		load := e.load(d.now)
		for class := 1; class < classCount; class++ {
			p.free[class] += max(0, min(e.limit(reserve[class])-load, float64(e.Slots-e.inFlight)))
		}
		slots += float64(e.inFlight) + max(0, e.rampedSlots()-load)
	}
	p.usage.forget(d.now)
	p.drain = slots / known(p.hold, unknownHold)
}

// takes tells whether the endpoint takes ordinary work. If health has taken
// out every endpoint, none of the verdicts is believed: the trouble is then
// more likely on this side, and no answer at all would be the certain harm.
func (p *pool) takes(e *endpointRow) bool {
	return !e.out() && (p.usable == 0 || e.health.state != ejected)
}

// limit returns up to which load a class may start at the endpoint that leaves
// the reserve, a share of the slots, to others.
func (e *endpointRow) limit(reserve float64) float64 {
	slots := e.rampedSlots()
	// One slot is the least that any class may use.
	return max(1, slots-float64(int(slots*reserve+0.999)))
}

// reserve returns the share of an endpoint's slots that the class leaves free
// for each higher class in use: questions and calls must not wait for a
// report's whole run.
func (d *Decider) reserve(p *pool, class int) float64 {
	reserve := 0.0
	for higher := class + 1; higher < classCount; higher++ {
		if p.inUse(higher, d.now) {
			reserve += d.opts.Reserve[higher]
		}
	}
	return reserve
}
