package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// extraEvery makes a faulty engine follow 3 in 100 of its answers with an extra one, two of
	// four engines being faulty: the dose of "garble" with "extra late" is a share of 0.6 and 0.03.
	extraEvery = 33
	extraTime  = 5 * time.Second // The duration of that impairment on the sites.
)

// errNothingServed is returned if a case shows nothing, since no request was served.
var errNothingServed = errors.New("no request was served")

// tally is what the clients of a case have seen. It is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	served  int
	refused map[string]int // Status by request, of those that were answered as not run.
}

func (t *tally) add(id string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.promisesNotRun() {
		t.refused[id] = a.status
	}
	if a.status == http.StatusOK && a.err == nil {
		t.served++
	}
}

// playExtraAnswer lets two of four engines send an extra answer after some of their answers. It comes
// late, where the answer to the next request is expected. TWICE is broken by a request that runs more
// than once, REFUSED by one that is answered as not run and has run.
func playExtraAnswer(f *fleet) (broken int, err error) {
	if err := f.setState(desiredState(route("once", "/setpoint/", "unsafe", 1))); err != nil {
		return 0, err
	}
	runs := map[string]int{}
	f.onEngineLine = func(line string) {
		if id, isRun := cutLine(line, lineRuns); isRun {
			runs[id]++
		}
	}
	err = f.startSmall(func(engine int) []string {
		if hasTrouble() && engine%2 == 0 {
			return []string{"-extra-every", fmt.Sprint(extraEvery)}
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	t := &tally{refused: map[string]int{}}
	wait := f.startTraffic(extraTime, func(c *client) {
		id := c.nextID()
		t.add(id, c.send(http.MethodPost, "/setpoint/table", id, "profile"))
	})
	wait()
	f.record("%d requests were served, %d refused as not run", t.served, len(t.refused))
	if t.served == 0 {
		return 0, errNothingServed
	}
	return f.countFalseRefusals(runs, t), nil
}

// countFalseRefusals returns how many requests ran twice, or ran and were answered as not run.
func (f *fleet) countFalseRefusals(runs map[string]int, t *tally) (broken int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			broken++
			f.recordLocked("TWICE: request %s ran %d times", id, n)
		}
		if status := t.refused[id]; status != 0 {
			broken++
			f.recordLocked("REFUSED: request %s was answered %d and has run", id, status)
		}
	}
	return broken
}
