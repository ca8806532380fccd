package config

import (
	"path"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformedRepeatRule says that a rule for repeatable calls is malformed.
var ErrMalformedRepeatRule = eris.New(`config: a rule for repeatable calls is "METHOD /path"`)

// RepeatablePath returns the path of a service's rules for calls that may be
// repeated; see ParseRepeatRules.
func RepeatablePath(service string) string {
	return joinPath(FleetPath, "services", service, "repeatable")
}

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
			return nil, eris.Wrapf(ErrMalformedRepeatRule, "config: %q", item)
		}
		rules = append(rules, RepeatRule{Method: fields[0], Path: strings.TrimSuffix(fields[1], "/")})
	}
	return rules, nil
}

// matches compares whole path segments. A path that is not in its simplest
// form never matches, since the service may read it as another one.
func (rule RepeatRule) matches(method, callPath string) bool {
	if method != rule.Method || path.Clean(callPath) != strings.TrimSuffix(callPath, "/") || strings.ContainsAny(callPath, `%\`) {
		return false
	}
	remainder, ok := strings.CutPrefix(callPath, rule.Path)
	return ok && (remainder == "" || remainder[0] == '/')
}

// IsRepeatable says whether one of the rules covers a call.
func IsRepeatable(rules []RepeatRule, method, callPath string) bool {
	for _, rule := range rules {
		if rule.matches(method, callPath) {
			return true
		}
	}
	return false
}
