package server

import (
	"crypto/tls"
	"net"
	"strings"

	"guavapier/internal/settings"
	"guavapier/internal/tlsconf"
)

// linkTLS holds the certificates of the interfaces that are secured; a nil one
// is not used.
type linkTLS struct {
	// identity shows this instance's certificate and asks for the identity'; outsideCA
	// shows none.
	identity, outsideCA *tlsconf.Source
	settings            settings.TLS
}

// newLinkTLS reads the certificates. Settings that were not read from a file
// have no certificate and name no plain interface: then all is plain.
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

// wrapListener secures a wrapListener unless its interface is plain.
func (l linkTLS) wrapListener(link string, plain net.Listener) net.Listener {
	if l.identity == nil || !l.settings.Secured(link) {
		return plain
	}
	return tls.NewListener(plain, l.identity.Server(link == settings.LinkPeers))
}

// allowsEndpointURL says whether an endpoint's address fits: with TLS, or endpoints may be
// plain. An endpoint that may not be used is left out of the placement.
func (l linkTLS) allowsEndpointURL(url string) bool {
	return !l.requiresTLS(settings.LinkEndpoints) || strings.HasPrefix(url, "https://")
}

// requiresTLS says whether an interface may only be used with TLS.
func (l linkTLS) requiresTLS(link string) bool {
	source := l.identity
	if link == settings.LinkPlatform || link == settings.LinkEndpoints {
		source = l.outsideCA
	}
	return source != nil && l.settings.Secured(link)
}
