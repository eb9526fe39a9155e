package hotrestart

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A process that starts long after an endpoint's return must not start the endpoint slowly once more.
func TestOnlyRecentReturnsCount(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name      string
		isEjected bool
		age       time.Duration
		want      bool
	}{
		{"just returned", false, 0, true},
		{"returned within the retention", false, returnRetention / 2, true},
		{"returned before it", false, 2 * returnRetention, false},
		{"returned far in the future", false, -2 * returnRetention, false},
		{"ejected", true, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := Ejection{"s-1", row.isEjected, now.Add(-row.age).UnixMilli()}
			if got := e.IsRecentReturn(now); got != row.want {
				t.Errorf("%v, want %v", got, row.want)
			}
		})
	}
}

func TestEjectionsAreBounded(t *testing.T) {
	var s State
	for i := range 3 * MaxEjections {
		at := int64(i)
		err := s.recordEjection(Ejection{fmt.Sprint("o", i), true, at})
		if isRecorded := i < MaxEjections; isRecorded != (err == nil) || !isRecorded && !errors.Is(err, ErrTooManyEjections) {
			t.Fatalf("ejection %d: %v", i, err)
		}
		if err := s.recordEjection(Ejection{fmt.Sprint("b", i), false, at}); err != nil {
			t.Fatalf("return %d: %v", i, err)
		}
	}
	if n := len(s.Ejections); n > MaxEjections+maxReturns {
		t.Errorf("%d are kept", n)
	}
	text, err := State{Format: stateFormat, Name: "n", Ejections: s.Ejections}.encode()
	if _, parseErr := Parse(text, "n"); err != nil || parseErr != nil || len(text) > maxStateBytes {
		t.Errorf("%v, %v, %d bytes", err, parseErr, len(text))
	}
}
