package body

import (
	"errors"
	"fmt"
	"io"
)

// Read reads once from a body and returns an error in which errors.Is finds io.EOF only at the body's end. By
// io.Reader's contract that is io.EOF itself. A reader whose error merely wraps it has broken, and what was read must
// not pass for a complete body: that error becomes io.ErrUnexpectedEOF, wrapped.
func Read(from io.Reader, to []byte) (int, error) {
	n, err := from.Read(to)
	if err != io.EOF && errors.Is(err, io.EOF) {
		return n, fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return n, err
}
