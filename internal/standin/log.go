// Package standin simulates the systems around an instance, for tests and first
// runs: the platform's log and instance list, a model engine and a plain
// service. They implement the real protocols over HTTP. Their faults are those
// of the real systems and are set at run time over HTTP, at /faults. Keyed
// simulates the platform's keyed log in memory.
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

// maxBodyBytes bounds a log entry, a JSON body and the body of a call.
const maxBodyBytes = 1 << 20

// PlatformFaults selects the faults that the platform stand-in simulates. The
// zero value is no fault. They don't apply to PUT /endpoints and /faults.
type PlatformFaults struct {
	// Outage answers every request with 503.
	Outage bool `json:"outage"`
	// SlowMs delays every request, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is for how many appends the entry is stored but the connection
	// is aborted without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	// AppendsPerSecond is the rate limit, and the burst, of appends to all
	// streams together.
	AppendsPerSecond float64
	// MaxEntries is the number of entries that each stream retains; 0 is
	// unlimited.
	MaxEntries int
	// EntryTTL is how long an entry is retained; 0 is unlimited.
	EntryTTL time.Duration
	// ListLag bounds the age of the instance list that readers get.
	ListLag time.Duration
	// InstanceTTL is how long an instance is listed after its last announcement.
	InstanceTTL time.Duration
}

// logEntry is an entry as readers get it. Data is base64 in JSON.
type logEntry struct {
	Offset     uint64 `json:"offset"`
	Data       []byte `json:"data"`
	appendedAt time.Time
}

// logStream holds the retained entries of a stream. Platform.mu guards it.
type logStream struct {
	first   uint64 // Offset of entries[0], or of the next entry if there are none.
	entries []logEntry
	changed chan struct{} // Closed, and replaced, at each append.
}

// Platform simulates the platform's log and instance list. It is safe for
// concurrent use.
type Platform struct {
	opts    PlatformOptions
	limiter *rate.Limiter

	mu        sync.Mutex
	streams   map[string]*logStream
	faults    PlatformFaults
	directory instanceDirectory
}

// NewPlatform returns a platform with empty streams and an empty list.
func NewPlatform(opts PlatformOptions) *Platform {
	return &Platform{
		opts:      opts,
		limiter:   rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), int(opts.AppendsPerSecond)),
		streams:   map[string]*logStream{},
		directory: newInstanceDirectory(opts),
	}
}

// Handler returns the platform's HTTP API: log, instance list and faults.
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

// SetFaults replaces the simulated faults.
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
		panic(http.ErrAbortHandler) // The entry is stored, but the client gets no answer.
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

// append stores an entry and returns its offset. answer is false if the answer
// must be lost.
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

// trim drops the entries beyond MaxEntries or EntryTTL. p.mu must be held.
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

// stream returns a stream, which it creates if needed. p.mu must be held.
func (p *Platform) stream(name string) *logStream {
	s, ok := p.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// logPage is the body of GET /log/{stream}. First is the lowest retained offset,
// Next the offset to read from afterwards.
type logPage struct {
	Entries []logEntry `json:"entries"`
	First   uint64     `json:"first"`
	Next    uint64     `json:"next"`
}

// maxPageEntries bounds the entries of one answer.
const maxPageEntries = 512

// page returns up to maxPageEntries entries from an offset on, none if the offset
// is trimmed or not written yet, and a channel that is closed at the stream's
// next append.
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

// handleRead answers with the entries from an offset on. It waits up to wait_ms
// milliseconds while there are none. It answers with 410 if the offset is trimmed.
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

// readJSON decodes the request's body into out. On failure, also for unknown
// fields, it answers with 400 and returns false.
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
