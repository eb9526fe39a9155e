package fake

import (
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
)

func TestRecorderIsBounded(t *testing.T) {
	recorder := NewRecorder(time.Now(), 2)
	for range 5 {
		recorder.Add(invariant.Event{})
	}
	if events, dropped := recorder.Events(); len(events) != 2 || dropped != 3 {
		t.Errorf("%d events kept and %d dropped, want 2 and 3", len(events), dropped)
	}
}
