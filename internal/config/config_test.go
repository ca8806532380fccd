package config_test

import (
	"os"
	"strings"
	"testing"

	"guavapier/internal/config"
	"guavapier/internal/record"
)

// Every known path takes its default, refuses nonsense, and is on the page.
func TestPathsAreDocumentedAndTyped(t *testing.T) {
	for _, p := range config.Paths() {
		path := p.Example()
		if found, ok := config.FindPath(path); !ok || found.Pattern != p.Pattern {
			t.Errorf("%s is found as %q", path, found.Pattern)
		}
		if p.Default != "" && p.Default != "never" && p.Default != "none" {
			if findings := config.Validate([]record.ChangeOp{{Path: path, Value: p.Default}}, ""); len(findings) > 0 {
				t.Errorf("its own default: %v", findings)
			}
		}
		isTyped := !strings.HasPrefix(p.Allowed(), "text")
		findings := config.Validate([]record.ChangeOp{{Path: path, Value: "-1 / nonsense"}}, "")
		if (len(findings) > 0) != isTyped {
			t.Errorf("%s takes nonsense: %v", path, findings)
		}
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), config.PathReference()) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", config.PathReference())
	}
}
