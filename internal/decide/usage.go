package decide

import (
	"math"
	"time"

	"guavapier/internal/record"
)

// usage is what a team started in a pool of late, as a decaying sum of costs.
type usage struct {
	team   record.Team
	cost   float64
	weight float64
	at     Time
}

// usageTable knows each team's share of a pool's work. Its rows are few: a
// team without work for a minute is dropped.
type usageTable struct {
	rows    []usage
	byTeam  map[record.Team]int
	total   float64
	totalAt Time
	weights float64 // Sum over the rows.
}

const (
	// usageHalfLife makes shares follow demand within seconds, but not single
	// requests.
	usageHalfLife = 5 * time.Second
	// usageForget is when a team's row is dropped.
	usageForget = 12 * usageHalfLife
)

func decayed(v float64, since time.Duration) float64 {
	return v * math.Exp2(-float64(since)/float64(usageHalfLife))
}

// add counts a start.
func (t *usageTable) add(team record.Team, weight, cost float64, now Time) {
	i, ok := t.byTeam[team]
	if !ok {
		i = len(t.rows)
		t.rows = append(t.rows, usage{team: team, at: now})
		t.byTeam[team] = i
	}
	row := &t.rows[i]
	t.weights += weight - row.weight
	row.weight = weight
	row.cost = decayed(row.cost, now-row.at) + cost
	row.at = now
	t.total = decayed(t.total, now-t.totalAt) + cost
	t.totalAt = now
}

// forget drops rows of teams without work, a few in each call.
func (t *usageTable) forget(now Time) {
	for i := len(t.rows) - 1; i >= 0; i-- {
		if now-t.rows[i].at < usageForget {
			continue
		}
		t.weights -= t.rows[i].weight
		delete(t.byTeam, t.rows[i].team)
		last := len(t.rows) - 1
		if i != last {
			t.rows[i] = t.rows[last]
			t.byTeam[t.rows[i].team] = i
		}
		t.rows = t.rows[:last]
	}
}

// over returns a team's part of the recent work against its part of the
// weights: 1 is its fair share, 0 a team that had nothing.
func (t *usageTable) over(team record.Team, weight float64, now Time) float64 {
	i, ok := t.byTeam[team]
	total := decayed(t.total, now-t.totalAt)
	if !ok || total <= 0 {
		return 0
	}
	part := decayed(t.rows[i].cost, now-t.rows[i].at) / total
	return part * max(t.weights, weight) / weight
}
