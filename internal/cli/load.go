package cli

import (
	"context"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapier/internal/load"
)

func loadCommand(std stdio) *ffcli.Command {
	fs := newFlagSet("load")
	c := newCallerClient(std, fs)
	trace := fs.String("trace", "", "`file` of the trace, JSON lines")
	targets := fs.String("targets", "", "instances' base `URLs`, parted by commas, used in turn; else the one at -addr")
	speed := fs.Float64("speed", 1, "`factor` by which the trace is replayed faster than recorded")
	direct := fs.Bool("direct", false, "the targets are engines: measure what the router adds")
	standin := fs.Bool("standin", false, "stand-ins answer, so check each answer's content")
	return leafCommand{
		usage: "guavapier load [flags] -trace FILE", help: "Replay a trace of requests and compare the outcomes with those it states.",
		example: "guavapier load -standin -trace examples/traces/dala-vibro.jsonl -targets http://127.0.1.1:8080,http://127.0.1.2:8080",
		flags:   fs,
		run: func(ctx context.Context, _ []string) error {
			options := load.Options{TracePath: *trace, Speed: *speed, Direct: *direct, StandIn: *standin}
			switch {
			case *trace == "":
				return usagef("-trace FILE is missing")
			case *speed <= 0:
				return usagef("-speed is %v; allowed: more than 0", *speed)
			}
			var err error
			if options.Targets, err = targetURLs(*targets, *c.addr); err != nil {
				return err
			}
			if options.APIKey, err = c.secret(); err != nil {
				return err
			}
			report, err := load.Run(ctx, options)
			if err != nil {
				return err
			}
			return c.printReport(report)
		},
	}.build("load")
}

// targetURLs splits a comma-separated list of base URLs of the form http://IP:port.
// An empty list stands for the instance at addr.
func targetURLs(list, addr string) ([]string, error) {
	if list == "" {
		list = "http://" + addr
	}
	urls := strings.Split(list, ",")
	for _, text := range urls {
		u, err := url.Parse(text)
		if err == nil {
			_, err = netip.ParseAddrPort(u.Host)
		}
		if err != nil || u.Scheme != "http" {
			return nil, usagef("a target is %q; allowed: http://IP:port", text)
		}
	}
	return urls, nil
}

// printReport prints a row for each class of requests. It returns an error if the
// trace states an outcome that was not met.
func (c client) printReport(r load.Report) error {
	header := "CLASS\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tPARTIAL\tWRONG\tLATE\tFIRST P50\tFIRST P99\tWHOLE P50\tWHOLE P99"
	err := c.print(r, header, func(add func(...any)) {
		for _, k := range r.Classes {
			add(k.Name, k.Sent, k.Answered, k.NotRun, k.Unknown, k.Partial, k.Wrong, k.Late,
				roundLatency(k.FirstP50), roundLatency(k.FirstP99), roundLatency(k.WholeP50), roundLatency(k.WholeP99))
		}
	})
	if err == nil && len(r.Violations) > 0 {
		err = fmt.Errorf("stated outcomes not met:\n%s", strings.Join(r.Violations, "\n"))
	}
	return err
}

func roundLatency(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
