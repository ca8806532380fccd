package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// engineOptions are the flags of an engine.
type engineOptions struct {
	listen, id string
	bodyBytes  int           // Length of an answer's body.
	work       time.Duration // From the start of a request's run to the end of its answer.
	unframed   bool          // Answers have no length and end with their connection.
	extraEvery int64         // Each answer of this number is followed by an extra one; 0 for none.

	answers atomic.Int64
}

// Lines that an engine writes, before the identity of a request.
const (
	lineRuns     = "runs "
	lineHalfSent = "has sent half of the answer to "
	lineAnswered = "has answered "
	lineExtra    = "sends an extra answer before the one to "
)

// runEngine runs a stand-in of a plain service's engine until the process is killed, or returns why
// it can't. It writes a line for each step of each request.
func runEngine(args []string) error {
	o := &engineOptions{}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	flags.StringVar(&o.listen, "listen", "", "address")
	flags.StringVar(&o.id, "id", "", "identity")
	flags.IntVar(&o.bodyBytes, "body", 800, "bytes of an answer's body")
	flags.DurationVar(&o.work, "work", 15*time.Millisecond, "time from the start of a run to the end of its answer")
	flags.BoolVar(&o.unframed, "unframed", false, "answers have no length and end with their connection")
	flags.Int64Var(&o.extraEvery, "extra-every", 0, "number of answers of which the last is followed by an extra one")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go o.serve(conn)
	}
}

// serve answers the requests of one connection.
func (o *engineOptions) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	extra := "" // What is sent before the next answer.
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if expected := r.Header.Get("Expect-Instance"); expected != o.id {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, o.id); err != nil {
				return
			}
			continue
		}
		fmt.Println(lineRuns + id)
		if extra != "" {
			fmt.Printf("%s%s: %q\n", lineExtra, id, extra)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
		}
		if err := o.answer(conn, id); err != nil {
			fmt.Printf("could not answer %s: %v\n", id, err)
			return
		}
		fmt.Println(lineAnswered + id)
		if o.unframed {
			return
		}
		extra = o.nextExtra()
	}
}

// extraAnswers are in the forms in which the pages show that another engine has the address, and that
// an engine sheds. They are additional to the answers before and after them.
var extraAnswers = [...]string{
	"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-02d9e6b4\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
}

// nextExtra returns the extra answer that follows the answer just written, "" for none. The forms take
// turns.
func (o *engineOptions) nextExtra() string {
	if o.extraEvery <= 0 {
		return ""
	}
	n := o.answers.Add(1)
	if n%o.extraEvery != 0 {
		return ""
	}
	return extraAnswers[(n/o.extraEvery-1)%int64(len(extraAnswers))]
}

// errNoReader is returned if the caller has closed its connection.
var errNoReader = errors.New("the caller has closed its connection")

// answer writes an answer: the first half of its body after half of the work, the rest at its end.
func (o *engineOptions) answer(conn net.Conn, id string) error {
	framing := fmt.Sprintf("Content-Length: %d", o.bodyBytes)
	if o.unframed {
		framing = "Connection: close"
	}
	body := answerBody(id, o.bodyBytes)
	half := len(body) / 2
	time.Sleep(o.work / 2)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: review.%s\r\n%s\r\n\r\n%s", id, o.id, framing, body[:half]); err != nil {
		return errors.Join(errNoReader, err)
	}
	fmt.Println(lineHalfSent + id)
	time.Sleep(o.work / 2)
	if _, err := io.WriteString(conn, body[half:]); err != nil {
		return errors.Join(errNoReader, err)
	}
	return nil
}

// answerBody returns the whole body of the answer to a request, which names the request all along.
func answerBody(id string, length int) string {
	line := id + "\n"
	return strings.Repeat(line, length/len(line)+1)[:length]
}
