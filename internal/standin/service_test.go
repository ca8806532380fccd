package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards the counts that other tests rely on: a call whose answer is lost or
// masked by a proxy's error has run, a refused one hasn't.
func TestServiceRunsAsOftenAsItIsCalled(t *testing.T) {
	for name, c := range map[string]struct {
		faults ServiceFaults
		runs   int
	}{
		"plain":   {ServiceFaults{}, 2},
		"lost":    {ServiceFaults{LoseAnswers: 2}, 2},
		"masked":  {ServiceFaults{ProxyError: true}, 2},
		"leaving": {ServiceFaults{Leaving: true}, 0},
		"refuse":  {ServiceFaults{Refuse: true}, 0},
	} {
		s := NewService()
		s.SetFaults(c.faults)
		server := httptest.NewServer(s.Handler())
		for range 2 {
			req, _ := http.NewRequest(http.MethodPost, server.URL+"/call/setpoint", nil)
			req.Header.Set(headerRunID, "r1")
			resp, err := http.DefaultClient.Do(req)
			if (err != nil) != (c.faults.LoseAnswers > 0) {
				t.Errorf("%s: %v", name, err)
			}
			if err == nil {
				resp.Body.Close()
			}
		}
		server.Close()
		if s.runsByID["r1"] != c.runs {
			t.Errorf("%s: ran %d times, want %d", name, s.runsByID["r1"], c.runs)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}
