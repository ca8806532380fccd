package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// tokensPerEvent is how many output tokens an event of a stream holds, by the sheet.
	tokensPerEvent = 6
	firstEvent     = 60 * time.Millisecond // By the site file.
	eventGap       = 4 * time.Millisecond
)

// runStreamEngine runs a stand-in of a model engine until the process is killed, or returns why it
// can't. It produces as many output tokens as a request allows.
func runStreamEngine(args []string) error {
	var listen, id string
	flags := flag.NewFlagSet("stream-engine", flag.ContinueOnError)
	flags.StringVar(&listen, "listen", "", "address")
	flags.StringVar(&id, "id", "", "identity")
	if err := flags.Parse(args); err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		if expected := r.Header.Get("Expect-Instance"); expected != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_, output, err := tokenUsage(r.Header)
		if err != nil {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Println(lineRuns + request)
		w.Header().Set("Response-Signature", "review."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		pause := firstEvent
		for n := 1; n <= output/tokensPerEvent; n++ {
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			pause = eventGap
		}
		fmt.Println(lineAnswered + request)
	}
	server := &http.Server{Addr: listen, Handler: http.HandlerFunc(handler), ReadHeaderTimeout: startTimeout}
	return server.ListenAndServe()
}

// tokenUsage returns the numbers of prompt tokens and of output tokens at most.
func tokenUsage(h http.Header) (prompt, output int, err error) {
	in, out, _ := strings.Cut(h.Get("Token-Usage"), ",")
	if prompt, err = strconv.Atoi(in); err != nil {
		return 0, 0, err
	}
	output, err = strconv.Atoi(out)
	return prompt, output, err
}
