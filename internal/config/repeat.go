package config

import (
	"path"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrRepeatRule says that a rule for repeatable calls is malformed.
var ErrRepeatRule = eris.New(`config: a rule for repeatable calls is "METHOD /path"`)

// RepeatablePath returns the path of a service's rules for calls that may be
// repeated; see ParseRepeatRules.
func RepeatablePath(service string) string { return join(FleetPath, "services", service, "repeatable") }

// RepeatRule lets the calls of one method under one path be repeated.
type RepeatRule struct {
	Method string
	Path   string // Without a slash at the end.
}

// ParseRepeatRules reads rules, one a line or parted by commas, such as
// "GET /calendar, POST /tags". Malformed text gives no rules at all: the safe
// side is that nothing may be repeated.
func ParseRepeatRules(text string) ([]RepeatRule, error) {
	var rules []RepeatRule
	for _, item := range strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == '\n' }) {
		fields := strings.Fields(item)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 || fields[0] != strings.ToUpper(fields[0]) || !strings.HasPrefix(fields[1], "/") {
			return nil, eris.Wrapf(ErrRepeatRule, "config: %q", item)
		}
		rules = append(rules, RepeatRule{Method: fields[0], Path: strings.TrimSuffix(fields[1], "/")})
	}
	return rules, nil
}

// matches compares whole path segments. A path that is not in its simplest
// form never matches, since the service may read it as another one.
func (rule RepeatRule) matches(method, called string) bool {
	if method != rule.Method || path.Clean(called) != strings.TrimSuffix(called, "/") || strings.ContainsAny(called, `%\`) {
		return false
	}
	rest, ok := strings.CutPrefix(called, rule.Path)
	return ok && (rest == "" || rest[0] == '/')
}

// AnyRepeats says whether one of the rules covers a call.
func AnyRepeats(rules []RepeatRule, method, called string) bool {
	for _, rule := range rules {
		if rule.matches(method, called) {
			return true
		}
	}
	return false
}
