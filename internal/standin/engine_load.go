package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LoadReport is an endpoint's own, lagging word about its load.
type LoadReport struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
	// AgeMs is how old the report is.
	AgeMs int64 `json:"age_ms"`
}

// lagged shows a value as it was up to lag ago.
type lagged[T any] struct {
	lag       time.Duration
	sample    T
	sampledAt time.Time
}

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

// EngineCommand asks an engine to load something or to change its role.
type EngineCommand struct {
	Kind string `json:"kind"` // model, adapter, version or role.
	Name string `json:"name"`
}

// EngineCommands is what the engine obeyed.
type EngineCommands struct {
	FencingToken uint64          `json:"fencing_token"`
	LoadedModels []string        `json:"loaded"`
	Applied      []EngineCommand `json:"orders"`
}

type commandState struct {
	ignoreFencingToken bool
	fencingToken       uint64
	loadedModels       []string
	applied            []EngineCommand
}

// apply takes an order unless its fencing number is older than the newest seen.
func (o *commandState) apply(command EngineCommand, fencingToken uint64) bool {
	if fencingToken < o.fencingToken && !o.ignoreFencingToken {
		return false
	}
	o.fencingToken = max(o.fencingToken, fencingToken)
	o.applied = append(o.applied, command)
	if command.Kind == "model" && !slices.Contains(o.loadedModels, command.Name) {
		o.loadedModels = append(o.loadedModels, command.Name)
	}
	return true
}

func (o *commandState) snapshot() EngineCommands {
	return EngineCommands{FencingToken: o.fencingToken, LoadedModels: slices.Clone(o.loadedModels), Applied: slices.Clone(o.applied)}
}

func (e *Engine) handleListCommands(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	commands := e.commands.snapshot()
	e.mu.Unlock()
	writeJSON(w, commands)
}

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
	view := e.commands.snapshot()
	e.mu.Unlock()
	if !applied {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, view)
}
