package body

import (
	"errors"
	"fmt"
	"io"
)

// Read reads once from a body, such that errors.Is finds io.EOF in the body's end alone. By io.Reader's contract the end is
// io.EOF itself: a reader whose error merely wraps it has broken, and what came must not pass for the whole body.
func Read(from io.Reader, to []byte) (int, error) {
	n, err := from.Read(to)
	if err != io.EOF && errors.Is(err, io.EOF) {
		return n, fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return n, err
}
