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

// chat returns a chat body with more fields.
func chat(fields string) string {
	return `{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":5` + fields + `}`
}

func TestMalformedInputGetsItsOwnClearAnswer(t *testing.T) {
	d := newDoor(t)
	_, foreign, err := d.keys.Issue("another", "hall-a")
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
		"no API key":                  {post, chatPath, chat(""), []string{"Authorization", ""}, 401, "invalid_api_key"},
		"wrong API key":               {post, chatPath, chat(""), []string{"Authorization", "Bearer dala:other"}, 401, "invalid_api_key"},
		"other team's API key":        {post, chatPath, chat(""), []string{"Authorization", "Bearer another:secret"}, 401, "invalid_api_key"},
		"path as a team":              {post, chatPath, chat(""), []string{"Authorization", "Bearer dala/x:secret"}, 401, "invalid_api_key"},
		"empty body":                  {post, chatPath, "", nil, 400, "malformed_body"},
		"not JSON":                    {post, chatPath, "hello", nil, 400, "malformed_body"},
		"cut JSON":                    {post, chatPath, `{"model":"sm`, nil, 400, "malformed_body"},
		"two values":                  {post, chatPath, chat("") + "{}", nil, 400, "malformed_body"},
		"not an object":               {post, chatPath, `[1]`, nil, 400, "malformed_body"},
		"null":                        {post, chatPath, `null`, nil, 400, "malformed_body"},
		"deep":                        {post, chatPath, strings.Repeat("[", 4000), nil, 400, "malformed_body"},
		"too large":                   {post, chatPath, chat(`,"user":"` + strings.Repeat("x", 1<<13) + `"`), nil, 413, "body_too_large"},
		"model missing":               {post, chatPath, `{"messages":[{"role":"user"}]}`, nil, 400, "model_missing"},
		"model a number":              {post, chatPath, chat(`,"model":3`), nil, 400, "invalid_type"},
		"messages missing":            {post, chatPath, `{"model":"small"}`, nil, 400, "messages_missing"},
		"messages empty":              {post, chatPath, chat(`,"messages":[]`), nil, 400, "messages_missing"},
		"messages a string":           {post, chatPath, chat(`,"messages":"hello"`), nil, 400, "invalid_type"},
		"message a string":            {post, chatPath, chat(`,"messages":["hello"]`), nil, 400, "invalid_type"},
		"other letters":               {post, chatPath, `{"model":"small","Messages":[{"role":"user"}]}`, nil, 400, "messages_missing"},
		"message without role":        {post, chatPath, chat(`,"messages":[{"content":"x"}]`), nil, 400, "role_missing"},
		"content a number":            {post, chatPath, chat(`,"messages":[{"role":"user","content":3}]`), nil, 400, "invalid_type"},
		"max_tokens negative":         {post, chatPath, chat(`,"max_tokens":-1`), nil, 400, "max_tokens_out_of_range"},
		"max_tokens zero":             {post, chatPath, chat(`,"max_tokens":0`), nil, 400, "max_tokens_out_of_range"},
		"max_tokens too many":         {post, chatPath, chat(`,"max_tokens":100001`), nil, 400, "max_tokens_out_of_range"},
		"max_tokens huge":             {post, chatPath, chat(`,"max_tokens":1e400`), nil, 400, "invalid_type"},
		"max_tokens past int":         {post, chatPath, chat(`,"max_tokens":99999999999999999999`), nil, 400, "invalid_type"},
		"max_tokens a fraction":       {post, chatPath, chat(`,"max_tokens":1.5`), nil, 400, "invalid_type"},
		"max_tokens a string":         {post, chatPath, chat(`,"max_tokens":"5"`), nil, 400, "invalid_type"},
		"stream a string":             {post, chatPath, chat(`,"stream":"yes"`), nil, 400, "invalid_type"},
		"temperature a string":        {post, chatPath, chat(`,"temperature":"hot"`), nil, 400, "invalid_type"},
		"two choices":                 {post, chatPath, chat(`,"n":2`), nil, 400, "n_not_supported"},
		"priority a word":             {post, chatPath, chat(""), []string{HeaderPriority, "high"}, 400, "invalid_priority"},
		"priority out of range":       {post, chatPath, chat(""), []string{HeaderPriority, "9"}, 400, "invalid_priority"},
		"key too long":                {post, chatPath, chat(""), []string{HeaderKey, strings.Repeat("k", 256)}, 400, "invalid_idempotency_key"},
		"key with a space":            {post, chatPath, chat(""), []string{HeaderKey, "a b"}, 400, "invalid_idempotency_key"},
		"session malformed":           {post, chatPath, chat(""), []string{HeaderSession, "gs1.x"}, 403, "invalid_session"},
		"other team's session":        {post, chatPath, chat(""), []string{HeaderSession, foreign}, 403, "invalid_session"},
		"last event malformed":        {post, chatPath, chat(`,"stream":true`), []string{HeaderKey, "k", HeaderLast, "x"}, 400, "invalid_last_event_id"},
		"last event negative":         {post, chatPath, chat(`,"stream":true`), []string{HeaderKey, "k", HeaderLast, "r.-3"}, 400, "invalid_last_event_id"},
		"last event negative, signed": {post, chatPath, chat(`,"stream":true`), []string{HeaderLast, "r.-3." + signRun([]byte(testSecret), "dala", "r")}, 400, "invalid_last_event_id"},
		"last event forged":           {post, chatPath, chat(`,"stream":true`), []string{HeaderLast, "r.3." + signRun([]byte("guess"), "dala", "r")}, 400, "invalid_last_event_id"},
		"other team's event":          {post, chatPath, chat(`,"stream":true`), []string{HeaderLast, "r.3." + signRun([]byte(testSecret), "another", "r")}, 400, "invalid_last_event_id"},
		"last event, whole":           {post, chatPath, chat(""), []string{HeaderLast, "r.3." + signRun([]byte(testSecret), "dala", "r")}, 400, "last_event_id_without_stream"},
		"call without key":            {post, service, "{}", nil, 400, "idempotency_key_missing"},
		"call with dots":              {post, "/v1/services/rig/x/../setpoint", "{}", []string{HeaderKey, "k"}, 400, "malformed_path"},
		"call with hidden dots":       {post, "/v1/services/rig/x/%2e%2e/setpoint", "{}", []string{HeaderKey, "k"}, 400, "malformed_path"},
		"call, two slashes":           {post, "/v1/services/rig//setpoint", "{}", []string{HeaderKey, "k"}, 400, "malformed_path"},
		"call body too large":         {post, service, strings.Repeat("x", 1<<13), []string{HeaderKey, "k"}, 413, "body_too_large"},
		"unknown model":               {post, chatPath, chat(`,"model":"large"`), nil, 404, string(decide.CodeUnknownModel)},
		"unknown service":             {post, "/v1/services/none/x", "{}", []string{HeaderKey, "k"}, 503, string(decide.CodeNoEndpoint)},
	} {
		t.Run(name, func(t *testing.T) {
			got := d.send(c.method, c.path, c.body, c.header...)
			var body problemBody
			if err := json.Unmarshal([]byte(got.body), &body); err != nil || got.err != nil {
				t.Fatalf("%v, %v: %q", err, got.err, got.body)
			}
			if got.status != c.status || body.Error.Code != c.code || body.Error.Outcome != "not_run" || body.Error.Message == "" {
				t.Fatalf("status %d, %+v", got.status, body.Error)
			}
			if got.header.Get("Content-Length") != strconv.Itoa(len(got.body)) {
				t.Fatalf("Content-Length %q for %d bytes", got.header.Get("Content-Length"), len(got.body))
			}
		})
	}
	if runs := d.engine.Runs(); len(runs) != 0 {
		t.Fatalf("refused input ran: %+v", runs)
	}
	if got := d.send(post, chatPath, chat(""), "X-Large", strings.Repeat("x", 2*maxHeaderBytes)); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("large head: %d %v", got.status, got.err)
	}
	for name, fields := range map[string]string{
		"null fields":    `,"temperature":null,"n":null,"stream":null,"stream_options":null,"max_completion_tokens":null`,
		"unknown fields": `,"tools":[],"response_format":{"type":"text"},"prior":"x","seed":3`,
		"content list":   `,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]},{"role":"assistant","content":null}]`,
	} {
		if got := d.send(post, chatPath, chat(fields)); got.status != http.StatusOK {
			t.Errorf("%s: %d %s", name, got.status, got.body)
		}
	}
}

// event is one server-sent event.
type event struct {
	id   string
	data string
}

func eventsOf(body string) (out []event, comments int) {
	var e event
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ": ")
		switch name {
		case "id":
			e.id = value
		case "data":
			e.data = value
			out = append(out, e)
			e = event{}
		case "":
			if value != "" {
				comments++
			}
		}
	}
	return out, comments
}

func TestStreamIsNumberedAndGoesOnFromTheLastEvent(t *testing.T) {
	d := newDoor(t)
	body := chat(`,"stream":true,"stream_options":{"include_usage":true}`)
	whole, _ := eventsOf(d.send(http.MethodPost, chatPath, body, HeaderKey, "k").body)
	const tokens = 5
	if len(whole) != tokens+3 || whole[len(whole)-1].data != "[DONE]" {
		t.Fatalf("events %+v", whole)
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
		if string(chunk.ID) != runID || i < tokens && e.id != d.callers.eventID("dala", record.RunID(runID), i+1) || i >= tokens && e.id != "" {
			t.Fatalf("event %d: id %q, chunk id %q", i, e.id, chunk.ID)
		}
	}
	for n := 1; n <= tokens; n++ {
		rest, _ := eventsOf(d.send(http.MethodPost, chatPath, body, HeaderKey, "k", HeaderLast, whole[n-1].id).body)
		if len(rest) != len(whole)-n || rest[0].id != whole[n].id || rest[len(rest)-1].data != "[DONE]" {
			t.Fatalf("after event %d: %+v", n, rest)
		}
	}
}

func TestFailureAfterTheFirstEventEndsWithoutClosing(t *testing.T) {
	d := newDoor(t)
	time.AfterFunc(100*time.Millisecond, func() {
		d.behind.Listener.Close()
		d.behind.CloseClientConnections()
	})
	got := d.send(http.MethodPost, chatPath, chat(`,"stream":true,"max_tokens":1000`), HeaderKey, "k")
	events, _ := eventsOf(got.body)
	if got.status != http.StatusOK || len(events) < 2 {
		t.Fatalf("status %d, %d events", got.status, len(events))
	}
	last := events[len(events)-1]
	var body problemBody
	if err := json.Unmarshal([]byte(last.data), &body); err != nil || body.Error.Outcome != "unknown" || last.id != "" {
		t.Fatalf("last event %+v: %v", last, err)
	}
	if strings.Contains(got.body, "[DONE]") {
		t.Fatal("a partial answer has a closing event")
	}
}

func TestCommentsComeWhileThereAreNoTokens(t *testing.T) {
	d := newDoor(t)
	d.engine.SetFaults(standin.EngineFaults{Hang: true})
	time.AfterFunc(400*time.Millisecond, func() { d.engine.SetFaults(standin.EngineFaults{}) })
	got := d.send(http.MethodPost, chatPath, chat(`,"stream":true`))
	events, comments := eventsOf(got.body)
	if comments == 0 || len(events) != 7 || events[6].data != "[DONE]" {
		t.Fatalf("%d comments, events %+v", comments, events)
	}
}

func TestWholeAnswerIsBufferedBoundedAndHasItsLength(t *testing.T) {
	d := newDoor(t)
	got := d.send(http.MethodPost, chatPath, chat(""))
	var whole chatCompletion
	if err := json.Unmarshal([]byte(got.body), &whole); err != nil || got.status != http.StatusOK {
		t.Fatalf("%d %v %q", got.status, err, got.body)
	}
	if whole.Choices[0].Message.Content != "w0 w1 w2 w3 w4 " || whole.Usage.Completion != 5 || got.header.Get("Content-Length") != strconv.Itoa(len(got.body)) {
		t.Fatalf("%+v, length %q", whole, got.header.Get("Content-Length"))
	}
	// Above a few kilobytes net/http would not set the length by itself.
	d = newDoor(t)
	got = d.send(http.MethodPost, chatPath, chat(`,"max_tokens":600`))
	if got.status != http.StatusOK || got.header.Get("Content-Length") != strconv.Itoa(len(got.body)) {
		t.Fatalf("%d, length %q for %d bytes", got.status, got.header.Get("Content-Length"), len(got.body))
	}
	d = newDoor(t)
	got = d.send(http.MethodPost, chatPath, chat(`,"max_tokens":1000`))
	if got.status != http.StatusBadGateway || !strings.Contains(got.body, "answer_too_large") {
		t.Fatalf("%d %q", got.status, got.body)
	}
}

// TestCallerWhoTakesNothingDoesNotHoldTheRun opens a stream and never reads it.
func TestCallerWhoTakesNothingDoesNotHoldTheRun(t *testing.T) {
	d := newDoor(t)
	d.limits.Write = 200 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	body := chat(`,"stream":true,"max_tokens":100000`)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, testKey, len(body), body)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		runs := d.engine.Runs()
		if len(runs) == 1 && runs[0].Done {
			if runs[0].Finish != "cancelled" {
				t.Fatalf("run %+v", runs[0])
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the run goes on: %+v", runs)
		}
	}
}
