package placement

import (
	"math"
	"time"
)

const (
	// maxHomes is the number of endpoints that a prompt may have as homes.
	maxHomes = 3
	// longSharedTokens is the length of shared parts from which on the homes go by speed: reading
	// that many takes longer than some requests may wait.
	longSharedTokens = 2000.0
	// furtherHomeCacheProbability is the assumed probability that a home after the first has the
	// shared parts cached while it is in use, although no send is known.
	furtherHomeCacheProbability = 0.7
)

// findHomes sets the endpoints that all instances choose for a prompt without communicating: those
// with the highest hashes of the prompt's last shared part and the endpoint's ID (rendezvous
// hashing). The last part of a prompt belongs to the request alone; without a shared part there
// are none.
//
// An endpoint with a request limit is preferred only if all have one: it could take few of
// its prompts, which move to another endpoint each.
//
// If each instance chose for itself, the shared parts would be computed at a
// different endpoint for each. Instances that a network partition cuts off from an
// availability zone agree on another endpoint that they can reach.
//
// For prompts with long shared parts, endpoints that are known to be much faster are chosen more
// often, so that these prompts need not leave a slow home, and short ones seldom wait behind them.
func (t *Table) findHomes(q *Query, now time.Duration) {
	q.isTimed = t.isTimed(q, now)
	if len(q.Parts) < 2 {
		return
	}
	key := q.keys[len(q.keys)-2]
	isLong := q.isTimed && q.sharedTokens() >= longSharedTokens
	var scores [maxHomes]float64
	limited := false
	for _, e := range t.byService[q.Service] {
		if !e.mayBePreferred(now) || e.quota.IsBound() && !limited && q.homes[0] != nil {
			continue
		}
		if limited && !e.quota.IsBound() {
			q.homes, scores = [maxHomes]*endpointState{}, [maxHomes]float64{}
		}
		limited = e.quota.IsBound()
		score := float64(mixHash(key^e.idHash)>>11) / (1 << 53)
		if isLong {
			weight := e.prefillSpeed.Weight()
			score = weightedScore(score, weight*weight)
		}
		q.insertHome(&scores, e, score)
	}
	q.preferred = q.homes[0]
	q.activeHomes = 1
	if q.isTimed {
		q.countActiveHomes(now)
	}
}

// sharedTokens returns the tokens of all parts but the last.
func (q *Query) sharedTokens() float64 {
	return q.totalTokens - float64(q.Parts[len(q.Parts)-1].Tokens)
}

// weightedScore returns the score by which an endpoint of this weight is chosen in proportion to it
// (weighted rendezvous hashing), from a score between 0 and 1 by which all are chosen alike. It
// keeps the order of endpoints of one weight.
func weightedScore(score, weight float64) float64 {
	if weight == 1 {
		return score
	}
	return math.Pow(score, 1/weight)
}

// insertHome inserts an endpoint among the homes if its score is high enough.
func (q *Query) insertHome(scores *[maxHomes]float64, e *endpointState, score float64) {
	for i := range q.homes {
		if q.homes[i] == nil || score > scores[i] {
			copy(q.homes[i+1:], q.homes[i:maxHomes-1])
			copy(scores[i+1:], scores[i:maxHomes-1])
			q.homes[i], scores[i] = e, score
			return
		}
	}
}

// countActiveHomes puts a further home into use where the wait at those before it costs more than
// reading the shared parts once more there. All instances know of about the same load, so they
// agree, and go back to fewer homes once the load is gone.
func (q *Query) countActiveHomes(now time.Duration) {
	shared := q.sharedTokens()
	cheapest := q.homes[0]
	for _, next := range q.homes[1:] {
		if cheapest == nil || next == nil {
			return
		}
		readMS := shared * next.prompts.speed.MSPerToken(&next.prefillSpeed)
		if cheapest.occupancyMS(q, now) <= next.occupancyMS(q, now)+readMS {
			return
		}
		q.activeHomes++
		if next.occupancyMS(q, now) < cheapest.occupancyMS(q, now) {
			cheapest = next
		}
	}
}

// occupancyMS returns what the load of the endpoint costs any request.
func (e *endpointState) occupancyMS(q *Query, now time.Duration) float64 {
	load, _ := e.sharedLoad(q, now)
	return load.OccupancyMS()
}

// isHome reports whether the endpoint is a home that is in use.
func (q *Query) isHome(e *endpointState) bool {
	for _, home := range q.homes[:q.activeHomes] {
		if home == e {
			return true
		}
	}
	return false
}
