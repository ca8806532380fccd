package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"guavapier/internal/logstore"
)

// Kinds of answers of an engine.
const (
	// kindUnframed: the answer has no length and ends with its connection. Its first half is
	// sent at once, the rest when the work is done.
	kindUnframed = "unframed"
	// kindStream: a series of events in chunks, one each eventPause.
	kindStream = "stream"
)

// eventPause is the pause between two events of a stream.
const eventPause = 200 * time.Millisecond

// answerBytes is the size of an answer that is no stream.
const answerBytes = 800

// wholeBody returns the body that an engine gives to a request: it follows from its identity, so
// that a client knows it.
func wholeBody(request string) string {
	body := strings.Builder{}
	for n := 0; body.Len() < answerBytes; n++ {
		fmt.Fprintf(&body, "%s:%d;", request, n)
	}
	return body.String()[:answerBytes-4] + "END\n"
}

// runEngine serves requests as an engine does, until the process is killed. It writes what it does to
// standard output. Its arguments are its ID, its address, the kind of its answers, and the time that
// an answer takes in milliseconds.
func runEngine(args []string) {
	id, address, kind := args[0], args[1], args[2]
	workMS, err := strconv.Atoi(args[3])
	if err != nil {
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(exitNotRun)
	}
	fmt.Println("listens", listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, id, kind, time.Duration(workMS)*time.Millisecond)
	}
}

// serveConn serves the requests of one connection.
func serveConn(conn net.Conn, id, kind string, work time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		request := r.Header.Get("Request-Id")
		if r.Header.Get("Expect-Instance") != id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", request, id)
			continue
		}
		fmt.Println("runs", request)
		if kind == kindStream {
			stream(conn, request, work)
			continue
		}
		unframed(conn, request, work)
		return
	}
}

// unframed answers without a length.
func unframed(conn net.Conn, request string, work time.Duration) {
	body := wholeBody(request)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", request, "sig."+request, body[:answerBytes/2])
	time.Sleep(work)
	fmt.Fprint(conn, body[answerBytes/2:])
	fmt.Println("ends", request)
}

// stream answers with events, in chunks, for the time that the work takes.
func stream(conn net.Conn, request string, work time.Duration) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request, "sig."+request)
	for n := range int(work / eventPause) {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n+1, request, n+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			fmt.Println("cut", request, "after", n)
			return
		}
		time.Sleep(eventPause)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	fmt.Println("ends", request)
}

// engine is a process of an engine.
type engine struct {
	*process
	id, address string
}

// startEngine starts an engine of the service and lists it in the store.
func (s *scene) startEngine(service, zone, id, kind string, work time.Duration) (*engine, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	cmd := exec.Command(self, "engine", id, "127.0.0.1:0", kind, strconv.FormatInt(work.Milliseconds(), 10))
	p, err := s.run(id, cmd, func(line string) {
		if address, ok := strings.CutPrefix(line, "listens "); ok {
			listening <- address
			return
		}
		s.record("engine %s %s", id, line)
	})
	if err != nil {
		return nil, err
	}
	select {
	case address := <-listening:
		s.record("engine %s of %s listens at %s", id, service, address)
		s.listEngine(service, zone, id, address)
		return &engine{process: p, id: id, address: address}, nil
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("engine %s does not listen", id)
	}
}

// listEngine writes the entry of an engine, as it does itself.
func (s *scene) listEngine(service, zone, id, address string) {
	s.keyed.Set(logstore.TopicEndpoints, id, []byte(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","warmup_left_ms":0,"born":%d,"sequence":1}`, service, address, zone, time.Now().UnixMilli())))
}

// unlistEngine removes the entry of an engine, as the platform does after three pings without one.
func (s *scene) unlistEngine(id string) { s.keyed.Set(logstore.TopicEndpoints, id, nil) }
