// Package httpanswer tells whole answers of HTTP from what net/http takes for them: heads that are none of the protocol's,
// whose body may be another one than the sender's, and answers without a length whose connection is reset.
package httpanswer

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformed reports that a head is none of the protocol's.
var ErrMalformed = eris.New("httpanswer: malformed head of an answer")

// Least and largest status of an answer.
const minStatus, maxStatus = 100, 599

// CheckStatus returns ErrMalformed for a status that HTTP does not have.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return eris.Wrapf(ErrMalformed, "httpanswer: status is %d, want %d to %d", status, minStatus, maxStatus)
	}
	return nil
}

// CheckLines returns ErrMalformed for a head, of which all bytes are given, with a line that does not begin with the name
// of a field and a colon. net/http passes over names with blanks and joins lines that begin with one to the line before.
func CheckLines(head []byte) error {
	first := true
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return nil
		}
		if name, _, found := bytes.Cut(line, []byte(":")); !first && (!found || !isToken(string(name))) {
			return eris.Wrapf(ErrMalformed, "httpanswer: line %.100q does not begin with the name of a field", line)
		}
		first = false
	}
	return nil
}

// checkNames returns ErrMalformed if the name of a field is none of the protocol's.
func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return eris.Wrapf(ErrMalformed, "httpanswer: name of a field is %.100q", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	const symbols = "!#$%&'*+-.^_`|~"
	for _, c := range []byte(text) {
		isAlphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte(symbols, c) < 0 {
			return false
		}
	}
	return text != ""
}
