package body

import (
	"errors"
	"fmt"
	"io"
)

// Read reads once from a body. An error that wraps io.EOF, but is not io.EOF itself, means that the read failed before the
// body's end. Read replaces such an error by one that wraps io.ErrUnexpectedEOF, so that a caller that checks for io.EOF with
// errors.Is does not take an incomplete body for a complete one.
func Read(from io.Reader, to []byte) (int, error) {
	n, err := from.Read(to)
	if err != io.EOF && errors.Is(err, io.EOF) {
		return n, fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return n, err
}
