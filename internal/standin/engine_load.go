package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LoadReport is the load that an endpoint reports of itself, with a delay. It is
// the body of GET /load.
type LoadReport struct {
	Running int  `json:"running"` // Runs in a slot, or calls in progress.
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"` // 0 for a plain service.
	Leaving bool `json:"leaving"`
	// AgeMs is the age of the report, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// lagged holds a sample of a value, which is replaced by the current value once it
// is lag old, so that readers see the value with a delay.
type lagged[T any] struct {
	lag       time.Duration
	sample    T
	sampledAt time.Time
}

// view returns the sample and its age, after renewing one that is at least lag old.
func (l *lagged[T]) view(now time.Time, current func() T) (value T, age time.Duration) {
	if now.Sub(l.sampledAt) >= l.lag {
		l.sample, l.sampledAt = current(), now
	}
	return l.sample, now.Sub(l.sampledAt)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report, age := e.loadReport.view(time.Now(), func() LoadReport {
		return LoadReport{
			Running: len(e.batch.active), Queued: len(e.batch.waiting), Slots: e.opts.Slots, Leaving: e.faults.Leaving,
		}
	})
	e.mu.Unlock()
	report.AgeMs = age.Milliseconds()
	writeJSON(w, report)
}

// EngineCommand is the body of POST /orders: it makes an engine load something
// or change its role.
type EngineCommand struct {
	Kind string `json:"kind"` // "model", "adapter", "version" or "role".
	Name string `json:"name"`
}

// EngineCommands is the body of GET /orders: the commands that the engine
// applied, in order, and the highest fencing token among them.
type EngineCommands struct {
	FencingToken uint64          `json:"fencing_token"`
	LoadedModels []string        `json:"loaded"`
	Applied      []EngineCommand `json:"orders"`
}

// commandState holds the applied commands. Engine.mu guards it.
type commandState struct {
	ignoreFencingToken bool
	fencingToken       uint64
	loadedModels       []string
	applied            []EngineCommand
}

// apply applies a command and reports whether it did: a fencing token below the
// highest one seen is rejected, unless ignoreFencingToken is set.
func (s *commandState) apply(command EngineCommand, fencingToken uint64) bool {
	if fencingToken < s.fencingToken && !s.ignoreFencingToken {
		return false
	}
	s.fencingToken = max(s.fencingToken, fencingToken)
	s.applied = append(s.applied, command)
	if command.Kind == "model" && !slices.Contains(s.loadedModels, command.Name) {
		s.loadedModels = append(s.loadedModels, command.Name)
	}
	return true
}

func (s *commandState) snapshot() EngineCommands {
	return EngineCommands{FencingToken: s.fencingToken, LoadedModels: slices.Clone(s.loadedModels), Applied: slices.Clone(s.applied)}
}

func (e *Engine) handleListCommands(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	commands := e.commands.snapshot()
	e.mu.Unlock()
	writeJSON(w, commands)
}

// handlePostCommand answers with 409 if the fencing token was superseded.
func (e *Engine) handlePostCommand(w http.ResponseWriter, r *http.Request) {
	var command EngineCommand
	if !readJSON(w, r, &command) {
		return
	}
	fencingToken, err := strconv.ParseUint(r.Header.Get(headerFencingToken), 10, 64)
	if err != nil || !slices.Contains([]string{"model", "adapter", "version", "role"}, command.Kind) {
		http.Error(w, "an order needs a fencing number and a kind: model, adapter, version, role", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	applied := e.commands.apply(command, fencingToken)
	commands := e.commands.snapshot()
	e.mu.Unlock()
	if !applied {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, commands)
}
