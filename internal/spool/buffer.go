package spool

import (
	"errors"
	"io"
)

// Buffer holds the beginning of an answer, so that an attempt that breaks off within it can be
// repeated. It is for one goroutine. Release must be called once.
type Buffer struct {
	limiter *Limiter
	data    []byte
	held    int64
}

// NewBuffer returns an empty buffer.
func NewBuffer(limiter *Limiter) *Buffer { return &Buffer{limiter: limiter} }

// Bytes returns what was read. It is valid until Release.
func (b *Buffer) Bytes() []byte { return b.data }

// Fill reads an answer until it ends, maxBytes are exceeded or there is no memory for more, and
// reports whether it has ended.
func (b *Buffer) Fill(r io.Reader, maxBytes int) (whole bool, err error) {
	for len(b.data) <= maxBytes {
		if len(b.data) == cap(b.data) && !b.grow() {
			return false, nil
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// firstBufferBytes is the size of a buffer that holds something, before it grows.
const firstBufferBytes = 1 << 10

// grow doubles the capacity, and reports whether there was memory for it.
func (b *Buffer) grow() bool {
	more := max(firstBufferBytes, cap(b.data))
	if !b.limiter.tryTake(b.held, int64(more)) {
		return false
	}
	b.held += int64(more)
	larger := make([]byte, len(b.data), cap(b.data)+more)
	copy(larger, b.data)
	b.data = larger
	return true
}

// Release gives the memory back.
func (b *Buffer) Release() {
	b.limiter.give(b.held, b.held)
	b.held, b.data = 0, nil
}
