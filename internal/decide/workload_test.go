package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
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
	gap := -math.Log(1-s.load.Float64()) * meanTurns / rate
	s.after(seconds(gap), func() {
		if s.now < until {
			s.started++
			s.session(s.started)
			s.sessions(rate, until)
		}
	})
}

// session is one caller's conversation.
type session struct {
	sim    *sim
	rng    *rand.Rand // Its own: what it asks depends on no policy.
	id     record.SessionID
	team   record.Team
	turns  int // Left.
	prompt int
}

func (s *sim) session(n int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)+100))
	c := &session{
		sim: s, rng: rng, id: record.SessionID(fmt.Sprintf("s%d", n)),
		team: record.Team(fmt.Sprintf("t%d", rng.IntN(teamCount))), turns: 1 + rng.IntN(2*meanTurns-1),
	}
	c.prompt = between(rng, firstInput)
	c.turn()
}

// between draws from half to one and a half of mean.
func between(rng *rand.Rand, mean int) int { return mean/2 + rng.IntN(mean) }

func (c *session) turn() {
	ask := &call{wait: patience}
	ask.Request = Request{
		Session: c.id, Team: c.team, Model: "m", Priority: PriorityInteractive, Repeatable: true,
		PromptTokens: c.prompt + between(c.rng, turnInput), MaxTokens: between(c.rng, turnOutput),
	}
	think := seconds(-math.Log(1-c.rng.Float64()) * meanThink)
	ask.done = func(answered bool) {
		c.turns--
		if !answered || c.turns == 0 {
			return
		}
		c.prompt = ask.PromptTokens + ask.MaxTokens
		c.sim.after(think, c.turn)
	}
	c.sim.send(ask)
}

// stream sends single requests at a rate, made by build.
func (s *sim) stream(rate float64, from, until Time, build func() *call) {
	gap := seconds(-math.Log(1-s.load.Float64()) / rate)
	s.after(gap, func() {
		if s.now >= until {
			return
		}
		if s.now >= from {
			s.send(build())
		}
		s.stream(rate, from, until, build)
	})
}
