package fake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/testpeer"
)

// newScriptedSidecar answers the requests of each connection by a script of bytes; "CLOSE" ends the connection.
func newScriptedSidecar(t *testing.T, answers ...string) (connect func() (Target, bool), served *testpeer.Endpoint) {
	t.Helper()
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		if n > len(answers) {
			return false
		}
		text, ends := strings.CutSuffix(answers[n-1], "CLOSE")
		io.WriteString(nc, strings.ReplaceAll(text, "ID", r.Header.Get("Req-Id")))
		return !ends
	})
	return func() (Target, bool) { return Target{"s1", e.Addr}, true }, e
}

func TestClientRecordsHowARequestEnds(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID n1"
	for _, c := range []struct {
		name       string
		response   string
		status     int
		kinds      []invariant.Kind
		leaveAfter time.Duration
	}{
		{"served", ok, 200, []invariant.Kind{invariant.RequestSent, invariant.ResponseReceived}, 0},
		{"rejected", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n", 503,
			[]invariant.Kind{invariant.RequestSent, invariant.ResponseReceived}, 0},
		{"two responses", ok + ok, 200, []invariant.Kind{invariant.RequestSent, invariant.ResponseReceived, invariant.ExtraBytes}, 0},
		{"response cut", ok[:len(ok)-3] + "CLOSE", 0, []invariant.Kind{invariant.RequestSent, invariant.ConnectionLost}, 0},
		{"connection closed", "CLOSE", 0, []invariant.Kind{invariant.RequestSent, invariant.ConnectionLost}, 0},
		{"no response", "", 0, []invariant.Kind{invariant.RequestSent, invariant.ResponseOverdue}, 0},
		{"client left", "", 0, []invariant.Kind{invariant.RequestSent, invariant.ClientLeft}, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			connect, _ := newScriptedSidecar(t, c.response)
			rec := NewRecorder(time.Now(), 100)
			client := NewClient(classes, &Registry{}, rec, 50*time.Millisecond, 4)
			out := client.Do(Request{ID: "ab", Class: readClass, Job: &Job{}, Timeout: 200 * time.Millisecond,
				LeaveAfter: c.leaveAfter, Connect: connect})
			client.Close()
			events, _ := rec.Events()
			var kinds []invariant.Kind
			for _, e := range events {
				kinds = append(kinds, e.Kind)
			}
			if out.Status != c.status || !slices.Equal(kinds, c.kinds) || !out.HasDialed || out.HasLeft != (c.leaveAfter > 0) {
				t.Errorf("%+v, %v", out, kinds)
			}
			if c.name == "rejected" && out.RetryAfter != 250*time.Millisecond {
				t.Errorf("retry after %v", out.RetryAfter)
			}
			if c.name == "served" && !events[1].Genuine {
				t.Error("the response to the request is not genuine")
			}
		})
	}
	connect, _ := newScriptedSidecar(t, strings.Replace(ok, "ID", "xy", 1))
	rec := NewRecorder(time.Now(), 100)
	client := NewClient(classes, &Registry{}, rec, 50*time.Millisecond, 4)
	defer client.Close()
	client.Do(Request{ID: "ab", Class: readClass, Job: &Job{}, Timeout: time.Second, Connect: connect})
	if events, _ := rec.Events(); events[1].Genuine {
		t.Error("the response to another request is genuine")
	}
	client.Close()
	noSidecar := func() (Target, bool) { return Target{}, false }
	if out := client.Do(Request{ID: "cd", Job: &Job{}, Connect: noSidecar}); out.IsAccepted {
		t.Errorf("no sidecar: %+v", out)
	}
}

// A sidecar may close a connection between requests: a request that crosses the close is sent once more, on a new one.
func TestRequestCrossingAConnectionCloseIsSentOnceMore(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID n1"
	connect, e := newScriptedSidecar(t, ok, "CLOSE", ok, "CLOSE", "CLOSE")
	rec := NewRecorder(time.Now(), 100)
	client := NewClient(classes, &Registry{}, rec, 50*time.Millisecond, 4)
	defer client.Close()
	for i, want := range []int{200, 200, 0} {
		out := client.Do(Request{ID: fmt.Sprint("r", i), Class: readClass, Job: &Job{}, Timeout: time.Second, Connect: connect})
		if out.Status != want {
			t.Errorf("request %d: %+v", i, out)
		}
	}
	if n := e.Requests.Load(); n != 5 {
		t.Errorf("%d requests received", n)
	}
}

func TestFrontLayerUsesSidecarsInTurn(t *testing.T) {
	f := &FrontLayer{}
	if _, ok := f.Connect(); ok {
		t.Error("a target without sidecars")
	}
	f.Add("a", "1")
	f.Add("b", "2")
	f.Add("a", "1") // a second time
	got := map[string]int{}
	for range 10 {
		target, _ := f.Connect()
		got[target.Sidecar]++
	}
	if got["a"] != 5 || got["b"] != 5 {
		t.Errorf("%v", got)
	}
	f.Remove("a")
	f.Remove("nobody")
	for range 3 {
		if target, ok := f.Connect(); target != (Target{"b", "2"}) || !ok {
			t.Error(target)
		}
	}
}
