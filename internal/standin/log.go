// Package standin has small stand-ins for the outside systems: the platform's
// log and instance list, a model engine and a plain service. They speak the
// real protocols over HTTP and have the real faults, which are switched over
// HTTP at /faults while they run. They are for tests and first runs only.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const maxBodyBytes = 1 << 20

// PlatformFaults are the switchable faults of the platform stand-in.
type PlatformFaults struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// SlowMs delays every answer.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers makes the next n appends take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// PlatformOptions set the size of the platform stand-in.
type PlatformOptions struct {
	// AppendsPerSecond is the append rate limit over all streams.
	AppendsPerSecond float64
	// MaxEntries is how many entries each stream keeps; 0 keeps all.
	MaxEntries int
	// EntryTTL is how long each entry is kept; 0 keeps all.
	EntryTTL time.Duration
	// ListLag is how far the instance list lags behind.
	ListLag time.Duration
	// InstanceTTL is how long an instance stays listed without renewal.
	InstanceTTL time.Duration
}

type logEntry struct {
	Offset     uint64 `json:"offset"`
	Data       []byte `json:"data"`
	appendedAt time.Time
}

type logStream struct {
	first   uint64
	entries []logEntry
	changed chan struct{}
}

// Platform is the stand-in for the platform's log and instance list.
type Platform struct {
	opts    PlatformOptions
	limiter *rate.Limiter

	mu        sync.Mutex
	streams   map[string]*logStream
	faults    PlatformFaults
	directory instanceDirectory
}

// NewPlatform returns an empty platform.
func NewPlatform(opts PlatformOptions) *Platform {
	return &Platform{
		opts:      opts,
		limiter:   rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), int(opts.AppendsPerSecond)),
		streams:   map[string]*logStream{},
		directory: newInstanceDirectory(opts),
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.applyFaults)
		r.Post("/log/{stream}", p.handleAppend)
		r.Get("/log/{stream}", p.handleRead)
		r.Post("/instances", p.handleAnnounce)
		r.Get("/instances", p.handleListInstances)
	})
	r.Put("/endpoints", p.handlePutEndpoints)
	r.Put("/faults", p.handlePutFaults)
	return r
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		p.mu.Unlock()
		if faults.SlowMs > 0 {
			time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
		}
		if faults.Outage {
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "entry too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !p.limiter.Allow() {
		http.Error(w, "append rate limit", http.StatusTooManyRequests)
		return
	}
	offset, answer := p.append(chi.URLParam(r, "stream"), data)
	if !answer {
		panic(http.ErrAbortHandler) // The entry is on the log; its answer is lost.
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

func (p *Platform) append(name string, data []byte) (offset uint64, answer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	offset = s.first + uint64(len(s.entries))
	s.entries = append(s.entries, logEntry{Offset: offset, Data: data, appendedAt: time.Now()})
	p.trim(s)
	close(s.changed)
	s.changed = make(chan struct{})
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return offset, false
	}
	return offset, true
}

// trim drops the entries that are no longer kept. p.mu is held.
func (p *Platform) trim(s *logStream) {
	drop := 0
	if p.opts.MaxEntries > 0 {
		drop = max(0, len(s.entries)-p.opts.MaxEntries)
	}
	for p.opts.EntryTTL > 0 && drop < len(s.entries) && time.Since(s.entries[drop].appendedAt) > p.opts.EntryTTL {
		drop++
	}
	if drop == 0 {
		return
	}
	s.entries = append([]logEntry(nil), s.entries[drop:]...)
	s.first += uint64(drop)
}

func (p *Platform) stream(name string) *logStream {
	s, ok := p.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

type logPage struct {
	Entries []logEntry `json:"entries"`
	First   uint64     `json:"first"`
	Next    uint64     `json:"next"`
}

const maxPageEntries = 512

// page returns the entries from an offset on, and the channel that closes
// with the stream's next append.
func (p *Platform) page(name string, from uint64) (logPage, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	p.trim(s)
	end := s.first + uint64(len(s.entries))
	page := logPage{First: s.first, Next: end}
	if from < s.first || from >= end {
		return page, s.changed
	}
	page.Entries = s.entries[from-s.first:]
	if len(page.Entries) > maxPageEntries {
		page.Entries = page.Entries[:maxPageEntries]
	}
	page.Next = from + uint64(len(page.Entries))
	return page, s.changed
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "stream")
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not an offset", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	page, changed := p.page(name, from)
	if len(page.Entries) == 0 && from >= page.First && waitMs > 0 {
		timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		page, _ = p.page(name, from)
	}
	if from < page.First {
		w.WriteHeader(http.StatusGone)
	}
	writeJSON(w, page)
}

func (p *Platform) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
