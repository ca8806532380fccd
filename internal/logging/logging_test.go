package logging_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"guavapier/internal/logging"
)

var messagePattern = regexp.MustCompile(`\.Msgf?\(([^)]*)`)

// Every log message in the product's source begins with a prefix that Prefixes
// lists. The source is searched by text for calls of Msg and Msgf.
func TestEveryMessageHasItsPrefix(t *testing.T) {
	known := map[string]bool{}
	for _, p := range logging.Prefixes() {
		known[p.Name] = true
	}
	messages := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range messagePattern.FindAllStringSubmatch(string(source), -1) {
			messages++
			prefix, _, ok := strings.Cut(strings.TrimPrefix(m[1], "\""), ": ")
			if !ok || !known[prefix] {
				t.Errorf("%s: message %s has no prefix listed in Prefixes", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if messages == 0 {
		t.Fatal("no log message found in the source")
	}
}

func TestPrefixesAreInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), logging.PrefixTable()) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", logging.PrefixTable())
	}
}
