package httpanswer

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLarge reports that the body of an answer is longer than its reader allows.
var ErrTooLarge = eris.New("httpanswer: body of an answer is too long")

// Sizes of the pieces in which a body is read, each twice that before it.
const minPieceBytes, maxPieceBytes = 1 << 10, 256 << 10

// ReadBody returns a body of at most maxBytes. What has arrived is joined at the end only, so that a body that fails takes no
// more memory than that.
func ReadBody(body io.Reader, maxBytes int) ([]byte, error) {
	var pieces [][]byte
	piece, total := make([]byte, 0, minPieceBytes), 0
	for {
		n, err := body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		total += n
		switch {
		case total > maxBytes:
			return nil, eris.Wrapf(ErrTooLarge, "httpanswer: over %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return bytes.Join(append(pieces, piece), nil), nil
		case err != nil:
			return nil, err
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), maxPieceBytes))
		}
	}
}
