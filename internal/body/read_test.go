package body

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// Only io.EOF itself ends a body: an error that wraps it means that the body broke.
func TestWrappedEOFIsNotEndOfBody(t *testing.T) {
	for name, c := range map[string]struct {
		end        error
		isComplete bool
	}{
		"io.EOF":              {io.EOF, true},
		"wrapped":             {fmt.Errorf("chunk 3: %w", io.EOF), false},
		"joined":              {errors.Join(errors.New("chunk 3"), io.EOF), false},
		"io.ErrUnexpectedEOF": {io.ErrUnexpectedEOF, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestUpload(t, NewMemoryPool(2*WindowSize), (&scriptedBody{parts: [][]byte{{1}}, end: c.end}).source())
			isComplete, err := u.ReadPrefix()
			if isComplete != c.isComplete || (err == nil) != c.isComplete || !c.isComplete && !errors.Is(err, ErrBroken) {
				t.Errorf("complete %v, %v", isComplete, err)
			}
			if err := u.Err(); u.IsComplete() != c.isComplete || errors.Is(err, io.EOF) {
				t.Errorf("complete %v, %v", u.IsComplete(), err)
			}
			u.Close(0, 0)
		})
	}
}
