package decide

import (
	"fmt"
	"math"
	"time"

	"guavapier/internal/record"
)

// The sessions of the workload: they grow by each turn, so that the prefix
// cache decides about the work.
const (
	meanTurns  = 12
	meanThink  = 5.0
	firstInput = 2000
	turnInput  = 450
	turnOutput = 128
	patience   = 3 * time.Second
	teamCount  = 10
)

// capacity returns the requests a second that so many GPUs answer with every
// slot full and each session's prefix cached.
func capacity(gpus int) float64 {
	uncached := float64(turnInput) + float64(firstInput)/meanTurns
	step := stepBase + slotsPerGPU*stepPerSeq + stepPerToken*uncached*slotsPerGPU/turnOutput
	return float64(gpus) * slotsPerGPU / (turnOutput * step)
}

// sessions starts sessions so that their turns come at about rate a second.
func (s *sim) sessions(rate float64, until Time) {
	gap := -math.Log(1-s.rng.Float64()) * meanTurns / rate
	s.after(seconds(gap), func() {
		if s.now < until {
			s.session()
			s.sessions(rate, until)
		}
	})
}

func (s *sim) session() {
	s.seq++
	id := record.SessionID(fmt.Sprintf("s%d", s.seq))
	team := record.Team(fmt.Sprintf("t%d", s.rng.IntN(teamCount)))
	s.turn(id, team, s.between(firstInput), 1+s.rng.IntN(2*meanTurns-1))
}

// between draws from half to one and a half of mean.
func (s *sim) between(mean int) int { return mean/2 + s.rng.IntN(mean) }

func (s *sim) turn(id record.SessionID, team record.Team, prompt, turns int) {
	c := &call{wait: patience}
	c.Request = Request{
		Session: id, Team: team, Model: "m", Priority: PriorityInteractive, Repeatable: true,
		PromptTokens: prompt + s.between(turnInput), MaxTokens: s.between(turnOutput),
	}
	c.done = func(answered bool) {
		if !answered || turns <= 1 {
			return
		}
		think := -math.Log(1-s.rng.Float64()) * meanThink
		s.after(seconds(think), func() { s.turn(id, team, c.PromptTokens+c.MaxTokens, turns-1) })
	}
	s.send(c)
}
