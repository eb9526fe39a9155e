package body

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// Only io.EOF itself ends a body: an error that wraps it is a body that broke, for a flow as for one that is read ahead.
func TestWrappedEOFIsNotEndOfBody(t *testing.T) {
	for name, c := range map[string]struct {
		end   error
		whole bool
	}{
		"io.EOF":              {io.EOF, true},
		"wrapped":             {fmt.Errorf("chunk 3: %w", io.EOF), false},
		"joined":              {errors.Join(errors.New("chunk 3"), io.EOF), false},
		"io.ErrUnexpectedEOF": {io.ErrUnexpectedEOF, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestUpload(t, NewPool(2*Window), (&scriptedBody{parts: [][]byte{{1}}, end: c.end}).source())
			if whole, err := u.Fill(); whole != c.whole || (err == nil) != c.whole || !c.whole && !errors.Is(err, ErrBroken) {
				t.Errorf("whole %v, %v", whole, err)
			}
			if err := u.Err(); u.Whole() != c.whole || errors.Is(err, io.EOF) {
				t.Errorf("whole %v, %v", u.Whole(), err)
			}
			u.Close(0, 0)
		})
	}
}
