package server

import (
	"crypto/tls"
	"net"
	"strings"

	"guavapier/internal/settings"
	"guavapier/internal/tlsconf"
)

// links holds the certificates of the interfaces that are secured; a nil one
// is not used.
type links struct {
	// peers shows this instance's certificate and asks for the peers'; outside
	// shows none.
	peers, outside *tlsconf.Credentials
	settings       settings.TLS
}

// newLinks reads the certificates. Settings that were not read from a file
// have no certificate and name no plain interface: then all is plain.
func (s *Server) newLinks() (links, error) {
	t := s.settings.TLS
	l := links{settings: t}
	onError := func(err error) { s.log.Error().Err(err).Msg("server: certificate not read again") }
	var err error
	if t.Certificate != "" {
		if l.peers, err = tlsconf.New(tlsconf.Files{Certificate: t.Certificate, Key: t.Key, CA: t.PeersCA}, onError); err != nil {
			return l, err
		}
	}
	if t.OutsideCA != "" {
		l.outside, err = tlsconf.New(tlsconf.Files{CA: t.OutsideCA}, onError)
	}
	return l, err
}

// listener secures a listener unless its interface is plain.
func (l links) listener(link string, plain net.Listener) net.Listener {
	if l.peers == nil || !l.settings.RequiresTLS(link) {
		return plain
	}
	return tls.NewListener(plain, l.peers.ServerConfig(link == settings.InterfacePeers))
}

// mayUse says whether an endpoint's address fits: with TLS, or endpoints may be
// plain. An endpoint that may not be used is left out of the placement.
func (l links) mayUse(url string) bool {
	return !l.secured(settings.InterfaceEndpoints) || strings.HasPrefix(url, "https://")
}

// secured says whether an interface may only be used with TLS.
func (l links) secured(link string) bool {
	source := l.peers
	if link == settings.InterfacePlatform || link == settings.InterfaceEndpoints {
		source = l.outside
	}
	return source != nil && l.settings.RequiresTLS(link)
}
