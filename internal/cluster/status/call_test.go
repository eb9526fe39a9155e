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

// serveResponses listens as a daemon does on its operators' address. It responds to each connection with the next text,
// and to those after the last with the last. The requests' first lines come out of the channel.
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

func TestCallRepeatsTheSameRequestWhileNoMajorityResponds(t *testing.T) {
	indeterminate := "FAILURE wrapped: " + consensus.ErrIndeterminate.Error() + "\n"
	addr, requests := serveResponses(t, indeterminate, indeterminate, "answer version=7 same=false\nEOT\n")
	got, err := Call(addr, []string{"put", "id", "-", "x", "0"}, nil, 10*time.Second)
	if err != nil || got.Version != 7 || got.Format != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	for range 3 {
		if line := <-requests; line != "settings put id - x 0\n" {
			t.Errorf("request %q", line)
		}
	}
	if len(requests) > 0 {
		t.Errorf("another request %q", <-requests)
	}
}

func TestCallReturnsIndeterminateErrorAfterItsTime(t *testing.T) {
	addr, requests := serveResponses(t, "FAILURE "+consensus.ErrIndeterminate.Error()+"\n")
	_, err := Call(addr, []string{"history"}, nil, 0)
	var indeterminate IndeterminateError
	if !errors.As(err, &indeterminate) || err.Error() != addr+": "+consensus.ErrIndeterminate.Error() {
		t.Errorf("%T %v", err, err)
	}
	if len(requests) != 1 {
		t.Errorf("%d requests", len(requests))
	}
}

func TestCallReturnsOtherFailuresAtOnce(t *testing.T) {
	addr, requests := serveResponses(t, "FAILURE no such document\n")
	_, err := Call(addr, []string{"show", "x"}, nil, 10*time.Second)
	var indeterminate IndeterminateError
	if err == nil || errors.As(err, &indeterminate) || !strings.HasSuffix(err.Error(), ": no such document") {
		t.Errorf("%T %v", err, err)
	}
	if len(requests) != 1 {
		t.Errorf("%d requests", len(requests))
	}
}
