package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"guavapier/internal/decide"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

const chatPath = "/v1/chat/completions"

// chatBody returns the body of a chat request with fields appended to its JSON object.
func chatBody(fields string) string {
	return `{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":5` + fields + `}`
}

// Invalid requests are refused with their own code and the outcome not_run, and reach no
// engine. Null and unknown fields are valid.
func TestMalformedInputGetsItsOwnClearAnswer(t *testing.T) {
	s := newTestServer(t)
	_, otherTeamToken, err := s.sessionKeys.Issue("another", "hall-a")
	if err != nil {
		t.Fatal(err)
	}
	const post, service = http.MethodPost, "/v1/services/rig/setpoint"
	for name, c := range map[string]struct {
		method, path, body string
		header             []string
		status             int
		code               string
	}{
		"no such path":                {post, "/v2/x", "", nil, 404, "no_such_path"},
		"no such path, no key":        {post, "/v2/x", "", []string{"Authorization", ""}, 404, "no_such_path"},
		"wrong method":                {"GET", chatPath, "", nil, 405, "method_not_allowed"},
		"no API key":                  {post, chatPath, chatBody(""), []string{"Authorization", ""}, 401, "invalid_api_key"},
		"wrong API key":               {post, chatPath, chatBody(""), []string{"Authorization", "Bearer dala:other"}, 401, "invalid_api_key"},
		"other team's API key":        {post, chatPath, chatBody(""), []string{"Authorization", "Bearer another:secret"}, 401, "invalid_api_key"},
		"path as a team":              {post, chatPath, chatBody(""), []string{"Authorization", "Bearer dala/x:secret"}, 401, "invalid_api_key"},
		"empty body":                  {post, chatPath, "", nil, 400, "malformed_body"},
		"not JSON":                    {post, chatPath, "hello", nil, 400, "malformed_body"},
		"cut JSON":                    {post, chatPath, `{"model":"sm`, nil, 400, "malformed_body"},
		"two values":                  {post, chatPath, chatBody("") + "{}", nil, 400, "malformed_body"},
		"not an object":               {post, chatPath, `[1]`, nil, 400, "malformed_body"},
		"null":                        {post, chatPath, `null`, nil, 400, "malformed_body"},
		"deep":                        {post, chatPath, strings.Repeat("[", 4000), nil, 400, "malformed_body"},
		"too large":                   {post, chatPath, chatBody(`,"user":"` + strings.Repeat("x", 1<<13) + `"`), nil, 413, "body_too_large"},
		"model missing":               {post, chatPath, `{"messages":[{"role":"user"}]}`, nil, 400, "model_missing"},
		"model a number":              {post, chatPath, chatBody(`,"model":3`), nil, 400, "invalid_type"},
		"messages missing":            {post, chatPath, `{"model":"small"}`, nil, 400, "messages_missing"},
		"messages empty":              {post, chatPath, chatBody(`,"messages":[]`), nil, 400, "messages_missing"},
		"messages a string":           {post, chatPath, chatBody(`,"messages":"hello"`), nil, 400, "invalid_type"},
		"message a string":            {post, chatPath, chatBody(`,"messages":["hello"]`), nil, 400, "invalid_type"},
		"other letters":               {post, chatPath, `{"model":"small","Messages":[{"role":"user"}]}`, nil, 400, "messages_missing"},
		"message without role":        {post, chatPath, chatBody(`,"messages":[{"content":"x"}]`), nil, 400, "role_missing"},
		"content a number":            {post, chatPath, chatBody(`,"messages":[{"role":"user","content":3}]`), nil, 400, "invalid_type"},
		"max_tokens negative":         {post, chatPath, chatBody(`,"max_tokens":-1`), nil, 400, "max_tokens_out_of_range"},
		"max_tokens zero":             {post, chatPath, chatBody(`,"max_tokens":0`), nil, 400, "max_tokens_out_of_range"},
		"max_tokens too many":         {post, chatPath, chatBody(`,"max_tokens":100001`), nil, 400, "max_tokens_out_of_range"},
		"max_tokens huge":             {post, chatPath, chatBody(`,"max_tokens":1e400`), nil, 400, "invalid_type"},
		"max_tokens past int":         {post, chatPath, chatBody(`,"max_tokens":99999999999999999999`), nil, 400, "invalid_type"},
		"max_tokens a fraction":       {post, chatPath, chatBody(`,"max_tokens":1.5`), nil, 400, "invalid_type"},
		"max_tokens a string":         {post, chatPath, chatBody(`,"max_tokens":"5"`), nil, 400, "invalid_type"},
		"stream a string":             {post, chatPath, chatBody(`,"stream":"yes"`), nil, 400, "invalid_type"},
		"temperature a string":        {post, chatPath, chatBody(`,"temperature":"hot"`), nil, 400, "invalid_type"},
		"two choices":                 {post, chatPath, chatBody(`,"n":2`), nil, 400, "n_not_supported"},
		"priority a word":             {post, chatPath, chatBody(""), []string{HeaderPriority, "high"}, 400, "invalid_priority"},
		"priority out of range":       {post, chatPath, chatBody(""), []string{HeaderPriority, "9"}, 400, "invalid_priority"},
		"key too long":                {post, chatPath, chatBody(""), []string{HeaderIdempotencyKey, strings.Repeat("k", 256)}, 400, "invalid_idempotency_key"},
		"key with a space":            {post, chatPath, chatBody(""), []string{HeaderIdempotencyKey, "a b"}, 400, "invalid_idempotency_key"},
		"session malformed":           {post, chatPath, chatBody(""), []string{HeaderSession, "gs1.x"}, 403, "invalid_session"},
		"other team's session":        {post, chatPath, chatBody(""), []string{HeaderSession, otherTeamToken}, 403, "invalid_session"},
		"last event malformed":        {post, chatPath, chatBody(`,"stream":true`), []string{HeaderIdempotencyKey, "k", HeaderLastEventID, "x"}, 400, "invalid_last_event_id"},
		"last event negative":         {post, chatPath, chatBody(`,"stream":true`), []string{HeaderIdempotencyKey, "k", HeaderLastEventID, "r.-3"}, 400, "invalid_last_event_id"},
		"last event negative, signed": {post, chatPath, chatBody(`,"stream":true`), []string{HeaderLastEventID, "r.-3." + runSignature([]byte(testSigningKey), "dala", "r")}, 400, "invalid_last_event_id"},
		"last event forged":           {post, chatPath, chatBody(`,"stream":true`), []string{HeaderLastEventID, "r.3." + runSignature([]byte("guess"), "dala", "r")}, 400, "invalid_last_event_id"},
		"other team's event":          {post, chatPath, chatBody(`,"stream":true`), []string{HeaderLastEventID, "r.3." + runSignature([]byte(testSigningKey), "another", "r")}, 400, "invalid_last_event_id"},
		"last event, whole":           {post, chatPath, chatBody(""), []string{HeaderLastEventID, "r.3." + runSignature([]byte(testSigningKey), "dala", "r")}, 400, "last_event_id_without_stream"},
		"call without key":            {post, service, "{}", nil, 400, "idempotency_key_missing"},
		"call with dots":              {post, "/v1/services/rig/x/../setpoint", "{}", []string{HeaderIdempotencyKey, "k"}, 400, "malformed_path"},
		"call with hidden dots":       {post, "/v1/services/rig/x/%2e%2e/setpoint", "{}", []string{HeaderIdempotencyKey, "k"}, 400, "malformed_path"},
		"call, two slashes":           {post, "/v1/services/rig//setpoint", "{}", []string{HeaderIdempotencyKey, "k"}, 400, "malformed_path"},
		"call body too large":         {post, service, strings.Repeat("x", 1<<13), []string{HeaderIdempotencyKey, "k"}, 413, "body_too_large"},
		"unknown model":               {post, chatPath, chatBody(`,"model":"large"`), nil, 404, string(decide.CodeUnknownModel)},
		"unknown service":             {post, "/v1/services/none/x", "{}", []string{HeaderIdempotencyKey, "k"}, 503, string(decide.CodeNoEndpoint)},
	} {
		t.Run(name, func(t *testing.T) {
			got := s.request(c.method, c.path, c.body, c.header...)
			var body problemBody
			if err := json.Unmarshal([]byte(got.body), &body); err != nil || got.err != nil {
				t.Fatalf("unmarshal: %v, request: %v, body %q", err, got.err, got.body)
			}
			if got.status != c.status || body.Error.Code != c.code || body.Error.Outcome != "not_run" || body.Error.Message == "" {
				t.Fatalf("got status %d and error %+v", got.status, body.Error)
			}
			if got.header.Get("Content-Length") != strconv.Itoa(len(got.body)) {
				t.Fatalf("Content-Length %q for %d bytes", got.header.Get("Content-Length"), len(got.body))
			}
		})
	}
	if runs := s.engine.Runs(); len(runs) != 0 {
		t.Fatalf("invalid requests reached the engine: %+v", runs)
	}
	if got := s.request(post, chatPath, chatBody(""), "X-Large", strings.Repeat("x", 2*maxHeaderBytes)); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("header larger than maxHeaderBytes: status %d, error %v", got.status, got.err)
	}
	for name, fields := range map[string]string{
		"null fields":    `,"temperature":null,"n":null,"stream":null,"stream_options":null,"max_completion_tokens":null`,
		"unknown fields": `,"tools":[],"response_format":{"type":"text"},"prior":"x","seed":3`,
		"content list":   `,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]},{"role":"assistant","content":null}]`,
	} {
		if got := s.request(post, chatPath, chatBody(fields)); got.status != http.StatusOK {
			t.Errorf("%s: got status %d: %s", name, got.status, got.body)
		}
	}
}

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	data string
}

// parseEvents returns the events of a stream and the number of its comments.
func parseEvents(body string) (out []sseEvent, comments int) {
	var e sseEvent
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "id":
			e.id = value
		case "data":
			e.data = value
			out = append(out, e)
			e = sseEvent{}
		case "":
			if value != "" {
				comments++
			}
		}
	}
	return out, comments
}

// A stream that breaks after any event can be resumed with that event's ID, and the rest
// has no token twice and none missing.
func TestStreamIsNumberedAndGoesOnFromTheLastEvent(t *testing.T) {
	s := newTestServer(t)
	body := chatBody(`,"stream":true,"stream_options":{"include_usage":true}`)
	whole, _ := parseEvents(s.request(http.MethodPost, chatPath, body, HeaderIdempotencyKey, "k").body)
	const tokens = 5
	if len(whole) != tokens+3 || whole[len(whole)-1].data != "[DONE]" {
		t.Fatalf("got events %+v, want 5 tokens, the finish reason, the usage and [DONE]", whole)
	}
	var runID string
	for i, e := range whole[:len(whole)-1] {
		var chunk chatCompletion
		if err := json.Unmarshal([]byte(e.data), &chunk); err != nil || chunk.ID == "" {
			t.Fatalf("chunk %q: %v", e.data, err)
		}
		if runID == "" {
			runID = string(chunk.ID)
		}
		if string(chunk.ID) != runID || i < tokens && e.id != s.api.eventID("dala", record.RunID(runID), i+1) || i >= tokens && e.id != "" {
			t.Fatalf("event %d: id %q, chunk id %q", i, e.id, chunk.ID)
		}
	}
	for n := 1; n <= tokens; n++ {
		remaining, _ := parseEvents(s.request(http.MethodPost, chatPath, body, HeaderIdempotencyKey, "k", HeaderLastEventID, whole[n-1].id).body)
		if len(remaining) != len(whole)-n || remaining[0].id != whole[n].id || remaining[len(remaining)-1].data != "[DONE]" {
			t.Fatalf("resumed after event %d: got %+v", n, remaining)
		}
	}
}

// The engine dies in the middle of a streamed answer. The caller must be able to tell the
// partial answer from a complete one.
func TestFailureAfterTheFirstEventEndsWithoutClosing(t *testing.T) {
	s := newTestServer(t)
	time.AfterFunc(100*time.Millisecond, func() {
		s.engineServer.Listener.Close()
		s.engineServer.CloseClientConnections()
	})
	got := s.request(http.MethodPost, chatPath, chatBody(`,"stream":true,"max_tokens":1000`), HeaderIdempotencyKey, "k")
	events, _ := parseEvents(got.body)
	if got.status != http.StatusOK || len(events) < 2 {
		t.Fatalf("got status %d and %d events, want 200 and at least 2", got.status, len(events))
	}
	last := events[len(events)-1]
	var body problemBody
	if err := json.Unmarshal([]byte(last.data), &body); err != nil || body.Error.Outcome != "unknown" || last.id != "" {
		t.Fatalf("last event: got %+v (%v), want an error with outcome unknown", last, err)
	}
	if strings.Contains(got.body, "[DONE]") {
		t.Fatal("a partial answer has a closing event")
	}
}

// The engine hangs before the first token; without heartbeats, middleboxes might close the
// connection as idle.
func TestCommentsComeWhileThereAreNoTokens(t *testing.T) {
	s := newTestServer(t)
	s.engine.SetFaults(standin.EngineFaults{Hang: true})
	time.AfterFunc(400*time.Millisecond, func() { s.engine.SetFaults(standin.EngineFaults{}) })
	got := s.request(http.MethodPost, chatPath, chatBody(`,"stream":true`))
	events, comments := parseEvents(got.body)
	if comments == 0 || len(events) != 7 || events[6].data != "[DONE]" {
		t.Fatalf("got %d comments and events %+v, want at least one comment and 7 events", comments, events)
	}
}

// An answer that isn't streamed has a Content-Length, also if it is larger than net/http's
// buffer, and is refused above MaxAnswerBytes.
func TestWholeAnswerIsBufferedBoundedAndHasItsLength(t *testing.T) {
	s := newTestServer(t)
	got := s.request(http.MethodPost, chatPath, chatBody(""))
	var whole chatCompletion
	if err := json.Unmarshal([]byte(got.body), &whole); err != nil || got.status != http.StatusOK {
		t.Fatalf("status %d, error %v, body %q", got.status, err, got.body)
	}
	if whole.Choices[0].Message.Content != "w0 w1 w2 w3 w4 " || whole.Usage.Completion != 5 || got.header.Get("Content-Length") != strconv.Itoa(len(got.body)) {
		t.Fatalf("got %+v with Content-Length %q", whole, got.header.Get("Content-Length"))
	}
	// Above a few kilobytes net/http would not set the length by itself.
	s = newTestServer(t)
	got = s.request(http.MethodPost, chatPath, chatBody(`,"max_tokens":600`))
	if got.status != http.StatusOK || got.header.Get("Content-Length") != strconv.Itoa(len(got.body)) {
		t.Fatalf("status %d, Content-Length %q for %d bytes", got.status, got.header.Get("Content-Length"), len(got.body))
	}
	s = newTestServer(t)
	got = s.request(http.MethodPost, chatPath, chatBody(`,"max_tokens":1000`))
	if got.status != http.StatusBadGateway || !strings.Contains(got.body, "answer_too_large") {
		t.Fatalf("answer larger than MaxAnswerBytes: status %d, body %q", got.status, got.body)
	}
}

// A caller opens a stream and never reads it. The write deadline must end the request and
// cancel the run; otherwise both would last forever.
func TestCallerWhoTakesNothingDoesNotHoldTheRun(t *testing.T) {
	s := newTestServer(t)
	s.limits.WriteTimeout = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	body := chatBody(`,"stream":true,"max_tokens":100000`)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, testAPIKey, len(body), body)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		runs := s.engine.Runs()
		if len(runs) == 1 && runs[0].Done {
			if runs[0].Finish != "cancelled" {
				t.Fatalf("run was not cancelled: %+v", runs[0])
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the run did not end within 20 s: %+v", runs)
		}
	}
}
