package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"guavapier/internal/report"
)

// defaultReportSpan is the time that a row of the table over time covers, unless
// -span is given.
const defaultReportSpan = 2 * time.Second

func reportCommand(std stdio) *ffcli.Command {
	flags := newFlagSet("report")
	span := flags.Duration("span", defaultReportSpan, "length of a row of the table over time")
	svg := flags.String("svg", "", "file for a plot over time; none if empty")
	return leafCommand{
		usage:   "guavapier report [flags] < LOG",
		help:    "Sum up from logs what became of requests, by route, availability zone and time.",
		example: "guavapier report -svg requests.svg < entry-1.log",
		flags:   flags,
		run: func(_ context.Context, _ []string) error {
			if *span <= 0 {
				return usagef("-span is %s, it must be above 0", *span)
			}
			return writeReport(std, *span, *svg)
		},
	}.build("report")
}

// writeReport reads a log from standard input and prints the outcomes of requests by
// route, availability zone and time. If svg is not empty, it is the file to which
// the outcomes over time are plotted.
func writeReport(std stdio, span time.Duration, svg string) error {
	log, err := report.Read(std.in)
	if err != nil {
		return err
	}
	if len(log.Requests) == 0 {
		return eris.New("cli: the log has no line of an ended request; was an instance's log read?")
	}
	byTime := log.GroupByTime(span)
	tables := []report.Table{
		log.GroupBy("route", func(e report.Request) string { return e.Route }),
		log.GroupBy("availability zone", func(e report.Request) string { return e.Zone }),
		byTime,
	}
	for _, t := range tables {
		if err := t.WriteText(std.out); err != nil {
			return err
		}
		fmt.Fprintln(std.out)
	}
	if log.MissingLines > 0 {
		fmt.Fprintf(std.out, "%d lines of any kind were thinned or dropped: the counts lack some of them\n", log.MissingLines)
	}
	if svg == "" {
		return nil
	}
	return writePlot(byTime, span, svg)
}

func writePlot(byTime report.Table, span time.Duration, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "cli: create the plot's file")
	}
	if err := byTime.WriteSVG(file, span); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "cli: write the plot's file")
}
