package config

import (
	"path"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformedRepeatRule reports a malformed rule for repeatable calls.
var ErrMalformedRepeatRule = eris.New(`config: a rule for repeatable calls is "METHOD /path"`)

// RepeatablePath returns the path of the rules that list a service's repeatable
// calls; see ParseRepeatRules.
func RepeatablePath(service string) string {
	return joinPath(FleetPath, "services", service, "repeatable")
}

// RepeatRule marks the calls with one method, to one path and all paths below it,
// as safe to execute more than once.
type RepeatRule struct {
	Method string
	Path   string // Without a trailing slash.
}

// ParseRepeatRules parses rules separated by commas or newlines, such as
// "GET /calendar, POST /tags". It returns no rules at all if one of them is
// malformed, as the safe default is that no call may be repeated. The error is
// ErrMalformedRepeatRule.
func ParseRepeatRules(text string) ([]RepeatRule, error) {
	var rules []RepeatRule
	for _, item := range strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == '\n' }) {
		fields := strings.Fields(item)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 || fields[0] != strings.ToUpper(fields[0]) || !strings.HasPrefix(fields[1], "/") {
			return nil, eris.Wrapf(ErrMalformedRepeatRule, "config: %q", item)
		}
		rules = append(rules, RepeatRule{Method: fields[0], Path: strings.TrimSuffix(fields[1], "/")})
	}
	return rules, nil
}

// matches reports whether the rule covers a call; it compares whole path
// segments. A path that is not normalized, or has an escape or a backslash, never
// matches, as the service may resolve it to a path that no rule covers.
func (rule RepeatRule) matches(method, callPath string) bool {
	if method != rule.Method || path.Clean(callPath) != strings.TrimSuffix(callPath, "/") || strings.ContainsAny(callPath, `%\`) {
		return false
	}
	remainder, ok := strings.CutPrefix(callPath, rule.Path)
	return ok && (remainder == "" || remainder[0] == '/')
}

// IsRepeatable reports whether one of the rules covers a call with this method
// and path.
func IsRepeatable(rules []RepeatRule, method, callPath string) bool {
	for _, rule := range rules {
		if rule.matches(method, callPath) {
			return true
		}
	}
	return false
}
