package cli

import (
	"context"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"

	"guavapier/internal/fold"
)

// closeShardWarning is printed before an operator closes a claim shard.
const closeShardWarning = "Close a claim shard only if its holder and its witness are gone for good. A call that\n" +
	"ran under a claim that only these two knew can run again if its caller retries; and a\n" +
	"holder and witness that are alive behind a cut go on counting claims."

func shardCommand(std stdio) *ffcli.Command {
	return groupCommand("shard", "guavapier shard close", "Repair the shards that claim calls.",
		"guavapier shard close 2f0c6f0e-54a8-4a5c-9e0f-1a2b3c4d5e6f", shardClose(std))
}

func shardClose(std stdio) *ffcli.Command {
	fs := newFlagSet("close")
	c := newOperatorClient(std, fs)
	yes := fs.Bool("yes", false, "do not ask, for scripts")
	return leafCommand{
		usage: "guavapier shard close [flags] RIGHT", help: "Close a claim shard whose holder and witness are gone for good.",
		example: "guavapier shard close 2f0c6f0e-54a8-4a5c-9e0f-1a2b3c4d5e6f",
		flags:   fs, args: []string{"RIGHT"},
		run: func(ctx context.Context, args []string) error {
			var row fold.Shard
			if err := c.confirmAndClose(ctx, std, *yes, closeShardWarning, "/shards/"+url.PathEscape(args[0])+"/close", &row); err != nil {
				return err
			}
			return c.print(row, "RIGHT\tZONE\tSHARD\tEPOCH", func(add func(...any)) {
				add(row.Right, row.Zone, row.Shard.Shard, row.Epoch)
			})
		},
	}.build("close")
}
