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
	sameZone  []*endpointRow // Those in the instance's own zone.
	rankKeys  []rankKey      // Of endpoints, in one piece for rankRow.
	maxSlots  int            // Of one endpoint.
	// batchEndpoints holds the endpoints that take batchEndpoints work while shorter work is in
	// use; nil if the pool is too small to be parted.
	batchEndpoints map[*endpointRow]bool
	classes        [classCount]classQueue
	startsByClass  [classCount]uint64

	blockedRows rowHeap             // Rows that wait for any endpoint they don't avoid.
	classOrder  [2 * classCount]int // Classes in the order of this tick; see order.
	agedClasses int                 // How many entries at its start go first by age.

	slotTime, baseFirstToken, prefillPerToken, timePerToken float64 // Averages over the endpoints.
	usage                                                   usageTable
	lastArrival                                             [classCount]Time    // When the class last came; 0 for never.
	freeSlots                                               [classCount]float64 // Free slots by class, at refreshedAt.
	startRate                                               float64             // Starts a second when all slots are busy.
	usableCount                                             int                 // Endpoints that take work.
	probesDue                                               int                 // Endpoints that want a probe.
	refreshedAt                                             Time
	refreshed                                               bool
	outliersCheckedAt                                       Time
	medianScratch                                           []float64
	nextRetryAt                                             Time // When the next refused caller may come back.
}

// rankKey is what the rendezvous needs of an endpoint.
type rankKey struct {
	hash   uint64
	weight float64
}

const (
	// refreshInterval bounds how often a pool's sums are made: a few steps of an
	// engine; reports come ten times as slowly.
	refreshInterval = 10 * time.Millisecond
	// batchEndpointShare is the part of a pool's endpoints that takes long work while
	// shorter work is in use. A long prompt makes every step of its batch
	// several times as long, so questions beside it are slow however many slots
	// are kept for them; half of the fleet stays free of that. A pool of fewer
	// than leastToPart endpoints shares slots only.
	batchEndpointShare      = 0.5
	minEndpointsToPartition = 4
	batchHashSeed           = 0x6c6f6e67
	// classInUseTTL is how long a class counts as in use after its last request.
	// Slots stay reserved that long; without the class nothing is reserved.
	classInUseTTL = time.Minute
)

// rebuildPools makes the pools of the endpoint table anew. Pools keep their
// queues; one that lost all its endpoints stays until its queue is refused.
func (d *Decider) rebuildPools() {
	for _, p := range d.pools {
		p.endpoints, p.sameZone, p.rankKeys = p.endpoints[:0], p.sameZone[:0], p.rankKeys[:0]
		p.maxSlots, p.refreshed = 0, false
	}
	for _, e := range d.endpoints {
		if e.removed {
			continue
		}
		for _, key := range e.poolKeys() {
			d.servedKeys[key] = true
			d.ensurePool(key)
		}
	}
	for _, p := range d.pools {
		for _, e := range d.endpoints {
			if !e.removed && e.serves(p.key) {
				p.addEndpoint(e, d.opts.Zone)
			}
		}
	}
	for _, p := range d.pools {
		p.selectBatchEndpoints()
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

func (p *pool) addEndpoint(e *endpointRow, ownZone record.Zone) {
	p.endpoints = append(p.endpoints, e)
	p.rankKeys = append(p.rankKeys, rankKey{hash: e.hash, weight: e.Weight})
	p.maxSlots = max(p.maxSlots, e.Slots)
	if ownZone != "" && e.Zone == ownZone {
		p.sameZone = append(p.sameZone, e)
	}
}

// selectBatchEndpoints picks the endpoints for long work: the same ones at every instance, for
// the choice is by hash, and as few as possible change with the table.
func (p *pool) selectBatchEndpoints() {
	p.batchEndpoints = nil
	if len(p.endpoints) < minEndpointsToPartition {
		return
	}
	order := slices.Clone(p.endpoints)
	slices.SortFunc(order, func(a, b *endpointRow) int {
		return cmp.Compare(mix64(a.hash^batchHashSeed), mix64(b.hash^batchHashSeed))
	})
	p.batchEndpoints = make(map[*endpointRow]bool, len(order))
	for _, e := range order[:int(batchEndpointShare*float64(len(order)))] {
		p.batchEndpoints[e] = true
	}
}

// acceptsClass tells whether work of the class may start at the endpoint while
// shorter work is in use.
func (p *pool) acceptsClass(e *endpointRow, class int, now Time) bool {
	if class > int(PriorityBatch) || p.batchEndpoints == nil || p.batchEndpoints[e] {
		return true
	}
	return !p.isClassInUse(int(PriorityInteractive), now) && !p.isClassInUse(int(PriorityCall), now)
}

func (d *Decider) ensurePool(key poolKey) *pool {
	if p, ok := d.poolByKey[key]; ok {
		return p
	}
	p := &pool{key: key, blockedRows: rowHeap{indexField: blockedIndex}, usage: usageTable{rowByTeam: map[record.Team]int{}}}
	for class := range p.classes {
		p.classes[class].byTeam = map[record.Team]*teamQueue{}
		p.lastArrival[class] = -classInUseTTL
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

// poolFor returns the pool of a request, or nil if no endpoint serves it.
func (d *Decider) poolFor(r *Request) *pool {
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

// isUnknownModel says that no endpoint has served the request's model to its team
// since the start. While nothing at all is known it is false.
func (d *Decider) isUnknownModel(r *Request) bool {
	if r.Service != "" || len(d.servedKeys) == 0 {
		return false
	}
	return !d.servedKeys[poolKey{model: r.Model, team: r.Team}] && !d.servedKeys[poolKey{model: r.Model}]
}

// expectedDuration returns the seconds that the row should take on an endpoint like its
// peers, its answer as long as it may be.
func (p *pool) expectedDuration(row *requestRow) float64 {
	if row.Service != "" || p.timePerToken <= 0 {
		return valueOr(p.slotTime, defaultSlotTime)
	}
	return p.baseFirstToken + float64(max(row.MaxTokens, 1))*p.timePerToken + row.uncached*p.prefillPerToken
}

func (p *pool) queuedCount() int {
	n := 0
	for class := range p.classes {
		n += p.classes[class].count
	}
	return n
}

// isClassInUse tells whether the class came within the last classInUse.
func (p *pool) isClassInUse(class int, now Time) bool {
	return now-p.lastArrival[class] < classInUseTTL
}

// refreshPools makes each pool's sums that admission needs.
func (d *Decider) refreshPools() {
	for _, p := range d.pools {
		if p.refreshed && d.now-p.refreshedAt < refreshInterval {
			continue
		}
		p.refreshedAt, p.refreshed = d.now, true
		p.refresh(d)
	}
}

func (p *pool) refresh(d *Decider) {
	p.freeSlots, p.usableCount, p.probesDue = [classCount]float64{}, 0, 0
	for _, e := range p.endpoints {
		if e.isProbeDue(d.now) {
			p.probesDue++
		}
		if !e.isClosed() && e.health.state != ejected {
			p.usableCount++
		}
	}
	var reserve [classCount]float64
	for class := range reserve {
		reserve[class] = d.reservedShare(p, class)
	}
	slots := 0.0
	for _, e := range p.endpoints {
		if !p.accepts(e) {
			continue
		}
		load := e.load(d.now)
		for class := 1; class < classCount; class++ {
			p.freeSlots[class] += max(0, min(e.loadLimit(reserve[class])-load, float64(e.Slots-e.inFlight)))
		}
		slots += float64(e.inFlight) + max(0, e.rampedSlots()-load)
	}
	p.usage.dropIdle(d.now)
	p.startRate = slots / valueOr(p.slotTime, defaultSlotTime)
}

// accepts tells whether the endpoint accepts ordinary work. If health has taken
// out every endpoint, none of the verdicts is believed: the trouble is then
// more likely on this side, and no answer at all would be the certain harm.
func (p *pool) accepts(e *endpointRow) bool {
	return !e.isClosed() && (p.usableCount == 0 || e.health.state != ejected)
}

// loadLimit returns up to which load a class may start at the endpoint that leaves
// the reserve, a share of the slots, to others.
func (e *endpointRow) loadLimit(reserve float64) float64 {
	slots := e.rampedSlots()
	// One slot is the least that any class may use.
	return max(1, slots-float64(int(slots*reserve+0.999)))
}

// reservedShare returns the share of an endpoint's slots that the class leaves free
// for each higher class in use: questions and calls must not wait for a
// report's whole run.
func (d *Decider) reservedShare(p *pool, class int) float64 {
	reserve := 0.0
	for higher := class + 1; higher < classCount; higher++ {
		if p.isClassInUse(higher, d.now) {
			reserve += d.opts.ReservedShare[higher]
		}
	}
	return reserve
}
