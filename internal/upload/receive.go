package upload

import (
	"context"
	"errors"
	"io"
)

const (
	// firstPieceBytes is the size of the first piece of a body whose length is not known. Each
	// later one is twice as large, up to maxPieceBytes.
	firstPieceBytes = 2 << 10
	maxPieceBytes   = 64 << 10
	// probeBytes is the size of a read that tells whether a body goes on.
	probeBytes = 512
)

// Receive reads a body of maxBytes at most from r and returns it in pieces. length is the stated
// length, -1 if unknown.
// Apart from those of r, its errors are ErrTooLarge, ErrNoRoom and ErrEvicted.
func (u *Upload) Receive(ctx context.Context, r io.Reader, length, maxBytes int64) ([][]byte, error) {
	if length > maxBytes {
		return nil, ErrTooLarge
	}
	receiver := receiver{ctx: ctx, upload: u, source: r, length: length, max: maxBytes}
	err := receiver.receive()
	if err == nil {
		err = u.complete()
	}
	if err != nil {
		return nil, u.cause(err)
	}
	return receiver.pieces, nil
}

// cause returns ErrEvicted if the read failed because the upload was evicted.
func (u *Upload) cause(err error) error {
	u.limiter.mu.Lock()
	defer u.limiter.mu.Unlock()
	if u.evicted {
		return ErrEvicted
	}
	return err
}

// receiver reads one body.
type receiver struct {
	ctx    context.Context
	upload *Upload
	source io.Reader
	length int64 // Stated; -1 if unknown.
	max    int64
	pieces [][]byte
	total  int64
	free   []byte // What is left of the last piece.
	probe  [probeBytes]byte
}

// receive reads the body to its end.
func (r *receiver) receive() error {
	for {
		n, err := r.readOnce()
		r.total += int64(n)
		if r.total > r.max {
			return ErrTooLarge
		}
		if n > 0 {
			r.upload.received(n)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// readOnce reads into the last piece. If that is full, it adds one once there are more bytes.
func (r *receiver) readOnce() (int, error) {
	if len(r.free) > 0 {
		n, err := r.source.Read(r.free)
		r.use(n)
		return n, err
	}
	n, err := r.source.Read(r.probe[:])
	if n == 0 || r.total+int64(n) > r.max {
		return n, err
	}
	if growErr := r.addPiece(n); growErr != nil {
		return 0, growErr
	}
	copy(r.free, r.probe[:n])
	r.use(n)
	return n, err
}

// use moves n bytes from the free part of the last piece to the body.
func (r *receiver) use(n int) {
	last := &r.pieces[len(r.pieces)-1]
	*last = (*last)[:len(*last)+n]
	r.free = r.free[n:]
}

// addPiece adds a piece for at least n bytes, once there is memory for it.
func (r *receiver) addPiece(n int) error {
	size := r.nextPieceBytes(n)
	if size == maxPieceBytes {
		if err := r.upload.awaitTurn(r.ctx, size); err != nil {
			return err
		}
	}
	if err := r.upload.grow(r.ctx, int64(size)); err != nil {
		return err
	}
	piece := make([]byte, size)
	r.free = piece
	r.pieces = append(r.pieces, piece[:0])
	return nil
}

// nextPieceBytes returns the size of the next piece, which has to hold at least n bytes: no more
// than the rest of the body if its length is known.
func (r *receiver) nextPieceBytes(n int) int {
	size := firstPieceBytes
	if count := len(r.pieces); count > 0 {
		size = min(maxPieceBytes, 2*cap(r.pieces[count-1]))
	}
	if r.length >= 0 {
		size = int(min(int64(size), r.length-r.total))
	}
	return max(size, n)
}
