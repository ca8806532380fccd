package decide

import (
	"math"
	"time"

	"guavapier/internal/record"
)

// teamUsage is the cost of what a team started in a pool recently, as a sum
// that decays exponentially.
type teamUsage struct {
	team      record.Team
	cost      float64 // In tokens, at updatedAt; see requestRow.cost.
	weight    float64
	updatedAt Time
}

// usageTable holds each team's share of a pool's recent work. A team that
// started nothing for a minute is dropped, so the rows are few.
type usageTable struct {
	rows      []teamUsage
	rowByTeam map[record.Team]int // Index in rows.
	costSum   float64             // Decaying cost of all teams, at costSumAt.
	costSumAt Time
	weightSum float64 // Sum of the rows' weights.
}

const (
	// usageHalfLife makes shares follow demand within seconds, but not single
	// requests.
	usageHalfLife = 5 * time.Second
	// teamUsageTTL is the time without a start after which a team is dropped.
	teamUsageTTL = 12 * usageHalfLife
)

// decayedUsage returns what is left of the usage v after the given time, which
// halves it every usageHalfLife.
func decayedUsage(v float64, since time.Duration) float64 {
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
	row.cost = decayedUsage(row.cost, now-row.updatedAt) + cost
	row.updatedAt = now
	t.costSum = decayedUsage(t.costSum, now-t.costSumAt) + cost
	t.costSumAt = now
}

// dropIdle drops the rows of teams that started nothing for teamUsageTTL.
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

// fairShareRatio returns a team's share of the recent work divided by its
// share of the weights: 1 is its fair share, and 0 a team that started
// nothing.
func (t *usageTable) fairShareRatio(team record.Team, weight float64, now Time) float64 {
	i, ok := t.rowByTeam[team]
	total := decayedUsage(t.costSum, now-t.costSumAt)
	if !ok || total <= 0 {
		return 0
	}
	share := decayedUsage(t.rows[i].cost, now-t.rows[i].updatedAt) / total
	return share * max(t.weightSum, weight) / weight
}
