package body

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

// Only io.EOF itself ends a body. An error that wraps it means that the body could not be read to its end.
func TestWrappedEOFIsNotEndOfBody(t *testing.T) {
	for name, c := range map[string]struct {
		endErr     error // error that the body returns after its last byte
		isComplete bool  // the body should count as complete
	}{
		"io.EOF":              {io.EOF, true},
		"wrapped":             {fmt.Errorf("chunk 3: %w", io.EOF), false},
		"joined":              {errors.Join(errors.New("chunk 3"), io.EOF), false},
		"io.ErrUnexpectedEOF": {io.ErrUnexpectedEOF, false},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestUpload(t, NewMemoryPool(2*BufferSize), (&scriptedBody{parts: [][]byte{{1}}, endErr: c.endErr}).source())
			isComplete, err := u.ReadPrefix()
			if isComplete != c.isComplete || (err == nil) != c.isComplete || !c.isComplete && !errors.Is(err, ErrBroken) {
				t.Errorf("ReadPrefix: complete %v, error %v, want complete %v", isComplete, err, c.isComplete)
			}
			if err := u.Err(); u.IsComplete() != c.isComplete || errors.Is(err, io.EOF) {
				t.Errorf("IsComplete is %v, Err is %v, want complete %v and no io.EOF", u.IsComplete(), err, c.isComplete)
			}
			u.Close(0, 0)
		})
	}
}
