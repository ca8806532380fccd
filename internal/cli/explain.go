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

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

func explainCommand(o output) *ffcli.Command {
	return leaf{
		usage:   "guavapier explain ID < LOG",
		help:    "Print one request's story from the logs of any instances, in order.",
		example: "guavapier explain 9c41d07be2a35f68 < entry-1.log",
		args:    []string{"ID"},
		run: func(_ context.Context, args []string) error {
			lines, err := storyOf(o.in, args[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return eris.Errorf("cli: no line names request %q; was its instance's log read?", args[0])
			}
			for _, line := range lines {
				fmt.Fprintln(o.out, line)
			}
			return nil
		},
	}.command("explain")
}

// storyOf returns the lines that name a request, by time. A line may have
// something in front of its JSON object, such as the name of a host.
func storyOf(log io.Reader, id string) ([]string, error) {
	type told struct {
		at, text string
	}
	var story []told
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		front, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte("{"+object), &fields); err != nil || fields["request"] != id {
			continue // Not a line of ours, or of another request.
		}
		at, _ := fields["time"].(string)
		story = append(story, told{at: at, text: strings.TrimSpace(strings.TrimSpace(front) + " " + toldLine(fields))})
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "cli: read log")
	}
	slices.SortStableFunc(story, func(a, b told) int { return cmp.Compare(a.at, b.at) })
	lines := make([]string, len(story))
	for i, t := range story {
		lines[i] = t.text
	}
	return lines, nil
}

// toldLine writes a line's message first, then its fields by name.
func toldLine(fields map[string]any) string {
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
