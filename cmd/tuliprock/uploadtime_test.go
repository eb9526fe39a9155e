package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/crowd"
)

// answerSlack is how long after its time an answer may come before the request counts as lost.
const answerSlack = 500 * time.Millisecond

// A client that has written its last byte gets its final answer in time, however slowly the endpoint reads the request.
func TestSlowEndpointDoesNotDelayFinalAnswerOfUpload(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*crowd.Options)
	}{
		{"usual limits", func(o *crowd.Options) { o.MemoryMB = 192 }},
		{"smallest memory", nil},
		{"attempts can't be canceled", func(o *crowd.Options) { o.MemoryMB, o.CannotStop = 192, true }},
	} {
		t.Run(row.name, func(t *testing.T) { sendSlowUploads(t, startStage(t, 1, row.change)) })
	}
}

// sendSlowUploads sends uploads of many forms at once to endpoints that read them slowly or stop reading, and checks when each got its
// answer.
func sendSlowUploads(t *testing.T, stage *crowd.Stage) {
	t.Helper()
	var requests sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, isChunked := range []bool{false, true} {
		for _, length := range []int{80 << 10, 400 << 10, 1 << 20, 6 << 20} {
			for _, rate := range []int{0, 80 << 10, 400 << 10, 1 << 20} {
				if rate > 0 && length/rate > 5 {
					continue
				}
				for _, behavior := range []crowd.Behavior{
					{StopAfter: 20 << 10}, {StopAfter: length / 2}, {ReadRate: 80 << 10}, {ReadRate: 110 << 10}, {ReadRate: 110 << 10, Work: time.Second},
				} {
					name := fmt.Sprintf("chunked %t, %d bytes at %d a second, endpoint %+v", isChunked, length, rate, behavior)
					requests.Go(func() {
						r := crowd.Request{
							Class: crowd.DispatchClass, Length: length, Rate: rate, IsChunked: isChunked, Behavior: behavior,
							Deadline: 2500 * time.Millisecond, Patience: 6 * time.Second,
						}
						a := r.Send(stage.Addr)
						mu.Lock()
						statuses[a.Status]++
						mu.Unlock()
						switch {
						case a.SentAt.IsZero(): // the daemon answered before the whole request was written
							if a.Status == 0 {
								t.Logf("%s: not written, %v", name, a.Err)
							}
						case a.Status == 0:
							t.Errorf("%s: id %s has no answer %.2f s after its last byte: %v", name, a.ID, a.Took().Seconds(), a.Err)
						case a.Took() > r.Deadline+answerSlack:
							t.Errorf("%s: id %s has its answer %d %.2f s after its last byte, want %.2f at most", name, a.ID, a.Status, a.Took().Seconds(), (r.Deadline + answerSlack).Seconds())
						}
					})
				}
			}
		}
	}
	requests.Wait()
	t.Logf("answers by status: %v", statuses)
	if t.Failed() {
		t.Logf("log: %.20000s", stage.Log())
	}
}
