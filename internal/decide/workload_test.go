package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"guavapier/internal/record"
)

const (
	// The workload consists of sessions whose prompt grows with each turn, so
	// that the hits in the prefix cache decide how much work there is. Inputs
	// and outputs are in tokens.
	meanTurns        = 12
	meanThinkSeconds = 5.0
	firstTurnInput   = 2000
	laterTurnInput   = 450
	turnOutputTokens = 128
	callerPatience   = 3 * time.Second
	teamCount        = 10
)

// capacity returns how many requests per second that many GPUs answer with
// every slot full and each session's prefix cached.
func capacity(gpus int) float64 {
	uncached := float64(laterTurnInput) + float64(firstTurnInput)/meanTurns
	step := stepBase + slotsPerGPU*stepPerSeq + stepPerToken*uncached*slotsPerGPU/turnOutputTokens
	return float64(gpus) * slotsPerGPU / (turnOutputTokens * step)
}

// startSessions starts sessions at random times up to the given time, so that
// their turns come at about rate per second.
func (s *sim) startSessions(rate float64, until Time) {
	gap := -math.Log(1-s.workloadRNG.Float64()) * meanTurns / rate
	s.after(seconds(gap), func() {
		if s.now < until {
			s.sessionCount++
			s.startSession(s.sessionCount)
			s.startSessions(rate, until)
		}
	})
}

// session is one caller's conversation.
type session struct {
	sim          *sim
	rng          *rand.Rand // Its own, so that its requests do not depend on the policy.
	id           record.SessionID
	team         record.Team
	turnsLeft    int
	promptTokens int // Of the next turn, without its new input.
}

func (s *sim) startSession(n int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)+100))
	c := &session{
		sim: s, rng: rng, id: record.SessionID(fmt.Sprintf("s%d", n)),
		team: record.Team(fmt.Sprintf("t%d", rng.IntN(teamCount))), turnsLeft: 1 + rng.IntN(2*meanTurns-1),
	}
	c.promptTokens = between(rng, firstTurnInput)
	c.turn()
}

// between returns a random number from half to one and a half of mean.
func between(rng *rand.Rand, mean int) int { return mean/2 + rng.IntN(mean) }

// turn sends the next request; after its answer and a pause, the session goes
// on.
func (c *session) turn() {
	request := &call{wait: callerPatience}
	request.Request = Request{
		Session: c.id, Team: c.team, Model: "m", Priority: PriorityInteractive, Repeatable: true,
		PromptTokens: c.promptTokens + between(c.rng, laterTurnInput), MaxTokens: between(c.rng, turnOutputTokens),
	}
	think := seconds(-math.Log(1-c.rng.Float64()) * meanThinkSeconds)
	request.done = func(answered bool) {
		c.turnsLeft--
		if !answered || c.turnsLeft == 0 {
			return
		}
		c.promptTokens = request.PromptTokens + request.MaxTokens
		c.sim.after(think, c.turn)
	}
	c.sim.send(request)
}

// startStream sends single requests, made by build, at the given rate per
// second.
func (s *sim) startStream(rate float64, from, until Time, build func() *call) {
	gap := seconds(-math.Log(1-s.workloadRNG.Float64()) / rate)
	s.after(gap, func() {
		if s.now >= until {
			return
		}
		if s.now >= from {
			s.send(build())
		}
		s.startStream(rate, from, until, build)
	})
}
