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

// answer is how an engine answers.
type answer struct {
	work   time.Duration // How long it takes.
	events int           // Spread evenly over the work.
}

// runEngine serves requests as an engine does, until the process is killed. It writes what it does to
// standard output. Its arguments are its ID, the time that an answer takes in milliseconds, and
// its events.
func runEngine(args []string) {
	id := args[0]
	workMS, err := strconv.Atoi(args[1])
	if err != nil {
		os.Exit(exitNotRun)
	}
	events, err := strconv.Atoi(args[2])
	if err != nil {
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
		go serveConn(conn, id, answer{time.Duration(workMS) * time.Millisecond, events})
	}
}

// serveConn serves the requests of one connection.
func serveConn(conn net.Conn, id string, a answer) {
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
		a.stream(conn, request)
	}
}

// stream answers with events, in chunks.
func (a answer) stream(conn net.Conn, request string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request, "sig."+request)
	for n := range a.events {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n+1, request, n+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			fmt.Println("cut", request, "after", n)
			return
		}
		time.Sleep(a.work / time.Duration(a.events))
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
func (s *scene) startEngine(service, zone, id string, a answer) (*engine, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	listening := make(chan string, 1)
	cmd := exec.Command(self, "engine", id, strconv.FormatInt(a.work.Milliseconds(), 10), strconv.Itoa(a.events))
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
