package server

import (
	"crypto/tls"
	"net"
	"strings"

	"guavapier/internal/settings"
	"guavapier/internal/tlsconf"
)

// linkTLS holds the TLS configuration of the instance's network interfaces. A nil
// Source is not configured: its interfaces are plain.
type linkTLS struct {
	// identity has this instance's certificate and verifies the peers'. It serves
	// all listeners and dials peers. outsideCA has no certificate of its own; it
	// verifies the platform's and the endpoints'.
	identity, outsideCA *tlsconf.Credentials
	settings            settings.TLS
}

// newLinkTLS reads the certificates named in the settings. Settings that were not
// read from a file name neither certificates nor plain interfaces; then all
// interfaces are plain.
func (s *Server) newLinkTLS() (linkTLS, error) {
	t := s.settings.TLS
	l := linkTLS{settings: t}
	onError := func(err error) { s.log.Error().Err(err).Msg("server: certificate not read again") }
	var err error
	if t.Certificate != "" {
		if l.identity, err = tlsconf.New(tlsconf.Files{Certificate: t.Certificate, Key: t.Key, CA: t.PeersCA}, onError); err != nil {
			return l, err
		}
	}
	if t.OutsideCA != "" {
		l.outsideCA, err = tlsconf.New(tlsconf.Files{CA: t.OutsideCA}, onError)
	}
	return l, err
}

// wrapListener wraps a listener with TLS unless its interface is plain. Peers must
// present a certificate.
func (l linkTLS) wrapListener(link string, plain net.Listener) net.Listener {
	if l.identity == nil || !l.settings.RequiresTLS(link) {
		return plain
	}
	return tls.NewListener(plain, l.identity.ServerConfig(link == settings.InterfacePeers))
}

// allowsEndpointURL reports whether the instance may connect to an endpoint's URL: it
// is an https URL, or endpoints may be plain. Other endpoints are excluded from
// placement.
func (l linkTLS) allowsEndpointURL(url string) bool {
	return !l.requiresTLS(settings.InterfaceEndpoints) || strings.HasPrefix(url, "https://")
}

// requiresTLS reports whether an interface may only be used with TLS.
func (l linkTLS) requiresTLS(link string) bool {
	source := l.identity
	if link == settings.InterfacePlatform || link == settings.InterfaceEndpoints {
		source = l.outsideCA
	}
	return source != nil && l.settings.RequiresTLS(link)
}
