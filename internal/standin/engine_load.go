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
	lag     time.Duration
	shown   T
	shownAt time.Time
}

func (l *lagged[T]) view(now time.Time, current func() T) (value T, age time.Duration) {
	if now.Sub(l.shownAt) >= l.lag {
		l.shown, l.shownAt = current(), now
	}
	return l.shown, now.Sub(l.shownAt)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report, age := e.report.view(time.Now(), func() LoadReport {
		return LoadReport{
			Running: len(e.batch.active), Queued: len(e.batch.waiting), Slots: e.opts.Slots, Leaving: e.faults.Leaving,
		}
	})
	e.mu.Unlock()
	report.AgeMs = age.Milliseconds()
	writeJSON(w, report)
}

// EngineOrder asks an engine to load something or to change its role.
type EngineOrder struct {
	Kind string `json:"kind"` // model, adapter, version or role.
	Name string `json:"name"`
}

// EngineOrders is what the engine obeyed.
type EngineOrders struct {
	Fence  uint64        `json:"fencing_token"`
	Loaded []string      `json:"loaded"`
	Orders []EngineOrder `json:"orders"`
}

type orders struct {
	ignoreFence bool
	fence       uint64
	loaded      []string
	obeyed      []EngineOrder
}

// obey takes an order unless its fencing number is older than the newest seen.
func (o *orders) obey(order EngineOrder, fence uint64) bool {
	if fence < o.fence && !o.ignoreFence {
		return false
	}
	o.fence = max(o.fence, fence)
	o.obeyed = append(o.obeyed, order)
	if order.Kind == "model" && !slices.Contains(o.loaded, order.Name) {
		o.loaded = append(o.loaded, order.Name)
	}
	return true
}

func (o *orders) view() EngineOrders {
	return EngineOrders{Fence: o.fence, Loaded: slices.Clone(o.loaded), Orders: slices.Clone(o.obeyed)}
}

func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	view := e.orders.view()
	e.mu.Unlock()
	writeJSON(w, view)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get(headerFence), 10, 64)
	if err != nil || !slices.Contains([]string{"model", "adapter", "version", "role"}, order.Kind) {
		http.Error(w, "an order needs a fencing number and a kind: model, adapter, version, role", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	obeyed := e.orders.obey(order, fence)
	view := e.orders.view()
	e.mu.Unlock()
	if !obeyed {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, view)
}
