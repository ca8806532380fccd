package standin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// ServiceFaults selects the faults that the plain service simulates. The zero
// value is no fault.
type ServiceFaults struct {
	// Leaving refuses new calls with 503 and X-Not-Run.
	Leaving bool `json:"leaving"`
	// Refuse refuses new calls with 429 and X-Not-Run.
	Refuse bool `json:"refuse"`
	// SlowMs is the duration of each call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is for how many calls the call runs but the connection is
	// aborted without an answer.
	LoseAnswers int `json:"lose"`
	// SwapPairs is for how many pairs of calls the answers are swapped.
	SwapPairs int `json:"crossed"`
	// ProxyError runs the call and answers 503 without X-Not-Run, as a proxy
	// between the instance and the service does.
	ProxyError bool `json:"masked"`
}

// Service simulates a plain service that doesn't deduplicate: it runs a call as
// often as it is sent, and counts the runs for each run ID. It is safe for
// concurrent use.
type Service struct {
	// mu guards everything below.
	mu           sync.Mutex
	runsByID     map[string]int
	runsByPath   map[string]int // Keyed by the URL's path.
	runningCalls int
	faults       ServiceFaults
	swapper      answerSwapper[callAnswer]
}

// NewService returns a service without runs.
func NewService() *Service { return &Service{runsByID: map[string]int{}, runsByPath: map[string]int{}} }

// Handler returns the service's HTTP API: calls, run counts, load and faults.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/runs", s.handleListRuns)
	r.Get("/paths", s.handleListPaths)
	r.Get("/load", s.handleLoad)
	r.Put("/faults", s.handlePutFaults)
	r.HandleFunc("/call/*", s.handleCall)
	return r
}

// SetFaults replaces the simulated faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.swapper.setPairs(f.SwapPairs)
}

// callAnswer is the body of the answer to a call: its run ID and path, how often
// the run ID has run, and the size of the request's body in bytes.
type callAnswer struct {
	Run   string `json:"run"`
	Path  string `json:"path"`
	Count int    `json:"count"`
	Bytes int    `json:"bytes"`
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuseUnexecuted(w, http.StatusBadRequest, err.Error())
		return
	}
	run := r.Header.Get(headerRunID)
	faults, count, status := s.startCall(run, r.URL.Path)
	if status != 0 {
		w.Header().Set(headerRunID, run)
		refuseUnexecuted(w, status, "refused")
		return
	}
	defer s.endCall()
	if !sleep(r, time.Duration(faults.SlowMs)*time.Millisecond) {
		return
	}
	if faults.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.ProxyError {
		http.Error(w, "upstream failed", http.StatusServiceUnavailable)
		return
	}
	answer := s.swapper.swap(r.Context(), callAnswer{Run: run, Path: r.URL.Path, Count: count, Bytes: len(body)})
	w.Header().Set(headerRunID, answer.Run)
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	writeJSON(w, answer)
}

// startCall counts a run and returns the faults that apply to it and the run ID's
// count. A status other than 0 means that the call is refused and not counted.
func (s *Service) startCall(run, path string) (faults ServiceFaults, count, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Leaving:
		return s.faults, 0, http.StatusServiceUnavailable
	case s.faults.Refuse:
		return s.faults, 0, http.StatusTooManyRequests
	}
	s.runsByID[run]++
	s.runsByPath[path]++
	s.runningCalls++
	faults = s.faults
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	return faults, s.runsByID[run], 0
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCalls--
}

func (s *Service) handleListRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runsByID)
}

func (s *Service) handleListPaths(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runsByPath)
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := LoadReport{Running: s.runningCalls, Leaving: s.faults.Leaving}
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Service) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// TotalRuns returns the number of runs of all calls, repeated ones included.
func (s *Service) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, count := range s.runsByID {
		total += count
	}
	return total
}
