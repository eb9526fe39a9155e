package status

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
)

// serveResponses starts a server in place of a daemon's admin address. It responds to each connection with the next of
// responses, and repeats the last one. It sends the first line of each request to the channel requests.
func serveResponses(t *testing.T, responses ...string) (addr string, requests <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received, done := make(chan string, 1000), make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			received <- line
			conn.Write([]byte(responses[min(i, len(responses)-1)]))
			conn.Close()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String(), received
}

// Guards against a retry that differs from the first request. The daemons recognize a repeated command only by the ID in its
// arguments, so a command could be carried out twice if its retry had another ID.
func TestSendCommandRepeatsTheSameRequestWhileNoMajorityResponds(t *testing.T) {
	indeterminate := "FAILURE wrapped: " + consensus.ErrIndeterminate.Error() + "\n"
	addr, requests := serveResponses(t, indeterminate, indeterminate, "answer version=7 same=false\nEOT\n")
	got, err := SendCommand(addr, []string{"put", "id", "-", "x", "0"}, nil, 10*time.Second)
	if err != nil || got.Version != 7 || got.Format != 1 {
		t.Fatalf("got %+v, error %v; want version 7 and format 1", got, err)
	}
	for range 3 {
		if line := <-requests; line != "settings put id - x 0\n" {
			t.Errorf("got request %q, want %q", line, "settings put id - x 0\n")
		}
	}
	if len(requests) > 0 {
		t.Errorf("got another request %q, want three requests", <-requests)
	}
}

func TestSendCommandReturnsIndeterminateErrorAfterRetryFor(t *testing.T) {
	addr, requests := serveResponses(t, "FAILURE "+consensus.ErrIndeterminate.Error()+"\n")
	_, err := SendCommand(addr, []string{"history"}, nil, 0)
	var indeterminate IndeterminateError
	if !errors.As(err, &indeterminate) || err.Error() != addr+": "+consensus.ErrIndeterminate.Error() {
		t.Errorf("got error %T %v, want an IndeterminateError with the address and ErrIndeterminate", err, err)
	}
	if len(requests) != 1 {
		t.Errorf("got %d requests, want 1", len(requests))
	}
}

func TestSendCommandReturnsOtherFailuresAtOnce(t *testing.T) {
	addr, requests := serveResponses(t, "FAILURE no such document\n")
	_, err := SendCommand(addr, []string{"show", "x"}, nil, 10*time.Second)
	var indeterminate IndeterminateError
	if err == nil || errors.As(err, &indeterminate) || !strings.HasSuffix(err.Error(), ": no such document") {
		t.Errorf("got error %T %v, want one that ends with \": no such document\" and is no IndeterminateError", err, err)
	}
	if len(requests) != 1 {
		t.Errorf("got %d requests, want 1", len(requests))
	}
}
