package settings_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"guavapier/internal/settings"
)

// templateValues holds the values that the platform substitutes for the
// placeholders of the deployed template.
var templateValues = map[string]string{
	"node_name": "edge-hall-a-1", "zone": "hall-a", "listen.front": "10.1.0.40:8227", "listen.ready": "10.1.0.40:8220",
	"ip": "10.1.0.40", "port_range.0": "7340", "limits.memory_mb": "284", "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "platform.address": "10.200.1.7:8223",
	"bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_extra": "56", "bounds.retry_window_s": "10",
}

// warmUpValues are the values that only a platform with cold endpoints has.
var warmUpValues = map[string]string{"bounds.warmup_overage": "1.5", "bounds.warmup_slack": "5"}

// renderTemplate returns the deployed template with its placeholders substituted;
// one without a value becomes empty, as does a section.
func renderTemplate(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	sections := regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`)
	text := sections.ReplaceAllStringFunc(string(template), func(m string) string {
		parts := sections.FindStringSubmatch(m)
		value, present := values[parts[1]]
		if !present {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(text, func(m string) string {
		return values[strings.Trim(m, "{}")]
	})
}

func TestTheDeployedTemplateHasTheWarmUp(t *testing.T) {
	values := maps.Clone(templateValues)
	maps.Copy(values, warmUpValues)
	g, err := settings.ParseGateway("t.toml", []byte(renderTemplate(t, values)))
	if err != nil {
		t.Fatal(err)
	}
	if g.WarmUp.Ratio != 1.5 || g.WarmUp.Extra != 5 {
		t.Errorf("the warm-up is %+v, want ratio 1.5 and extra 5", g.WarmUp)
	}
}

func TestTheDeployedTemplateIsRight(t *testing.T) {
	g, err := settings.ParseGateway("t.toml", []byte(renderTemplate(t, templateValues)))
	if err != nil {
		t.Fatal(err)
	}
	if g.WarmUp.Ratio != 1 || g.WarmUp.Extra != 0 {
		t.Errorf("a platform without cold endpoints has the warm-up %+v, want the defaults", g.WarmUp)
	}
	if g.Drain.Within.D() != 8*time.Second || g.Retries.Extra != 56 || g.Gateway.Peers != "10.1.0.40:7340" || g.Store.URL != "http://10.200.1.7:8223" {
		t.Errorf("settings of the rendered template: %+v", g)
	}
}

// Missing or malformed template values are all reported at once. A file that ends
// in the middle is an error.
func TestFindingsOfABrokenTemplateAreReportedTogether(t *testing.T) {
	values := map[string]string{}
	for name, value := range templateValues {
		values[name] = value
	}
	values["zone"], values["bounds.grace_s"], values["limits.memory_mb"] = "", "soon", ""
	_, err := settings.ParseGateway("t.toml", []byte(renderTemplate(t, values)))
	if err == nil {
		t.Fatal("no findings for a template with missing values")
	}
	for _, want := range []string{"t.toml:5: gateway.zone: is missing", "t.toml:10: toml: "} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("findings lack %q:\n%s", want, err)
		}
	}
	text := renderTemplate(t, templateValues)
	if _, err := settings.ParseGateway("t.toml", []byte(text[:len(text)/2])); err == nil {
		t.Error("no findings for the first half of a file")
	}
}

func TestGatewayFindings(t *testing.T) {
	text := renderTemplate(t, templateValues) + "unready = \"9s\"\nmore = 1\n"
	text = strings.Replace(text, "ratio = 0.2", "ratio = 1.5", 1)
	text = strings.Replace(text, "10.1.0.40:8220", "10.1.0.40:8227", 1)
	text = strings.Replace(text, "[drain]\n", "[drain]\nunready = \"9s\"\n", 1)
	_, err := settings.ParseGateway("t.toml", []byte(text))
	if err == nil {
		t.Fatal("no findings for invalid settings")
	}
	for _, want := range []string{
		"retries.ratio: is 1.5; allowed: 0 to 1", "drain.unready: is 9s; allowed: less than drain.within", "retries.more: is not a known key",
		"gateway.ready: is \"10.1.0.40:8227\" as gateway.callers is",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("findings lack %q:\n%s", want, err)
		}
	}
}

// A platform that scales limits to the size of the fleet renders fractions, also
// for counts. An integer key takes them, rounded down.
func TestACountTakesTheWholePartOfAFraction(t *testing.T) {
	for _, test := range []struct {
		number  string
		want    int64
		finding string
	}{
		{number: "33", want: 33},
		{number: "33.0", want: 33},
		{number: "33.158", want: 33},
		{number: "33.999", want: 33},
		{number: "0.4", want: 0},
		{number: "1e3", want: 1000},
		{number: "1_000.5", want: 1000},
		{number: "0x10", want: 16},
		{number: "-1", finding: "retries.extra: is -1; allowed: 0 to 1000000"},
		{number: "-0.5", finding: "retries.extra: is -1; allowed: 0 to 1000000"},
		{number: "1e7", finding: "retries.extra: is 10000000; allowed: 0 to 1000000"},
		{number: "1e300", finding: "retries.extra: is 1e300; allowed: an integer of 64 bits"},
		{number: "nan", finding: "retries.extra: is nan; allowed: an integer of 64 bits"},
		{number: "-inf", finding: "retries.extra: is -inf; allowed: an integer of 64 bits"},
		{number: "\"33\"", finding: "retries.extra: is a string; allowed: an integer"},
		{number: "true", finding: "retries.extra: is a bool; allowed: an integer"},
	} {
		values := map[string]string{}
		for name, value := range templateValues {
			values[name] = value
		}
		values["bounds.retry_extra"] = test.number
		g, err := settings.ParseGateway("t.toml", []byte(renderTemplate(t, values)))
		switch {
		case test.finding == "" && (err != nil || g.Retries.Extra != test.want):
			t.Errorf("%s: parsed as %d, error %v; want %d", test.number, g.Retries.Extra, err, test.want)
		case test.finding != "" && (err == nil || !strings.Contains(err.Error(), test.finding)):
			t.Errorf("%s: error %v; want %q", test.number, err, test.finding)
		}
	}
}

// A fraction is valid for every number that the deployed template takes from the
// platform.
func TestEveryNumberOfTheTemplateBearsAFraction(t *testing.T) {
	for _, name := range []string{"limits.memory_mb", "limits.max_fds", "bounds.config_apply_ms", "bounds.drain_ms", "bounds.grace_s", "bounds.retry_ratio", "bounds.retry_extra", "bounds.retry_window_s", "bounds.warmup_overage", "bounds.warmup_slack"} {
		values := maps.Clone(templateValues)
		maps.Copy(values, warmUpValues)
		values[name] += ".158"
		if name == "bounds.retry_ratio" || name == "bounds.warmup_overage" {
			values[name] = "0.2158"
		}
		if _, err := settings.ParseGateway("t.toml", []byte(renderTemplate(t, values))); err != nil {
			t.Errorf("%s = %s: %v", name, values[name], err)
		}
	}
	values := map[string]string{}
	for other, value := range templateValues {
		values[other] = value
	}
	values["bounds.retry_ratio"] = "nan"
	if _, err := settings.ParseGateway("t.toml", []byte(renderTemplate(t, values))); err == nil {
		t.Error("a retry ratio of NaN is accepted")
	}
}

func TestWhichFileIsAGateways(t *testing.T) {
	dir := t.TempDir()
	for name, test := range map[string]struct {
		text string
		want bool
	}{
		"gateway":        {"# x\n[gateway]\nname = \"a\"\n", true},
		"broken gateway": {"[gateway]\nname = \n", true},
		"no gateway":     {"[instance]\nname = \"gateway\"\n", false},
	} {
		file := filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := settings.IsGatewayFile(file); got != test.want {
			t.Errorf("%s: IsGatewayFile returned %t", name, got)
		}
	}
	if settings.IsGatewayFile(filepath.Join(dir, "missing")) {
		t.Error("IsGatewayFile returned true for a missing file")
	}
}

func TestGatewayKeysAreInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), settings.GatewayReference()) {
		t.Errorf("docs/OPERATIONS.md lacks this table:\n%s", settings.GatewayReference())
	}
}
