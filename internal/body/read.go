package body

import (
	"errors"
	"fmt"
	"io"
)

// Read reads once from a body. In the error it returns, errors.Is finds io.EOF only at the body's end, which an io.Reader
// reports as io.EOF itself. An error that merely wraps io.EOF means that the reader has failed, and the incomplete body must
// not be taken for a complete one: Read then returns an error that wraps io.ErrUnexpectedEOF.
func Read(from io.Reader, to []byte) (int, error) {
	n, err := from.Read(to)
	if err != io.EOF && errors.Is(err, io.EOF) {
		return n, fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	}
	return n, err
}
