package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"guavapier/internal/settings"
)

func TestFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "check" {
			t.Fatalf("unknown command %s", d.Cmd)
		}
		if _, err := settings.Parse("f.toml", []byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

func TestExamplesAreRight(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	zoneFiles, err := filepath.Glob("../../examples/*/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	const wantFiles = 1 + 2*4 // The complete file, and two deployments with a file for each of four zones.
	files = append(files, zoneFiles...)
	if len(files) != wantFiles {
		t.Fatalf("%d example files, want %d", len(files), wantFiles)
	}
	for _, file := range files {
		s, err := settings.Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if dir := filepath.Base(filepath.Dir(file)); dir != "examples" && s.Instance.Zone+".toml" != filepath.Base(file) {
			t.Errorf("%s sets the zone %s; want the zone that the file is named after", file, s.Instance.Zone)
		}
	}
}

// The complete example has every key, and the values of the keys that it comments
// out are the defaults.
func TestCompleteExample(t *testing.T) {
	data, err := os.ReadFile("../../examples/guavapier.toml")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if key, ok := strings.CutPrefix(line, "# "); ok && strings.Contains(key, " = ") {
			lines[i] = key
		}
	}
	text := strings.Join(lines, "\n")
	got, err := settings.Parse("guavapier.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Default()
	want.Instance, want.Platform.URL, want.Sessions, want.Operator = got.Instance, got.Platform.URL, got.Sessions, got.Operator
	want.TLS = got.TLS // The files have no default, and the example lists all interfaces in tls.plain.
	if !reflect.DeepEqual(got, want) {
		t.Errorf("values in the example:\n%+v\ndefaults:\n%+v", got, want)
	}
	var tables map[string]map[string]any
	if err := toml.Unmarshal([]byte(text), &tables); err != nil {
		t.Fatal(err)
	}
	for _, k := range settings.Keys() {
		table, key, _ := strings.Cut(k.Name, ".")
		if _, ok := tables[table][key]; !ok {
			t.Errorf("the complete example lacks %s", k.Name)
		}
	}
}

// Keys has one entry for each field of Settings, in the same order.
func TestKeysMatchTheType(t *testing.T) {
	var fields []string
	root := reflect.TypeFor[settings.Settings]()
	for i := range root.NumField() {
		table := root.Field(i)
		for j := range table.Type.NumField() {
			fields = append(fields, table.Tag.Get("toml")+"."+table.Type.Field(j).Tag.Get("toml"))
		}
	}
	var keys []string
	for _, k := range settings.Keys() {
		keys = append(keys, k.Name)
		if k.Doc == "" || k.Unit == "" {
			t.Errorf("%s lacks a unit or a description", k.Name)
		}
	}
	if !reflect.DeepEqual(fields, keys) {
		t.Errorf("fields %v\nkeys   %v", fields, keys)
	}
}

func TestReferenceIsInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), settings.Reference()) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", settings.Reference())
	}
}

// For arbitrary edits of a valid file, Parse returns no error other than Findings,
// and each finding has a key, a problem and a line that is within the text.
func TestFindingsHaveTheirPlace(t *testing.T) {
	example, err := os.ReadFile("../../examples/guavapier.toml")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := append([]byte(nil), example...)
		for range rapid.IntRange(1, 4).Draw(t, "cuts") {
			start := rapid.IntRange(0, len(text)).Draw(t, "at")
			end := min(len(text), start+rapid.IntRange(0, 20).Draw(t, "length"))
			replacement := rapid.SampledFrom([]string{"", "=", "[", "]", "\"", "\n", "x = 1\n", "{", "é", "'''", "\x00"}).Draw(t, "put")
			text = append(text[:start:start], append([]byte(replacement), text[end:]...)...)
		}
		_, err := settings.Parse("f.toml", text)
		var findings settings.Findings
		if err != nil && !errors.As(err, &findings) {
			t.Fatalf("the error is not Findings: %v", err)
		}
		lines := strings.Count(string(text), "\n") + 1
		for _, f := range findings {
			if f.Line < 0 || f.Line > lines || f.Key == "" || f.Problem == "" {
				t.Fatalf("incomplete finding %q, or its line is not within the text of %d lines", f, lines)
			}
		}
	})
}
