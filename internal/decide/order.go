package decide

import (
	"container/heap"

	"guavapier/internal/record"
)

// teamQueue holds one team's waiting requests of one class in one pool.
type teamQueue struct {
	team    record.Team
	weight  float64
	deficit float64
	rows    rowHeap
	hidden  int // Parked rows, which are not in rows.
	pos     int // In classQueue.teams.
}

// classQueue shares one class of a pool between teams by deficit round robin.
type classQueue struct {
	teams  []*teamQueue // Those with waiting requests.
	byTeam map[record.Team]*teamQueue
	spare  []*teamQueue
	turn   int
	count  int // Of rows, the hidden ones included.
	// visible is count without the hidden rows.
	visible int
	// credit lets a lower class go first now and then; see order.
	credit float64
}

const (
	// quantum is the work that a team of weight 1 may start in its turn, in
	// tokens: about one question, so that turns change often.
	quantum = 512
	// ageingCredit is what a waiting lower class gains with each start of a
	// higher one in the same pool: one start in eight goes to it at least.
	// More would slow questions in a burst, less would stall reports in a long
	// busy hour.
	ageingCredit = 0.125
)

// order serves a busy hour in which one team, or one class, could take all
// slots. It gives every pool its class order for this tick: higher priority
// first, but a lower class that has been passed over eight times goes first
// once. Without it reports would starve while questions keep coming.
func (d *Decider) order() {
	for _, p := range d.pools {
		p.setOrder()
	}
}

func (p *pool) setOrder() {
	n := 0
	for class := classCount - 1; class > 0; class-- {
		if p.classes[class].credit >= 1 && p.classes[class].count > 0 {
			p.classOrder[n] = class
			n++
		}
	}
	p.aged = n
	for class := classCount - 1; class > 0; class-- {
		p.classOrder[n] = class
		n++
	}
}

// charge pays for a started row: its team's deficit, its class's credit.
func (p *pool) charge(row *requestRow) {
	for class := 1; class < row.class; class++ {
		if q := &p.classes[class]; q.count > 0 {
			q.credit = min(q.credit+ageingCredit, 1)
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
	row.team = t
	heap.Push(&t.rows, row)
	q.count++
	q.visible++
}

func (q *classQueue) newTeam(team record.Team) *teamQueue {
	var t *teamQueue
	if n := len(q.spare); n > 0 {
		t, q.spare = q.spare[n-1], q.spare[:n-1]
	} else {
		t = &teamQueue{rows: rowHeap{index: teamIndex}}
	}
	t.team, t.deficit, t.pos = team, 0, len(q.teams)
	q.teams = append(q.teams, t)
	q.byTeam[team] = t
	return t
}

func (p *pool) remove(row *requestRow) {
	q := &p.classes[row.class]
	t := row.team
	if row.parked != nil {
		heap.Remove(row.parked, row.index[parkIndex])
		row.parked = nil
		t.hidden--
	} else {
		heap.Remove(&t.rows, row.index[teamIndex])
		q.visible--
	}
	row.team = nil
	q.count--
	if q.count == 0 {
		q.credit = 0
	}
	if t.rows.Len() == 0 && t.hidden == 0 {
		q.dropTeam(t)
	}
}

// dropTeam forgets an idle team and its deficit: an idle team saves nothing up,
// so a burst of its own later gets its share and no more.
func (q *classQueue) dropTeam(t *teamQueue) {
	copy(q.teams[t.pos:], q.teams[t.pos+1:])
	q.teams = q.teams[:len(q.teams)-1]
	for i := t.pos; i < len(q.teams); i++ {
		q.teams[i].pos = i
	}
	if q.turn > t.pos {
		q.turn--
	}
	delete(q.byTeam, t.team)
	q.spare = append(q.spare, t)
}

// turnOf returns the team whose turn it is, with deficit for its next request,
// or nil if no team waits.
func (q *classQueue) turnOf() *teamQueue {
	if q.visible == 0 {
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

// waiting returns the team's rows, the parked ones included.
func (t *teamQueue) waiting() float64 { return float64(t.rows.Len() + t.hidden) }

// shareAhead returns how many requests go before the next one of a team of the
// given weight: its own, and of each other team as many as its weight allows
// meanwhile. So a team that floods the queue makes only itself wait.
func (q *classQueue) shareAhead(team record.Team, weight float64) float64 {
	own := 0.0
	if t, ok := q.byTeam[team]; ok {
		own = t.waiting()
	}
	ahead := own
	for _, t := range q.teams {
		if t.team != team {
			ahead += min(t.waiting(), (own+1)*t.weight/weight)
		}
	}
	return ahead
}

// hide takes a row out of the order until show; the row stays queued.
func (q *classQueue) hide(row *requestRow) {
	heap.Remove(&row.team.rows, row.index[teamIndex])
	row.team.hidden++
	q.visible--
}

func (q *classQueue) show(row *requestRow) {
	heap.Push(&row.team.rows, row)
	row.team.hidden--
	q.visible++
}
