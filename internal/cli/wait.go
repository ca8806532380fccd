package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// instanceRow is one instance of the instance list, as the operators' interface
// returns it. Applied is the offset after the last entry of the configuration stream
// that the instance has applied.
type instanceRow struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
	Applied uint64 `json:"applied"`
}

// waitPollInterval is the pause between two requests while waiting for a change.
const waitPollInterval = 200 * time.Millisecond

func settingsWait(std stdio) *ffcli.Command {
	fs := newFlagSet("wait")
	c := newOperatorClient(std, fs)
	timeout := fs.Duration("timeout", 30*time.Second, "longest `duration` to wait")
	return leafCommand{
		usage: "guavapier settings wait [flags] CHANGE", help: "Wait until every listed instance has a change in force.",
		example: "guavapier settings wait -timeout 10s 0b6f3c1e-8f57-4f0e-9d5c-0c5b8a3f1a11",
		flags:   fs, args: []string{"CHANGE"},
		run: func(ctx context.Context, args []string) error {
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			start := time.Now()
			offset, err := c.awaitAccepted(ctx, args[0])
			if err != nil {
				return err
			}
			rows, err := c.awaitApplied(ctx, offset)
			if err != nil {
				return err
			}
			if *c.jsonOutput {
				return c.print(rows, "", nil)
			}
			fmt.Fprintf(std.out, "in force on %d instances after %s\n", len(rows), time.Since(start).Round(time.Millisecond))
			return nil
		},
	}.build("wait")
}

// awaitAccepted waits until a change has a result and returns its offset. It returns
// an error if the change was rejected, or has no result when ctx ends.
func (c client) awaitAccepted(ctx context.Context, id string) (uint64, error) {
	for {
		var result changeRow
		err := c.call(ctx, http.MethodGet, "/changes/"+url.PathEscape(id), nil, &result)
		switch {
		case err == nil && result.Accepted:
			return result.Offset, nil
		case err == nil:
			return 0, fmt.Errorf("change %s was refused: %s", id, result.Verdict)
		case !hasErrorCode(err, "no_such_change"):
			return 0, err
		}
		if !sleep(ctx, waitPollInterval) {
			return 0, err
		}
	}
}

// awaitApplied waits until all listed instances have applied the entry at offset and
// returns them. It does not wait for leaving instances, which take no new requests.
// If ctx ends first, the error names the instances that lag behind.
func (c client) awaitApplied(ctx context.Context, offset uint64) ([]instanceRow, error) {
	for {
		var rows, lagging []instanceRow
		if err := c.call(ctx, http.MethodGet, "/instances", nil, &rows); err != nil {
			return nil, err
		}
		for _, r := range rows {
			if !r.Leaving && r.Applied <= offset {
				lagging = append(lagging, r)
			}
		}
		if len(lagging) == 0 {
			return rows, nil
		}
		if !sleep(ctx, waitPollInterval) {
			return nil, fmt.Errorf("not in force on %s", formatLagging(lagging, offset))
		}
	}
}

// formatLagging lists instances with the number of offsets that each lags behind.
func formatLagging(rows []instanceRow, offset uint64) string {
	texts := make([]string, len(rows))
	for i, r := range rows {
		texts[i] = fmt.Sprintf("%s in %s (%d offsets behind)", r.ID, r.Zone, offset+1-r.Applied)
	}
	return strings.Join(texts, ", ")
}

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
