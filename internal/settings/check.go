package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// check holds every value against its key's rule, then the keys against each
// other. A key with a finding gets no second one.
func (p *parse) check() {
	for _, k := range p.keys {
		field, ok := fieldOf(p.root, strings.Split(k.Name, "."))
		if !ok || p.wrong[k.Name] || p.broken && p.lines[k.Name] == 0 {
			continue
		}
		if problem := k.check(field); problem != "" {
			p.add(p.place(k.Name), k.Name, "%s; allowed: %s", problem, k.Allowed())
		}
	}
	if !p.broken {
		p.together()
	}
}

// place returns the line of a key, else that of its table, else 0.
func (p *parse) place(key string) int {
	if line, ok := p.lines[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return p.lines[table]
}

// check returns what is wrong with a value, or nothing.
func (k Key) check(field reflect.Value) string {
	if k.required && (field.IsZero() || field.Kind() == reflect.Map && field.Len() == 0) {
		return "is missing"
	}
	switch k.form {
	case formName:
		return problemUnless(namePattern.MatchString(field.String()), field)
	case formAddress:
		_, err := netip.ParseAddrPort(field.String())
		return problemUnless(err == nil, field)
	case formURL:
		return problemUnless(isPlatformURL(field.String()), field)
	case formChoice:
		return problemUnless(slices.Contains(k.choices, field.String()), field)
	case formCount, formDuration:
		return problemUnless(field.Int() >= k.min && field.Int() <= k.max, field)
	case formLinks:
		names, _ := field.Interface().([]string)
		unknown := slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(links(), name) })
		return problemUnless(!unknown, field)
	default:
		return ""
	}
}

// problemUnless returns what the value is, unless it is right.
func problemUnless(ok bool, field reflect.Value) string {
	if ok {
		return ""
	}
	switch v := field.Interface().(type) {
	case Duration:
		return "is " + v.D().String()
	case string:
		return fmt.Sprintf("is %q", v)
	default:
		return fmt.Sprintf("is %v", v)
	}
}

func isPlatformURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Path != "" || u.RawQuery != "" || u.User != nil {
		return false
	}
	addr, err := netip.ParseAddrPort(u.Host)
	return err == nil && addr.Port() != 0
}

// checkTogether reports keys that are right each by itself but not together.
func (p *parse) checkTogether(s *Settings) {
	together := func(ok bool, key, format string, args ...any) {
		if !ok && !p.wrong[key] {
			p.add(p.place(key), key, format, args...)
		}
	}
	_, known := s.Sessions.KeyFiles[s.Sessions.CurrentKey]
	together(known || p.wrong["sessions.key_files"], "sessions.current_key", "is %q; allowed: one of the ids in sessions.key_files", s.Sessions.CurrentKey)
	together(s.Ledger.Linger < s.Ledger.Patience, "ledger.patience",
		"is %s; allowed: more than ledger.linger, which is %s, or no request ever gets a grant", s.Ledger.Patience.D(), s.Ledger.Linger.D())
	together(s.Limits.MaxTokens <= int(s.Limits.AnswerBytes), "limits.max_tokens",
		"is %d; allowed: at most limits.answer_bytes, which is %d, or a whole answer never fits", s.Limits.MaxTokens, s.Limits.AnswerBytes)
	p.checkAddresses([]listener{
		{"instance.callers", s.Instance.Callers}, {"instance.operators", s.Instance.Operators}, {"instance.peers", s.Instance.Peers},
	})
	p.checkTLS(s)
}

// checkTLS reports each interface that is neither secured nor named as plain.
func (p *parse) checkTLS(s *Settings) {
	t := s.TLS
	if p.wrong["tls.plain"] {
		return
	}
	own := t.Certificate != "" && t.Key != ""
	if !own && t.Certificate+t.Key != "" {
		p.add(p.place("tls.certificate"), "tls.certificate", "stands without tls.key, or the other way; allowed: both or none")
	}
	https := strings.HasPrefix(s.Platform.URL, "https://")
	for _, l := range []struct {
		link  string
		ready bool
		needs string
	}{
		{LinkCallers, own, "tls.certificate and tls.key"},
		{LinkOperators, own, "tls.certificate and tls.key"},
		{LinkPeers, own && t.PeersCA != "", "tls.certificate, tls.key and tls.peers_ca"},
		{LinkPlatform, https && t.OutsideCA != "", "an https platform.url and tls.outside_ca"},
		{LinkEndpoints, t.OutsideCA != "", "tls.outside_ca"},
	} {
		if t.Secured(l.link) && !l.ready {
			p.add(p.place("tls.plain"), "tls.plain", "does not name %q, which is not secured; allowed: its name here, or %s", l.link, l.needs)
		}
	}
	if https && !t.Secured(LinkPlatform) {
		p.add(p.place("platform.url"), "platform.url", "is https while tls.plain names %q; allowed: one of the two", LinkPlatform)
	}
}

// listener is an address of the settings that is listened on.
type listener struct{ key, addr string }

// checkAddresses reports listeners that would take each other's port.
func (p *parse) checkAddresses(listeners []listener) {
	taken := map[netip.AddrPort]string{}
	for _, l := range listeners {
		addr, err := netip.ParseAddrPort(l.addr)
		if err != nil || addr.Port() == 0 || p.wrong[l.key] {
			continue
		}
		if other, ok := taken[addr]; ok {
			p.add(p.lines[l.key], l.key, "is %q as %s is; allowed: an address of its own", l.addr, other)
			continue
		}
		taken[addr] = l.key
	}
}
