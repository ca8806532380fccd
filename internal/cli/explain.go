package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// maxLogLineBytes bounds the length of one log line. A longer one is an error.
const maxLogLineBytes = 1 << 20

func explainCommand(std stdio) *ffcli.Command {
	return leafCommand{
		usage:   "guavapier explain ID < LOG",
		help:    "Print one request's story from the logs of any instances, in order.",
		example: "guavapier explain 9c41d07be2a35f68 < entry-1.log",
		args:    []string{"ID"},
		run: func(_ context.Context, args []string) error {
			lines, err := requestLines(std.in, args[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return eris.Errorf("cli: no line names request %q; was its instance's log read?", args[0])
			}
			for _, line := range lines {
				fmt.Fprintln(std.out, line)
			}
			return nil
		},
	}.build("explain")
}

// requestLines returns the log lines whose "request" field is id, formatted and
// sorted by time. Text in front of a line's JSON object, such as a host name, is
// kept.
func requestLines(log io.Reader, id string) ([]string, error) {
	type entry struct {
		time, text string
	}
	var entries []entry
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		prefix, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte("{"+object), &fields); err != nil || fields["request"] != id {
			continue // Not an instance's log line, or one of another request.
		}
		time, _ := fields["time"].(string)
		entries = append(entries, entry{time: time, text: strings.TrimSpace(strings.TrimSpace(prefix) + " " + formatLine(fields))})
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "cli: read log")
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.time, b.time) })
	lines := make([]string, len(entries))
	for i, e := range entries {
		lines[i] = e.text
	}
	return lines, nil
}

// formatLine returns a line's time and message, followed by its other fields as
// name=JSON, sorted by name. The level and the request are left out.
func formatLine(fields map[string]any) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v %v", fields["time"], fields["message"])
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains([]string{"time", "message", "level", "request"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		value, err := json.Marshal(fields[name])
		if err != nil {
			value = []byte(fmt.Sprint(fields[name]))
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}
