package config_test

import (
	"os"
	"strings"
	"testing"

	"guavapier/internal/config"
	"guavapier/internal/record"
)

// Every known path accepts its default value, rejects a value of the wrong type,
// and is documented in the operators' reference.
func TestPathsAreDocumentedAndTyped(t *testing.T) {
	for _, p := range config.Paths() {
		path := p.Example()
		if found, ok := config.FindPath(path); !ok || found.Pattern != p.Pattern {
			t.Errorf("FindPath(%q) returned the pattern %q", path, found.Pattern)
		}
		if p.Default != "" && p.Default != "never" && p.Default != "none" {
			if findings := config.Validate([]record.ChangeOp{{Path: path, Value: p.Default}}, ""); len(findings) > 0 {
				t.Errorf("the default is rejected: %v", findings)
			}
		}
		isTyped := !strings.HasPrefix(p.Allowed(), "text")
		findings := config.Validate([]record.ChangeOp{{Path: path, Value: "-1 / nonsense"}}, "")
		if (len(findings) > 0) != isTyped {
			t.Errorf("%s: findings for a value of the wrong type: %v", path, findings)
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
