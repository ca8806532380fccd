package load

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestTraceFindingsAreReportedTogether(t *testing.T) {
	_, err := parseTrace("t.jsonl", []byte(strings.Join([]string{
		`{"class":{"name":"a","kind":"stream"}}`,
		`{"class":{"name":"a","kind":"dance"}}`,
		`{"class":{"name":"c","kind":"call","answered":2}}`,
		`{"request":{"at_ms":5,"class":"a","id":"1","tokens":1}}`,
		`{"request":{"at_ms":4,"class":"b","id":"1","tokens":0}}`,
		`{"request":{"at_ms":9,"class":"a","id":"2","tokens":1,"shape":3}}`,
		`{}`,
	}, "\n")))
	var findings Findings
	if !errors.As(err, &findings) {
		t.Fatal(err)
	}
	for _, want := range []string{
		"t.jsonl:2: class: name", "t.jsonl:2: class: kind", "t.jsonl:3: class: a call needs", "t.jsonl:3: class: share",
		`t.jsonl:5: request: no class "b"`, "t.jsonl:5: request: id", "t.jsonl:5: request: at_ms", "t.jsonl:5: request: tokens",
		"t.jsonl:6: json: unknown field", "t.jsonl:7: a line has either",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no finding %q in\n%v", want, err)
		}
	}
	if len(findings) != 10 {
		t.Errorf("%d findings, want 10:\n%v", len(findings), err)
	}
}

// streamEvent returns a server-sent event with one token's text.
func streamEvent(id, run, text string) string {
	return "id: " + id + "\ndata: {\"id\":\"" + run + "\",\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
}

// TestOutcomesAreToldApart guards the replay's checks, on which other tests rely:
// an answer that is truncated, repeated, of another run or of a call that ran
// twice must be counted as such and reported as a violation.
func TestOutcomesAreToldApart(t *testing.T) {
	const done = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		kind   Kind
		status int
		body   string
		want   ClassReport
	}{
		"whole":            {KindStream, 200, streamEvent("r.1", "r", "w0 ") + streamEvent("r.2", "r", "w1 ") + done, ClassReport{Answered: 1}},
		"too short":        {KindStream, 200, streamEvent("r.1", "r", "w0 ") + done, ClassReport{Wrong: 1}},
		"repeated":         {KindStream, 200, streamEvent("r.1", "r", "w0 ") + streamEvent("r.1", "r", "w0 ") + streamEvent("r.2", "r", "w1 ") + done, ClassReport{Wrong: 1}},
		"another run's":    {KindStream, 200, streamEvent("r.1", "r", "w0 ") + streamEvent("s.2", "s", "w1 ") + done, ClassReport{Wrong: 1}},
		"no closing":       {KindStream, 200, "data: {\"error\":{}}\n\n", ClassReport{Partial: 1}},
		"empty":            {KindStream, 200, "", ClassReport{Partial: 1}},
		"whole answer":     {KindWhole, 200, `{"choices":[{"message":{"content":"w0 w1 "}}]}`, ClassReport{Answered: 1}},
		"cut whole answer": {KindWhole, 200, `{"choices":[{"mess`, ClassReport{Partial: 1}},
		"call":             {KindCall, 200, `{"path":"/call/x","count":1,"bytes":25}`, ClassReport{Answered: 1}},
		"second run":       {KindCall, 200, `{"path":"/call/x","count":2,"bytes":25}`, ClassReport{Wrong: 1}},
		"another call's":   {KindCall, 200, `{"path":"/call/y","count":1,"bytes":25}`, ClassReport{Wrong: 1}},
		"refused":          {KindCall, 402, `{"error":{"outcome":"not_run"}}`, ClassReport{NotRun: 1}},
		"unknown":          {KindCall, 409, `{"error":{"outcome":"unknown"}}`, ClassReport{Unknown: 1}},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/sessions" {
				w.WriteHeader(http.StatusCreated)
				_, _ = w.Write([]byte(`{"token":"t"}`))
				return
			}
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		trace := Trace{
			Classes:  []ClassSpec{{Name: "a", Kind: c.kind, Service: "s", Path: "/x", MinAnswered: 1}},
			Requests: []Request{{Class: "a", ID: "one", Session: "sess", Bytes: 5, Tokens: 2}},
		}
		report, err := Replay(t.Context(), trace, Options{Targets: []string{server.URL}, StandIn: true})
		server.Close()
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		got := report.Classes[0]
		counts := ClassReport{Answered: got.Answered, NotRun: got.NotRun, Unknown: got.Unknown, Partial: got.Partial, Wrong: got.Wrong}
		if counts != c.want || (len(report.Violations) == 0) != (c.want.Answered == 1) {
			t.Errorf("%s: counts %+v, violations %q", name, counts, report.Violations)
		}
	}
}
