package decide

import (
	"container/heap"

	"guavapier/internal/record"
)

// teamQueue holds one team's waiting requests of one class in one pool.
type teamQueue struct {
	team         record.Team
	weight       float64 // The team's weight, from its last request.
	deficit      float64 // Tokens that the team may still start.
	rows         rowHeap // Those in the order, by latestStart.
	blockedCount int     // Blocked rows, which are not in rows.
	index        int     // Position in classQueue.teams.
}

// classQueue divides one class of a pool among teams by deficit round robin.
type classQueue struct {
	teams     []*teamQueue // Teams with waiting requests.
	byTeam    map[record.Team]*teamQueue
	freeTeams []*teamQueue // Empty queues kept for reuse.
	turn      int          // Index of the team whose turn it is.
	count     int          // Waiting rows, blocked ones included.
	// readyCount is count without the blocked rows.
	readyCount int
	// agingCredit rises with each start of a higher class. At 1 the class may
	// start one request before the higher ones; see order.
	agingCredit float64
}

const (
	// quantum is the deficit in tokens that a team of weight 1 gains in each of
	// its turns. It is about one interactive request, so that turns change
	// often.
	quantum = 512
	// agingCreditPerStart is the credit that a waiting class gains with each
	// start of a higher class in the same pool: it gets at least one start in
	// eight. More would slow interactive requests in a burst, less would stall
	// batch requests in a long busy hour.
	agingCreditPerStart = 0.125
)

// order sets the order in which each pool serves its classes in this tick:
// the higher priority first, except that a waiting class that was passed over
// eight times starts one request before the others. Without the exception
// batch requests would starve while interactive ones keep coming.
func (d *Decider) order() {
	for _, p := range d.pools {
		p.setClassOrder()
	}
}

// setClassOrder fills classOrder: first the classes with full aging credit,
// then all classes, the highest first.
func (p *pool) setClassOrder() {
	n := 0
	for class := classCount - 1; class > 0; class-- {
		if p.classes[class].agingCredit >= 1 && p.classes[class].count > 0 {
			p.classOrder[n] = class
			n++
		}
	}
	p.agedClasses = n
	for class := classCount - 1; class > 0; class-- {
		p.classOrder[n] = class
		n++
	}
}

// creditLowerClasses adds aging credit to each waiting class below that of
// the started row.
func (p *pool) creditLowerClasses(row *requestRow) {
	for class := 1; class < row.class; class++ {
		if q := &p.classes[class]; q.count > 0 {
			q.agingCredit = min(q.agingCredit+agingCreditPerStart, 1)
		}
	}
}

// push adds an admitted row to its team's queue. weight is the team's.
func (p *pool) push(row *requestRow, weight float64) {
	q := &p.classes[row.class]
	t, ok := q.byTeam[row.Team]
	if !ok {
		t = q.newTeam(row.Team)
	}
	t.weight = weight
	row.queue = t
	heap.Push(&t.rows, row)
	q.count++
	q.readyCount++
}

func (q *classQueue) newTeam(team record.Team) *teamQueue {
	var t *teamQueue
	if n := len(q.freeTeams); n > 0 {
		t, q.freeTeams = q.freeTeams[n-1], q.freeTeams[:n-1]
	} else {
		t = &teamQueue{rows: rowHeap{indexField: teamIndex}}
	}
	t.team, t.deficit, t.index = team, 0, len(q.teams)
	q.teams = append(q.teams, t)
	q.byTeam[team] = t
	return t
}

// remove takes a row out of its team's queue or, if it is blocked, out of its
// wait list.
func (p *pool) remove(row *requestRow) {
	q := &p.classes[row.class]
	t := row.queue
	if row.waitList != nil {
		heap.Remove(row.waitList, row.heapIndex[blockedIndex])
		row.waitList = nil
		t.blockedCount--
	} else {
		heap.Remove(&t.rows, row.heapIndex[teamIndex])
		q.readyCount--
	}
	row.queue = nil
	q.count--
	if q.count == 0 {
		q.agingCredit = 0
	}
	if t.rows.Len() == 0 && t.blockedCount == 0 {
		q.dropTeam(t)
	}
}

// dropTeam removes a team without waiting requests and its deficit. An idle
// team saves nothing up, so a later burst gets its fair share and no more.
func (q *classQueue) dropTeam(t *teamQueue) {
	copy(q.teams[t.index:], q.teams[t.index+1:])
	q.teams = q.teams[:len(q.teams)-1]
	for i := t.index; i < len(q.teams); i++ {
		q.teams[i].index = i
	}
	if q.turn > t.index {
		q.turn--
	}
	delete(q.byTeam, t.team)
	q.freeTeams = append(q.freeTeams, t)
}

// nextTeam returns the team whose turn it is, with enough deficit for its
// next request, or nil if no team has a request in the order.
func (q *classQueue) nextTeam() *teamQueue {
	if q.readyCount == 0 {
		return nil
	}
	for {
		if q.turn >= len(q.teams) {
			q.turn = 0
		}
		t := q.teams[q.turn]
		if t.rows.Len() == 0 {
			q.turn++
			continue
		}
		if t.deficit >= t.rows.rows[0].cost() {
			return t
		}
		t.deficit += quantum * t.weight
		q.turn++
	}
}

// waitingCount returns the number of the team's rows, blocked ones included.
func (t *teamQueue) waitingCount() float64 { return float64(t.rows.Len() + t.blockedCount) }

// fairShareAhead returns how many requests of the class start before the next
// one of a team with the given weight: all of the team's own, and of each
// other team as many as its weight allows meanwhile. So a team that floods
// the queue delays only itself.
func (q *classQueue) fairShareAhead(team record.Team, weight float64) float64 {
	own := 0.0
	if t, ok := q.byTeam[team]; ok {
		own = t.waitingCount()
	}
	ahead := own
	for _, t := range q.teams {
		if t.team != team {
			ahead += min(t.waitingCount(), (own+1)*t.weight/weight)
		}
	}
	return ahead
}

// block takes a row out of the order until unblock; it stays queued.
func (q *classQueue) block(row *requestRow) {
	heap.Remove(&row.queue.rows, row.heapIndex[teamIndex])
	row.queue.blockedCount++
	q.readyCount--
}

// unblock returns a blocked row to the order.
func (q *classQueue) unblock(row *requestRow) {
	heap.Push(&row.queue.rows, row)
	row.queue.blockedCount--
	q.readyCount++
}
