package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJudge decides about requests while ten endpoints with 64 requests each have crashed.
func BenchmarkJudge(b *testing.B) {
	const crashes, requests = 10, 64
	table, now := NewTable("me"), startTime
	for i := range crashes {
		now = now.Add(time.Second)
		all := []Content{promptContent(i, "a", "bad")}
		for n := range requests - 1 {
			all = append(all, promptContent(1000*i+n, "a", fmt.Sprint("tenant ", n%20), fmt.Sprint("session ", i, n)))
		}
		table.recordCrashOf(fmt.Sprint("e", i), now, all...)
	}
	now = now.Add(reportGracePeriod)
	for name, c := range map[string]Content{
		"unknown":     promptContent(-1, "x", "y", "z"),
		"suspected":   promptContent(-1, "a", "tenant 3", "session"),
		"quarantined": promptContent(-1, "a", "bad", "session"),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.judge(table.lookup(c), now)
			}
		})
	}
	b.Run("empty table", func(b *testing.B) {
		empty, c := NewTable("me"), promptContent(-1, "x", "y", "z")
		for b.Loop() {
			empty.judge(empty.lookup(c), now)
		}
	})
	b.Run("answer", func(b *testing.B) {
		empty, c := NewTable("me"), promptContent(-1, "x", "y", "z")
		for b.Loop() {
			empty.recordAnswer(c.Parts, "e1", now)
		}
	})
}
