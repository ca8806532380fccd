package decide

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"guavapier/internal/record"
)

// TestScenarios runs the cases in testdata/scenarios. Each drives six
// instances with lagging load reports in front of simulated engines, for
// three seeds, and states bounds for what the callers of each class see. The
// output lists the bounds that were missed.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		var earlier [seedCount]map[string]*sim
		for i := range earlier {
			earlier[i] = map[string]*sim{}
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "run" {
				t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			}
			var runs [seedCount]*scenarioRun
			var group sync.WaitGroup
			for i := range runs {
				runs[i] = &scenarioRun{d: d, seed: uint64(i + 1), earlier: earlier[i]}
				group.Go(runs[i].run)
			}
			group.Wait()
			var failures strings.Builder
			for _, p := range runs {
				for _, m := range p.failures {
					fmt.Fprintf(&failures, "seed %d: %s\n", p.seed, m)
				}
			}
			if failures.Len() == 0 {
				return "ok\n"
			}
			return failures.String()
		})
	})
}

const seedCount = 3

// maxSettleTime is the longest time from the end of the workload until the
// last caller has its answer or has given up.
const maxSettleTime = 500 * time.Second

// scenarioRun is one run of a case with one seed.
type scenarioRun struct {
	d        *datadriven.TestData
	seed     uint64
	earlier  map[string]*sim // Runs of earlier cases, by the case's name.
	sim      *sim
	until    Time // End of the workload.
	failures []string
}

var classNames = map[string]Priority{"batch": PriorityBatch, "interactive": PriorityInteractive, "call": PriorityCall}

func (p *scenarioRun) run() {
	sizes, load := p.arg("sizes", "equal"), p.parseNumber(p.arg("load", "0"))
	from, until, name := p.arg("from", "20s"), p.arg("until", "60s"), p.arg("name", "")
	gpus := map[string][]int{"equal": {2, 2, 2, 2, 2, 2, 2, 2}, "mixed": {1, 1, 2, 2, 3, 3, 4}, "small": {2, 2, 2, 2}, "few": {1, 1}}[sizes]
	p.sim = newSim(p.seed, gpus, instances, func(i int) router {
		return New(Options{Seed: p.seed*100 + uint64(i), Zone: record.Zone(fmt.Sprintf("z%d", i%4))})
	})
	p.sim.windowStart, p.until = p.parseDuration(from), p.parseDuration(until)
	p.sim.windowEnd = p.until
	if load > 0 {
		total := 0
		for _, n := range gpus {
			total += n
		}
		p.sim.startSessions(load*capacity(total), p.until)
	}
	lines := strings.Split(strings.TrimSpace(p.d.Input), "\n")
	for _, line := range lines {
		if !strings.HasPrefix(line, "expect") {
			p.applyLine(strings.Fields(line))
		}
	}
	for p.sim.run(p.until); p.sim.openCalls > 0; p.sim.run(p.sim.now + time.Second) {
		if p.sim.now > p.until+maxSettleTime {
			p.failures = append(p.failures, fmt.Sprintf("%d calls without a final outcome", p.sim.openCalls))
			break
		}
	}
	p.earlier[name] = p.sim
	p.failures = append(p.failures, p.sim.violations...)
	for _, line := range lines {
		if strings.HasPrefix(line, "expect") {
			p.expect(strings.Fields(line)[1:])
		}
	}
}

// malformed stops the test because of a malformed case.
func (p *scenarioRun) malformed(format string, args ...any) {
	panic(p.d.Pos + ": " + fmt.Sprintf(format, args...))
}

// arg returns an argument of the command, or its default.
func (p *scenarioRun) arg(key, def string) string {
	for _, a := range p.d.CmdArgs {
		if a.Key == key {
			return a.Vals[0]
		}
	}
	return def
}

func (p *scenarioRun) parseDuration(s string) time.Duration {
	v, err := time.ParseDuration(s)
	if err != nil {
		p.malformed("%v", err)
	}
	return v
}

func (p *scenarioRun) parseNumber(s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		p.malformed("%v", err)
	}
	return v
}

// applyLine applies a line of the input: a team's weight, a stream of
// requests, or a fault.
func (p *scenarioRun) applyLine(f []string) {
	switch f[0] {
	case "weight": // weight TEAM WEIGHT
		for _, r := range p.sim.routers {
			r.(*Decider).SetTeamWeight(record.Team(f[1]), p.parseNumber(f[2]))
		}
	case "stream", "hot": // stream CLASS TEAM RATE PROMPT OUTPUT WAIT [FROM UNTIL]; hot: all in one session.
		p.startStream(f)
	case "at": // at TIME slow|leave|cut ENDPOINT|ZONE [FACTOR]
		p.sim.after(p.parseDuration(f[1]), func() { p.injectFault(f[2:]) })
	default:
		p.malformed("unknown line %v", f)
	}
}

func (p *scenarioRun) startStream(f []string) {
	from, until := Time(0), p.until
	if len(f) > 7 {
		from, until = p.parseDuration(f[7]), p.parseDuration(f[8])
	}
	prompt, output, wait := int(p.parseNumber(f[4])), int(p.parseNumber(f[5])), p.parseDuration(f[6])
	p.sim.startStream(p.parseNumber(f[3]), from, until, func() *call {
		c := &call{wait: wait, done: func(bool) {}}
		c.Request = Request{
			Team: record.Team(f[2]), Model: "m", Priority: classNames[f[1]], Repeatable: f[1] != "call",
			Session:      map[string]record.SessionID{"hot": "hot"}[f[0]],
			PromptTokens: between(p.sim.workloadRNG, prompt), MaxTokens: between(p.sim.workloadRNG, output),
		}
		return c
	})
}

// injectFault slows an endpoint down, lets it leave, or cuts it off. The
// running requests of an endpoint that is cut off fail two seconds later.
func (p *scenarioRun) injectFault(f []string) {
	for _, e := range p.sim.engines {
		if f[1] != e.name && f[1] != p.sim.zone(e) {
			continue
		}
		switch f[0] {
		case "slow":
			e.slowdown = p.parseNumber(f[2])
		case "leave":
			e.leaving = true
		case "cut":
			e.unreachable = true
			for _, j := range append(e.active, e.waiting...) {
				p.sim.after(2*time.Second, func() { p.sim.fail(j) })
			}
			e.active, e.waiting = nil, nil
		}
	}
	p.sim.publishEndpoints(func(e *engineModel) float64 { return float64(e.gpus) })
}

// expect checks CLASS MEASURE OP VALUE, or CLASS MEASURE OP FACTOR of NAME,
// which multiplies the measure of an earlier case.
func (p *scenarioRun) expect(f []string) {
	got := p.measure(p.sim, f[0], f[1])
	want := p.parseNumber(f[3])
	if len(f) > 4 {
		want *= p.measure(p.earlier[f[5]], f[0], f[1])
	}
	if f[2] == ">=" && got >= want || f[2] == "<=" && got <= want {
		return
	}
	p.failures = append(p.failures, fmt.Sprintf("%s: got %.4g, bound %.4g", strings.Join(f, " "), got, want))
}

func (p *scenarioRun) measure(s *sim, class, measure string) float64 {
	if teams := strings.Split(measure, "/"); len(teams) == 2 { // Answers of one team divided by another's.
		return float64(s.teams[record.Team(teams[0])]) / float64(s.teams[record.Team(teams[1])])
	}
	if e, ok := s.byName[class]; ok { // Answers of an endpoint in the last tailWindow.
		return float64(e.tailAnswers)
	}
	t := s.classes[classNames[class]]
	if t.calls == 0 {
		p.malformed("no calls of class %q", class)
	}
	switch measure {
	case "answered": // Share of the callers.
		return float64(t.served) / float64(t.calls)
	case "answers":
		return float64(t.answered)
	case "vain": // Callers that got neither an answer nor a refusal.
		return float64(t.unanswered)
	case "vainshare":
		return float64(t.unanswered) / float64(t.calls)
	case "late": // Share of the callers refused, but not at once.
		return float64(t.refusedLate) / float64(t.calls)
	case "refused":
		return float64(t.refused) / float64(t.calls)
	case "slow": // Share of the answers with too much time between tokens.
		return float64(t.slowCompleted) / float64(t.completed)
	case "p99": // Seconds to the first token.
		return quantile(t.firstTokens, 0.99)
	}
	p.malformed("unknown measure %s", measure)
	return 0
}
