package decide

import (
	"container/heap"

	"guavapier/internal/record"
)

// teamQueue holds one team's waiting requests of one class in one pool.
type teamQueue struct {
	team         record.Team
	weight       float64
	deficit      float64
	rows         rowHeap
	blockedCount int // Parked rows, which are not in rows.
	index        int // In classQueue.teams.
}

// classQueue shares one class of a pool between teams by deficit round robin.
type classQueue struct {
	teams     []*teamQueue // Those with waiting requests.
	byTeam    map[record.Team]*teamQueue
	freeTeams []*teamQueue
	turn      int
	count     int // Of rows, the hidden ones included.
	// readyCount is count without the hidden rows.
	readyCount int
	// agingCredit lets a lower class go first now and then; see order.
	agingCredit float64
}

const (
	// quantum is the work that a team of weight 1 may start in its turn, in
	// tokens: about one question, so that turns change often.
	quantum = 512
	// agingCreditPerStart is what a waiting lower class gains with each start of a
	// higher one in the same pool: one start in eight goes to it at least.
	// More would slow questions in a burst, less would stall reports in a long
	// busy hour.
	agingCreditPerStart = 0.125
)

// order serves a busy hour in which one team, or one class, could take all
// slots. It gives every pool its class order for this tick: higher priority
// first, but a lower class that has been passed over eight times goes first
// once. Without it reports would starve while questions keep coming.
func (d *Decider) order() {
	for _, p := range d.pools {
		p.setClassOrder()
	}
}

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

// creditLowerClasses pays for a started row: its team's deficit, its class's credit.
func (p *pool) creditLowerClasses(row *requestRow) {
	for class := 1; class < row.class; class++ {
		if q := &p.classes[class]; q.count > 0 {
			q.agingCredit = min(q.agingCredit+agingCreditPerStart, 1)
		}
	}
}

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

// dropTeam forgets an idle team and its deficit: an idle team saves nothing up,
// so a burst of its own later gets its share and no more.
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

// nextTeam returns the team whose turn it is, with deficit for its next request,
// or nil if no team waits.
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

// waitingCount returns the team's rows, the parked ones included.
func (t *teamQueue) waitingCount() float64 { return float64(t.rows.Len() + t.blockedCount) }

// fairShareAhead returns how many requests go before the next one of a team of the
// given weight: its own, and of each other team as many as its weight allows
// meanwhile. So a team that floods the queue makes only itself wait.
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

// block takes a row out of the order until show; the row stays queued.
func (q *classQueue) block(row *requestRow) {
	heap.Remove(&row.queue.rows, row.heapIndex[teamIndex])
	row.queue.blockedCount++
	q.readyCount--
}

func (q *classQueue) unblock(row *requestRow) {
	heap.Push(&row.queue.rows, row)
	row.queue.blockedCount--
	q.readyCount++
}
