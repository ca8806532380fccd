package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
)

// Service is the stand-in for a plain service. It counts how often each call
// identity ran.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service that has run nothing.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/runs", s.handleRuns)
	r.HandleFunc("/call/*", s.handleCall)
	return r
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
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := r.Header.Get("X-Run-Id")
	s.mu.Lock()
	s.runs[run]++
	count := s.runs[run]
	s.mu.Unlock()
	w.Header().Set("X-Run-Id", run)
	writeJSON(w, callAnswer{Run: run, Path: r.URL.Path, Count: count, Bytes: len(body)})
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}
