package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// ServiceFaults are the switchable faults of the plain service stand-in.
type ServiceFaults struct {
	// Leaving refuses new calls with 503 and X-Not-Run.
	Leaving bool `json:"leaving"`
	// Refuse refuses new calls with 429 and X-Not-Run.
	Refuse bool `json:"refuse"`
	// SlowMs is how long a call takes.
	SlowMs int `json:"slow_ms"`
	// Lose is how many answers are still to be lost after the call has run.
	Lose int `json:"lose"`
	// Crossed is how many pairs of answers are still to be swapped.
	Crossed int `json:"crossed"`
	// Masked answers 503 without X-Not-Run after the call has run.
	Masked bool `json:"masked"`
}

// Service is the stand-in for a plain service. It counts how often each call
// identity ran, and runs a call again as often as it is sent.
type Service struct {
	// mu guards everything below.
	mu      sync.Mutex
	runs    map[string]int
	paths   map[string]int // Runs by the call's path.
	running int
	faults  ServiceFaults
	crossed crossing[callAnswer]
}

// NewService returns a service that has run nothing.
func NewService() *Service { return &Service{runs: map[string]int{}, paths: map[string]int{}} }

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/runs", s.handleRuns)
	r.Get("/paths", s.handlePaths)
	r.Get("/load", s.handleLoad)
	r.Put("/faults", s.handleFaults)
	r.HandleFunc("/call/*", s.handleCall)
	return r
}

// SetFaults switches the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.crossed.set(f.Crossed)
}

type callAnswer struct {
	Run   string `json:"run"`
	Path  string `json:"path"`
	Count int    `json:"count"`
	Bytes int    `json:"bytes"`
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	run := r.Header.Get(headerRun)
	faults, count, status := s.begin(run, r.URL.Path)
	if status != 0 {
		w.Header().Set(headerRun, run)
		refuse(w, status, "refused")
		return
	}
	defer s.end()
	if !sleep(r, time.Duration(faults.SlowMs)*time.Millisecond) {
		return
	}
	if faults.Lose > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.Masked {
		http.Error(w, "upstream failed", http.StatusServiceUnavailable)
		return
	}
	answer := s.crossed.pass(r.Context(), callAnswer{Run: run, Path: r.URL.Path, Count: count, Bytes: len(body)})
	w.Header().Set(headerRun, answer.Run)
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	writeJSON(w, answer)
}

// begin counts the call as run unless it is refused with a status.
func (s *Service) begin(run, path string) (faults ServiceFaults, count, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Leaving:
		return s.faults, 0, http.StatusServiceUnavailable
	case s.faults.Refuse:
		return s.faults, 0, http.StatusTooManyRequests
	}
	s.runs[run]++
	s.paths[path]++
	s.running++
	faults = s.faults
	if s.faults.Lose > 0 {
		s.faults.Lose--
	}
	return faults, s.runs[run], 0
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}

func (s *Service) handlePaths(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.paths)
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := LoadReport{Running: s.running, Leaving: s.faults.Leaving}
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// Total returns how many calls ran.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.runs {
		total += count
	}
	return total
}
