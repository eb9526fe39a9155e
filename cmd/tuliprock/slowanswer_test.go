package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/crowd"
)

// An answer that its endpoint is still writing, however slowly, arrives whole: one of up to 64 KiB if its last byte comes in time, a longer
// one if its first bytes do.
func TestSlowlyWrittenAnswersArriveWhole(t *testing.T) {
	stage := startStage(t, 1, func(o *crowd.Options) { o.MemoryMB = 96 })
	var requests sync.WaitGroup
	for _, class := range []string{crowd.LookupClass, crowd.DispatchClass} {
		for name, behavior := range map[string]crowd.Behavior{
			"short, over 2 s":                        {ResponseSize: 60 << 10, WriteRate: 30 << 10},
			"long, over 6 s":                         {ResponseSize: 300 << 10, WriteRate: 50 << 10},
			"long, with a pause":                     {ResponseSize: 300 << 10, WriteRate: 300 << 10, Pause: 4 * time.Second},
			"long, in chunks, over 6 s":              {ResponseSize: 300 << 10, WriteRate: 50 << 10, IsChunked: true},
			"long, begins shortly before the end":    {ResponseSize: 300 << 10, WriteRate: 100 << 10, Work: 2200 * time.Millisecond},
			"chunked, begins shortly before its end": {ResponseSize: 200 << 10, WriteRate: 50 << 10, Work: 2200 * time.Millisecond, IsChunked: true},
		} {
			requests.Go(func() {
				checkWholeAnswer(t, stage, class+", "+name, crowd.Request{Class: class, Behavior: behavior})
			})
		}
	}
	// Nothing can be gained by giving up an answer to a request that must not be sent again.
	for name, behavior := range map[string]crowd.Behavior{
		"short, with a pause":            {ResponseSize: 60 << 10, Pause: time.Second},
		"short, in chunks, with a pause": {ResponseSize: 30 << 10, Pause: time.Second, IsChunked: true},
	} {
		requests.Go(func() {
			checkWholeAnswer(t, stage, crowd.DispatchClass+", "+name, crowd.Request{Class: crowd.DispatchClass, Behavior: behavior})
		})
	}
	requests.Wait()
	if t.Failed() {
		t.Logf("log: %.10000s", stage.Log())
	}
}

// checkWholeAnswer sends a request with a deadline of 2.5 s, and checks that the complete answer of its endpoint comes.
func checkWholeAnswer(t *testing.T, stage *crowd.Stage, name string, r crowd.Request) {
	t.Helper()
	r.Deadline, r.Patience = 2500*time.Millisecond, 15*time.Second
	a := r.Send(stage.Addr)
	want := crowd.ResponseBody(a.ID, r.Behavior.ResponseSize)
	if a.Status != http.StatusOK || a.Err != nil || a.Body != want {
		t.Errorf("%s: id %s got status %d, %d of %d bytes, error %v after %v", name, a.ID, a.Status, len(a.Body), len(want), a.Err, fmt.Sprint(a.Took()))
	}
	if first := a.BeganAt.Sub(a.SentAt); first > r.Deadline+answerSlack {
		t.Errorf("%s: the first byte came after %v, want within the deadline", name, first)
	}
}
