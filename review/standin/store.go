package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// keptAppends is how many of a producer's appends are remembered, so that a repeat gets its first
// response again.
const keptAppends = 5

// newestPageItems bounds the records of one page of the newest records.
const newestPageItems = 500

// store is a stand-in of the platform's log. All topics are keyed and have one partition. It loses
// nothing and is linearizable.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // Closed, and replaced, at each append.
}

type topic struct {
	records   []keyedRecord
	newest    map[string]newestRecord
	producers map[string]*producer
}

type keyedRecord struct {
	key   string
	value []byte // Empty if the key was dropped.
}

type newestRecord struct {
	value  []byte
	offset int
}

type producer struct {
	epoch    uint64
	sequence uint64
	replies  map[uint64]appendReply // Of the last appends, by sequence.
}

type appendReply struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// handler returns the store's HTTP interface.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	return mux
}

// put writes a record of the operator or of an engine; an empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(name), []keyedRecord{{key, value}})
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// append must be called with s.mu held.
func (s *store) append(t *topic, records []keyedRecord) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = newestRecord{r.value, len(t.records)}
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	name := query.Get("producer")
	if name == "" {
		writeJSON(w, http.StatusOK, s.appendAll(t, records))
		return
	}
	epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(query.Get("sequence"), 10, 64)
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, sequence: sequence - 1, replies: map[uint64]appendReply{}}
		t.producers[name] = p
	}
	reply, repeated := p.replies[sequence]
	switch {
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	case repeated:
		writeJSON(w, http.StatusOK, reply)
		return
	case sequence != p.sequence+1:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": p.sequence + 1})
		return
	}
	p.sequence = sequence
	p.replies[sequence] = s.appendAll(t, records)
	delete(p.replies, sequence-keptAppends)
	writeJSON(w, http.StatusOK, p.replies[sequence])
}

func (s *store) appendAll(t *topic, records []keyedRecord) appendReply {
	offset := len(t.records)
	s.append(t, records)
	return appendReply{offset, len(t.records)}
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	kilobytes, err := strconv.Atoi(query.Get("max_size"))
	if err != nil {
		kilobytes = 1024
	}
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end, records := len(t.records), t.records[min(from, len(t.records)):]
		s.mu.Unlock()
		if len(records) > 0 || ctx.Err() != nil {
			writeRecords(w, end, records, kilobytes<<10)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// writeRecords writes a page with the first record and as many others as fit.
func writeRecords(w http.ResponseWriter, end int, records []keyedRecord, maxBytes int) {
	page := binary.BigEndian.AppendUint64(nil, uint64(end))
	page = binary.BigEndian.AppendUint64(page, 0) // First offset kept.
	for i, r := range records {
		size := 1 + len(r.key) + len(r.value)
		if i > 0 && len(page)+size > maxBytes {
			break
		}
		page = binary.BigEndian.AppendUint32(page, uint32(size))
		page = append(append(append(page, byte(len(r.key))), r.key...), r.value...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(page)))
	w.Write(page)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > newestPageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), newestPageItems)] {
		n := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}

// decodeRecords decodes the body of an append.
func decodeRecords(body []byte) ([]keyedRecord, bool) {
	const lengthBytes = 4
	var records []keyedRecord
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if size < 1 || size > len(body) || 1+int(body[0]) > size {
			return nil, false
		}
		keyEnd := 1 + int(body[0])
		records = append(records, keyedRecord{string(body[1:keyEnd]), slices.Clone(body[keyEnd:size])})
		body = body[size:]
	}
	return records, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}
