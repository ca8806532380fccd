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

// namePattern matches a DNS label.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checkValues checks each value against the rule of its key, then the rules that
// involve several keys. Keys that have a finding are skipped. If reading stopped
// at a syntax error, so are keys not seen until then and the rules that involve
// several keys.
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

// lineForKey returns the line of a key, or that of its table if the file lacks the
// key, or 0 if it lacks both.
func (p *fileParser) lineForKey(key string) int {
	if line, ok := p.keyLines[key]; ok {
		return line
	}
	table, _, _ := strings.Cut(key, ".")
	return p.keyLines[table]
}

// problem returns what is wrong with a value, or "" if it is valid.
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

// problemUnless returns "" if ok, and otherwise a text that names the field's
// value, such as "is 5s".
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

// isPlatformURL reports whether text is an http or https URL of an IP address and a
// port other than 0, without path, query or user.
func isPlatformURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Path != "" || u.RawQuery != "" || u.User != nil {
		return false
	}
	addr, err := netip.ParseAddrPort(u.Host)
	return err == nil && addr.Port() != 0
}

// crossCheckSettings reports values that are valid on their own but not in
// combination.
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

// checkTLS reports each interface that requires TLS but lacks its certificates, and
// contradictory TLS settings.
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

// listenAddress is a key whose value is a listen address, IP:port.
type listenAddress struct{ key, addr string }

// checkAddressConflicts reports listen addresses that are used twice. Port 0 never
// conflicts, as the kernel chooses the port.
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
