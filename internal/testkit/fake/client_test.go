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

// newScriptedSidecar starts a sidecar that writes responses[n-1] to its nth request, with "ID" replaced by the request's ID.
// It closes the connection after a response that ends with "CLOSE", and when no response is left.
func newScriptedSidecar(t *testing.T, responses ...string) (connect func() (Target, bool), sidecar *testpeer.Endpoint) {
	t.Helper()
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		if n > len(responses) {
			return false
		}
		response, mustClose := strings.CutSuffix(responses[n-1], "CLOSE")
		io.WriteString(nc, strings.ReplaceAll(response, "ID", r.Header.Get("Req-Id")))
		return !mustClose
	})
	return func() (Target, bool) { return Target{"s1", e.Addr}, true }, e
}

func TestClientRecordsHowARequestEnds(t *testing.T) {
	const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID n1"
	for _, c := range []struct {
		name            string
		response        string
		wantStatus      int
		wantKinds       []invariant.Kind
		disconnectAfter time.Duration
	}{
		{"served", okResponse, 200, []invariant.Kind{invariant.RequestSent, invariant.ResponseReceived}, 0},
		{"rejected", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n", 503,
			[]invariant.Kind{invariant.RequestSent, invariant.ResponseReceived}, 0},
		{"two responses", okResponse + okResponse, 200, []invariant.Kind{invariant.RequestSent, invariant.ResponseReceived, invariant.ExtraBytes}, 0},
		{"response cut", okResponse[:len(okResponse)-3] + "CLOSE", 0, []invariant.Kind{invariant.RequestSent, invariant.ConnectionLost}, 0},
		{"connection closed", "CLOSE", 0, []invariant.Kind{invariant.RequestSent, invariant.ConnectionLost}, 0},
		{"no response", "", 0, []invariant.Kind{invariant.RequestSent, invariant.ResponseOverdue}, 0},
		{"client left", "", 0, []invariant.Kind{invariant.RequestSent, invariant.ClientDisconnected}, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			connect, _ := newScriptedSidecar(t, c.response)
			recorder := NewRecorder(time.Now(), 100)
			client := NewClient(classes, &Registry{}, recorder, 50*time.Millisecond, 4)
			out := client.Do(Request{ID: "ab", Class: readClass, Job: &Job{}, Timeout: 200 * time.Millisecond,
				DisconnectAfter: c.disconnectAfter, Connect: connect})
			client.Close()
			events, _ := recorder.Events()
			var kinds []invariant.Kind
			for _, e := range events {
				kinds = append(kinds, e.Kind)
			}
			if out.Status != c.wantStatus || !slices.Equal(kinds, c.wantKinds) || !out.HasDialed || out.HasDisconnected != (c.disconnectAfter > 0) {
				t.Errorf("outcome %+v and events %v, want status %d and events %v", out, kinds, c.wantStatus, c.wantKinds)
			}
			if c.name == "rejected" && out.RetryAfter != 250*time.Millisecond {
				t.Errorf("RetryAfter is %v, want 250ms", out.RetryAfter)
			}
			if c.name == "served" && !events[1].IsGenuine {
				t.Error("the response made for the request is not recorded as genuine")
			}
		})
	}
	connect, _ := newScriptedSidecar(t, strings.Replace(okResponse, "ID", "xy", 1))
	recorder := NewRecorder(time.Now(), 100)
	client := NewClient(classes, &Registry{}, recorder, 50*time.Millisecond, 4)
	defer client.Close()
	client.Do(Request{ID: "ab", Class: readClass, Job: &Job{}, Timeout: time.Second, Connect: connect})
	if events, _ := recorder.Events(); events[1].IsGenuine {
		t.Error("a response made for another request is recorded as genuine")
	}
	client.Close()
	noSidecar := func() (Target, bool) { return Target{}, false }
	if out := client.Do(Request{ID: "cd", Job: &Job{}, Connect: noSidecar}); out.IsAccepted {
		t.Errorf("outcome without a sidecar is %+v, want a request that was not accepted", out)
	}
}

// TestRequestCrossingAConnectionCloseIsSentOnceMore covers a sidecar that closes an idle connection at the moment at which
// the client sends a request on it. The client must send the request once more on a new connection, but not a third time.
func TestRequestCrossingAConnectionCloseIsSentOnceMore(t *testing.T) {
	const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID n1"
	connect, sidecar := newScriptedSidecar(t, okResponse, "CLOSE", okResponse, "CLOSE", "CLOSE")
	recorder := NewRecorder(time.Now(), 100)
	client := NewClient(classes, &Registry{}, recorder, 50*time.Millisecond, 4)
	defer client.Close()
	for i, want := range []int{200, 200, 0} {
		out := client.Do(Request{ID: fmt.Sprint("r", i), Class: readClass, Job: &Job{}, Timeout: time.Second, Connect: connect})
		if out.Status != want {
			t.Errorf("request %d: outcome %+v, want status %d", i, out, want)
		}
	}
	if n := sidecar.Requests.Load(); n != 5 {
		t.Errorf("the sidecar received %d requests, want 5", n)
	}
}

func TestFrontLayerUsesSidecarsInTurn(t *testing.T) {
	f := &FrontLayer{}
	if _, ok := f.Connect(); ok {
		t.Error("Connect returned a target though there is no sidecar")
	}
	f.Add("a", "1")
	f.Add("b", "2")
	f.Add("a", "1") // adding a sidecar twice must not give it more connections
	got := map[string]int{}
	for range 10 {
		target, _ := f.Connect()
		got[target.Sidecar]++
	}
	if got["a"] != 5 || got["b"] != 5 {
		t.Errorf("connections by sidecar: %v, want 5 each", got)
	}
	f.Remove("a")
	f.Remove("nobody")
	for range 3 {
		if target, ok := f.Connect(); target != (Target{"b", "2"}) || !ok {
			t.Errorf("Connect returned %v, %v, want the sidecar b at address 2", target, ok)
		}
	}
}
