package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/settings"
)

// Guards against a reloader that takes the content at its first check for the one
// in force: settings that change while the instance starts, with a SIGHUP, would
// never be applied.
func TestAChangeWhileAnInstanceStartsIsApplied(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"{{node_name}}": "entry-1", "{{zone}}": "z", "{{listen.front}}": "127.0.0.1:8101", "{{listen.ready}}": "127.0.0.1:8102",
		"{{ip}}": "127.0.0.1", "{{port_range.0}}": "8104", "{{limits.memory_mb}}": "256", "{{limits.max_fds}}": "4096", "{{limits.link_mbps}}": "1000", "{{platform.address}}": "127.0.0.1:8105",
		"{{bounds.config_apply_ms}}": "2000", "{{bounds.drain_ms}}": "2000", "{{bounds.grace_s}}": "8", "{{bounds.retry_ratio}}": "0.2", "{{bounds.retry_extra}}": "50", "{{bounds.retry_window_s}}": "10",
	} {
		text = bytes.ReplaceAll(text, []byte(name), []byte(value))
	}
	sections := regexp.MustCompile(`(?s)\{\{#.*?\}\}.*?\{\{/.*?\}\}`) // Of values that this platform lacks.
	text = sections.ReplaceAll(text, nil)
	changed := bytes.Replace(text, []byte("extra = 50"), []byte("extra = 70"), 1)
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, changed, 0o600); err != nil {
		t.Fatal(err)
	}
	applied := make(chan settings.Gateway, 1)
	r := &reloader{file: file, lastText: text, apply: func(s settings.Gateway) { applied <- s }, log: zerolog.Nop()}
	hangups := make(chan os.Signal, 1)
	hangups <- syscall.SIGHUP
	go r.run(t.Context(), hangups)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	select {
	case s := <-applied:
		if s.Retries.Extra != 70 {
			t.Errorf("retries.extra is %d, want 70", s.Retries.Extra)
		}
	case <-ctx.Done():
		t.Fatal("changed settings not applied within 10 s")
	}
}
