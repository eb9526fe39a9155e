package fake

import (
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
)

func TestRecorderIsBounded(t *testing.T) {
	rec := NewRecorder(time.Now(), 2)
	for range 5 {
		rec.Add(invariant.Event{})
	}
	if events, lost := rec.Events(); len(events) != 2 || lost != 3 {
		t.Errorf("%d kept, %d dropped", len(events), lost)
	}
}
