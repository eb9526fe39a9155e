package metrics

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// writeToString returns the text that Registry.Write writes.
func writeToString(t *testing.T, r *Registry, samples ...Sample) string {
	t.Helper()
	var b strings.Builder
	if err := r.Write(&b, samples...); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestWriteUsesStatsdLineFormat(t *testing.T) {
	var r Registry
	b := r.Class("b")
	r.Class("a").Begin()
	b.Begin()
	b.End(OK)
	b.Count(Shed)
	r.Attempts.Add(3)
	r.RejectedInput.Add(2)
	want := "edge_router.ok.a:0|c\nedge_router.ok.b:1|c\n" +
		"edge_router.shed.a:0|c\nedge_router.shed.b:1|c\n" +
		"edge_router.errors.a:0|c\nedge_router.errors.b:0|c\n" +
		"edge_router.tries:3|c\nedge_router.bad:2|c\nedge_router.active:1|g\n" +
		"edge_router.pool_size:7|g\nedge_router.peers_sent:8|c\n"
	got := writeToString(t, &r, Sample{Name: "pool_size", Value: 7}, Sample{Name: "peers_sent", Value: 8, IsCounter: true})
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// A class name must not end its line or forge another metric, and the number of classes must be limited.
func TestClassNamesAreSanitizedAndBounded(t *testing.T) {
	var r Registry
	if r.Class("a b:c|d\nedge_router.active") != r.Class("a_b_c_d_edge_router.active") {
		t.Error("a name with separators and its sanitized form give different classes, want the same")
	}
	for i := range 2 * maxClasses {
		r.Class(fmt.Sprint(i)).Count(OK)
	}
	if n := len(r.classes); n > maxClasses+1 {
		t.Errorf("registry has %d classes, want at most %d", n, maxClasses+1)
	}
	if got, maxLines := strings.Count(writeToString(t, &r), "\n"), 3*(maxClasses+1)+3; got > maxLines {
		t.Errorf("Write wrote %d lines, want at most %d", got, maxLines)
	}
}

func TestConcurrentCountingLosesNothing(t *testing.T) {
	var r Registry
	var goroutines sync.WaitGroup
	for range 8 {
		goroutines.Go(func() {
			for i := range 1000 {
				c := r.Class([]string{"a", "b"}[i%2])
				c.Begin()
				c.End(Outcome(i / 2 % int(outcomeCount)))
				if i%100 == 0 {
					_ = r.Write(&strings.Builder{}) // writes while other goroutines count; a strings.Builder never fails
				}
			}
		})
	}
	goroutines.Wait()
	endedCount := uint64(0)
	for _, c := range r.classes {
		for i := range c.outcomes {
			endedCount += c.outcomes[i].Load()
		}
	}
	if endedCount != 8000 || r.active.Load() != 0 {
		t.Errorf("%d requests have ended and %d are active, want 8000 and 0", endedCount, r.active.Load())
	}
}
