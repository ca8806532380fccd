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
func (p *fileParser) checkValues() {
	for _, k := range p.keys {
		field, ok := fieldByKey(p.root, strings.Split(k.Name, "."))
		if !ok || p.hasFinding[k.Name] || p.isTruncated && p.keyLines[k.Name] == 0 {
			continue
		}
		if problem := k.problem(field); problem != "" {
			p.addFinding(p.lineForKey(k.Name), k.Name, "%s; allowed: %s", problem, k.Allowed())
		}
	}
	if !p.isTruncated {
		p.crossCheck()
	}
}

// place returns the line of a key, else that of its table, else 0.
func (p *fileParser) lineForKey(key string) int {
	if line, ok := p.keyLines[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return p.keyLines[table]
}

// check returns what is wrong with a value, or nothing.
func (k Key) problem(field reflect.Value) string {
	if k.required && (field.IsZero() || field.Kind() == reflect.Map && field.Len() == 0) {
		return "is missing"
	}
	switch k.kind {
	case kindLabel:
		return problemUnless(namePattern.MatchString(field.String()), field)
	case kindAddress:
		_, err := netip.ParseAddrPort(field.String())
		return problemUnless(err == nil, field)
	case kindURL:
		return problemUnless(isPlatformURL(field.String()), field)
	case kindChoice:
		return problemUnless(slices.Contains(k.choices, field.String()), field)
	case kindCount, kindDuration:
		return problemUnless(field.Int() >= k.min && field.Int() <= k.max, field)
	case kindInterfaces:
		names, _ := field.Interface().([]string)
		unknown := slices.ContainsFunc(names, func(name string) bool { return !slices.Contains(interfaceNames(), name) })
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
func (p *fileParser) crossCheckSettings(s *Settings) {
	require := func(ok bool, key, format string, args ...any) {
		if !ok && !p.hasFinding[key] {
			p.addFinding(p.lineForKey(key), key, format, args...)
		}
	}
	_, known := s.Sessions.KeyFiles[s.Sessions.CurrentKey]
	require(known || p.hasFinding["sessions.key_files"], "sessions.current_key", "is %q; allowed: one of the ids in sessions.key_files", s.Sessions.CurrentKey)
	require(s.Ledger.Linger < s.Ledger.Patience, "ledger.patience",
		"is %s; allowed: more than ledger.linger, which is %s, or no request ever gets a grant", s.Ledger.Patience.D(), s.Ledger.Linger.D())
	require(s.Limits.MaxTokens <= int(s.Limits.AnswerBytes), "limits.max_tokens",
		"is %d; allowed: at most limits.answer_bytes, which is %d, or a whole answer never fits", s.Limits.MaxTokens, s.Limits.AnswerBytes)
	p.checkAddressConflicts([]listenAddress{
		{"instance.callers", s.Instance.Callers}, {"instance.operators", s.Instance.Operators}, {"instance.peers", s.Instance.Peers},
	})
	p.checkTLS(s)
}

// checkTLS reports each interface that is neither secured nor named as plain.
func (p *fileParser) checkTLS(s *Settings) {
	t := s.TLS
	if p.hasFinding["tls.plain"] {
		return
	}
	hasCertificate := t.Certificate != "" && t.Key != ""
	if !hasCertificate && t.Certificate+t.Key != "" {
		p.addFinding(p.lineForKey("tls.certificate"), "tls.certificate", "stands without tls.key, or the other way; allowed: both or none")
	}
	https := strings.HasPrefix(s.Platform.URL, "https://")
	for _, check := range []struct {
		iface        string
		isConfigured bool
		requirement  string
	}{
		{InterfaceCallers, hasCertificate, "tls.certificate and tls.key"},
		{InterfaceOperators, hasCertificate, "tls.certificate and tls.key"},
		{InterfacePeers, hasCertificate && t.PeersCA != "", "tls.certificate, tls.key and tls.peers_ca"},
		{InterfacePlatform, https && t.OutsideCA != "", "an https platform.url and tls.outside_ca"},
		{InterfaceEndpoints, t.OutsideCA != "", "tls.outside_ca"},
	} {
		if t.RequiresTLS(check.iface) && !check.isConfigured {
			p.addFinding(p.lineForKey("tls.plain"), "tls.plain", "does not name %q, which is not secured; allowed: its name here, or %s", check.iface, check.requirement)
		}
	}
	if https && !t.RequiresTLS(InterfacePlatform) {
		p.addFinding(p.lineForKey("platform.url"), "platform.url", "is https while tls.plain names %q; allowed: one of the two", InterfacePlatform)
	}
}

// listener is an address of the settings that is listened on.
type listenAddress struct{ key, addr string }

// checkAddresses reports listeners that would take each other's port.
func (p *fileParser) checkAddressConflicts(addresses []listenAddress) {
	keyByAddress := map[netip.AddrPort]string{}
	for _, listen := range addresses {
		addr, err := netip.ParseAddrPort(listen.addr)
		if err != nil || addr.Port() == 0 || p.hasFinding[listen.key] {
			continue
		}
		if other, ok := keyByAddress[addr]; ok {
			p.addFinding(p.keyLines[listen.key], listen.key, "is %q as %s is; allowed: an address of its own", listen.addr, other)
			continue
		}
		keyByAddress[addr] = listen.key
	}
}
