package decide

import (
	"cmp"
	"slices"
	"time"

	"guavapier/internal/record"
)

// poolKey identifies a kind of request. team is set where a team has
// endpoints of its own for it; that pool holds the shared endpoints too.
type poolKey struct {
	service string
	model   string
	team    record.Team
}

// pool holds all endpoints that serve one kind of request, and the queue for
// them.
type pool struct {
	key       poolKey
	endpoints []*endpointRow // Sorted by name.
	sameZone  []*endpointRow // Those in the instance's own zone.
	rankKeys  []rankKey      // Of endpoints, at the same indices; contiguous for rankEndpoints.
	maxSlots  int            // The most slots of one endpoint.
	// batchEndpoints holds the endpoints that take batch requests while a higher
	// class is in use; nil if the pool is too small to be divided.
	batchEndpoints map[*endpointRow]bool
	classes        [classCount]classQueue
	startsByClass  [classCount]uint64 // Since the pool was made.

	blockedRows rowHeap             // Rows that wait for any endpoint they don't avoid.
	classOrder  [2 * classCount]int // Classes in the order of this tick; see order.
	agedClasses int                 // How many entries at the start of classOrder are there by aging.

	slotTime, baseFirstToken, prefillPerToken, timePerToken float64 // Averages over the endpoints, in seconds.
	usage                                                   usageTable
	lastArrival                                             [classCount]Time    // When the last request of the class came.
	freeSlots                                               [classCount]float64 // For each class, at refreshedAt.
	startRate                                               float64             // Starts per second when all slots are busy.
	usableCount                                             int                 // Endpoints that are neither closed nor ejected.
	probesDue                                               int                 // Endpoints that wait for a probe.
	refreshedAt                                             Time
	refreshed                                               bool
	outliersCheckedAt                                       Time
	medianScratch                                           []float64
	nextRetryAt                                             Time // The place of the last refused caller; see scheduleRetry.
}

// rankKey is the input of the rendezvous hashing for an endpoint.
type rankKey struct {
	hash   uint64
	weight float64
}

const (
	// refreshInterval bounds how often a pool's sums are computed. It is a few
	// steps of an engine; reports come a tenth as often.
	refreshInterval = 10 * time.Millisecond
	// batchEndpointShare is the share of a pool's endpoints that take batch
	// requests while a higher class is in use. A long prompt makes every step of
	// its batch several times as long, so interactive requests beside it are
	// slow however many slots are reserved for them; the other half of the
	// endpoints stays free of that. A pool of fewer than minEndpointsToPartition
	// endpoints only divides slots.
	batchEndpointShare      = 0.5
	minEndpointsToPartition = 4
	batchHashSeed           = 0x6c6f6e67
	// classInUseTTL is how long a class counts as in use after its last request.
	// Slots are reserved for it that long.
	classInUseTTL = time.Minute
)

// rebuildPools assigns the endpoints of the table to pools. Pools keep their
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

// selectBatchEndpoints chooses the endpoints for batch requests by hash: all
// instances choose the same ones, and few change when the table changes.
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

// acceptsClass reports whether a request of the class may start at the
// endpoint: batch requests only at some endpoints while a higher class is in
// use.
func (p *pool) acceptsClass(e *endpointRow, class int, now Time) bool {
	if class > int(PriorityBatch) || p.batchEndpoints == nil || p.batchEndpoints[e] {
		return true
	}
	return !p.isClassInUse(int(PriorityInteractive), now) && !p.isClassInUse(int(PriorityCall), now)
}

// ensurePool returns the pool of the key and makes it if there is none.
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

// poolKeys returns the keys of the requests that the endpoint serves.
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

// serves reports whether the endpoint belongs to the pool of the key.
func (e *endpointRow) serves(key poolKey) bool {
	if e.Service != key.service || e.Team != "" && e.Team != key.team {
		return false
	}
	return e.Service != "" || slices.Contains(e.Models, key.model)
}

// poolFor returns the pool of a request, the team's own before the shared
// one, or nil if no endpoint serves it.
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

// isUnknownModel reports whether no endpoint has served the request's model
// to its team since the start. It is false as long as no endpoint was ever
// listed.
func (d *Decider) isUnknownModel(r *Request) bool {
	if r.Service != "" || len(d.servedKeys) == 0 {
		return false
	}
	return !d.servedKeys[poolKey{model: r.Model, team: r.Team}] && !d.servedKeys[poolKey{model: r.Model}]
}

// expectedDuration returns the seconds that the row should take at an average
// endpoint of the pool if its answer is as long as allowed.
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

// isClassInUse reports whether a request of the class came within the last
// classInUseTTL.
func (p *pool) isClassInUse(class int, now Time) bool {
	return now-p.lastArrival[class] < classInUseTTL
}

// refreshPools computes the sums of each pool that admission needs, unless
// they are newer than refreshInterval.
func (d *Decider) refreshPools() {
	for _, p := range d.pools {
		if p.refreshed && d.now-p.refreshedAt < refreshInterval {
			continue
		}
		p.refreshedAt, p.refreshed = d.now, true
		p.refresh(d)
	}
}

// refresh computes the pool's free slots, start rate and numbers of
// endpoints.
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

// accepts reports whether the endpoint takes regular requests, not only
// probes. If every endpoint is ejected, they all take requests: the fault is
// then more likely on this side, and refusing everything would do certain
// harm.
func (p *pool) accepts(e *endpointRow) bool {
	return !e.isClosed() && (p.usableCount == 0 || e.health.state != ejected)
}

// loadLimit returns the load up to which a class may start at the endpoint
// that leaves the reserve, a share of the slots, to higher classes.
func (e *endpointRow) loadLimit(reserve float64) float64 {
	slots := e.rampedSlots()
	// Every class may use at least one slot.
	return max(1, slots-float64(int(slots*reserve+0.999)))
}

// reservedShare returns the share of an endpoint's slots that the class
// leaves free for all higher classes in use, which must not wait until a
// batch request ends.
func (d *Decider) reservedShare(p *pool, class int) float64 {
	reserve := 0.0
	for higher := class + 1; higher < classCount; higher++ {
		if p.isClassInUse(higher, d.now) {
			reserve += d.opts.ReservedShare[higher]
		}
	}
	return reserve
}
