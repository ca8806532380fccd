// Package quarantine keeps back requests under which endpoints end.
package quarantine

import "github.com/rotisserie/eris"

// errNoFingerprint says that a key of the topic stands for no request.
var errNoFingerprint = eris.New("quarantine: not a fingerprint")
