package hotrestart

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// A process that starts long after an endpoint was restored must not give the endpoint a second slow start.
func TestOnlyEndpointsRestoredWithinRetentionCountAsRecent(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		name      string
		isEjected bool
		age       time.Duration // time since the operator ejected or restored the endpoint
		want      bool
	}{
		{"just restored", false, 0, true},
		{"restored within the retention", false, restoredEntryRetention / 2, true},
		{"restored before the retention", false, 2 * restoredEntryRetention, false},
		{"restored far in the future", false, -2 * restoredEntryRetention, false},
		{"ejected", true, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := Ejection{"s-1", row.isEjected, now.Add(-row.age).UnixMilli()}
			if got := e.IsRecentlyRestored(now); got != row.want {
				t.Errorf("IsRecentlyRestored is %v, want %v", got, row.want)
			}
		})
	}
}

func TestEjectionsAreBounded(t *testing.T) {
	var s State
	for i := range 3 * MaxEjections {
		atMs := int64(i)
		err := s.recordEjection(Ejection{fmt.Sprint("o", i), true, atMs})
		if wantRecorded := i < MaxEjections; wantRecorded != (err == nil) || !wantRecorded && !errors.Is(err, ErrTooManyEjections) {
			t.Fatalf("ejection %d: error %v; want ErrTooManyEjections from ejection %d on, and none before", i, err, MaxEjections)
		}
		if err := s.recordEjection(Ejection{fmt.Sprint("b", i), false, atMs}); err != nil {
			t.Fatalf("restored endpoint %d is not recorded: %v", i, err)
		}
	}
	if n := len(s.Ejections); n > MaxEjections+maxRestoredEntries {
		t.Errorf("the state has %d entries, want at most %d", n, MaxEjections+maxRestoredEntries)
	}
	text, err := State{Format: stateFormat, Name: "n", Ejections: s.Ejections}.encode()
	if _, parseErr := ParseState(text, "n"); err != nil || parseErr != nil || len(text) > maxStateBytes {
		t.Errorf("the full state has %d bytes, encode error %v, parse error %v; want at most %d bytes and no error", len(text), err, parseErr, maxStateBytes)
	}
}
