package body

import (
	"errors"
	"fmt"
	"io"
)

// Read reads once from a body. It returns an error in which errors.Is finds io.EOF only at the body's end, which an io.Reader
// reports as io.EOF itself. If from returns an error that merely wraps io.EOF, it has failed, and the incomplete body must not
// be taken for a complete one: Read returns an error that wraps io.ErrUnexpectedEOF instead.
func Read(from io.Reader, to []byte) (int, error) {
	n, err := from.Read(to)
	if err != io.EOF && errors.Is(err, io.EOF) {
		return n, fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return n, err
}
