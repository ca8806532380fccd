package decide

import (
	"math"
	"time"

	"guavapier/internal/record"
)

// teamUsage is what a team started in a pool of late, as a decaying sum of costs.
type teamUsage struct {
	team      record.Team
	cost      float64
	weight    float64
	updatedAt Time
}

// usageTable knows each team's share of a pool's work. Its rows are few: a
// team without work for a minute is dropped.
type usageTable struct {
	rows      []teamUsage
	rowByTeam map[record.Team]int
	costSum   float64
	costSumAt Time
	weightSum float64 // Sum over the rows.
}

const (
	// usageHalfLife makes shares follow demand within seconds, but not single
	// requests.
	usageHalfLife = 5 * time.Second
	// teamUsageTTL is when a team's row is dropped.
	teamUsageTTL = 12 * usageHalfLife
)

func decayed(v float64, since time.Duration) float64 {
	return v * math.Exp2(-float64(since)/float64(usageHalfLife))
}

// add counts a start.
func (t *usageTable) add(team record.Team, weight, cost float64, now Time) {
	i, ok := t.rowByTeam[team]
	if !ok {
		i = len(t.rows)
		t.rows = append(t.rows, teamUsage{team: team, updatedAt: now})
		t.rowByTeam[team] = i
	}
	row := &t.rows[i]
	t.weightSum += weight - row.weight
	row.weight = weight
	row.cost = decayed(row.cost, now-row.updatedAt) + cost
	row.updatedAt = now
	t.costSum = decayed(t.costSum, now-t.costSumAt) + cost
	t.costSumAt = now
}

// dropIdle drops rows of teams without work, a few in each call.
func (t *usageTable) dropIdle(now Time) {
	for i := len(t.rows) - 1; i >= 0; i-- {
		if now-t.rows[i].updatedAt < teamUsageTTL {
			continue
		}
		t.weightSum -= t.rows[i].weight
		delete(t.rowByTeam, t.rows[i].team)
		last := len(t.rows) - 1
		if i != last {
			t.rows[i] = t.rows[last]
			t.rowByTeam[t.rows[i].team] = i
		}
		t.rows = t.rows[:last]
	}
}

// fairShareRatio returns a team's part of the recent work against its part of the
// weights: 1 is its fair share, 0 a team that had nothing.
func (t *usageTable) fairShareRatio(team record.Team, weight float64, now Time) float64 {
	i, ok := t.rowByTeam[team]
	total := decayed(t.costSum, now-t.costSumAt)
	if !ok || total <= 0 {
		return 0
	}
	share := decayed(t.rows[i].cost, now-t.rows[i].updatedAt) / total
	return share * max(t.weightSum, weight) / weight
}
