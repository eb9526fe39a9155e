package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// testHandlers report the ejections that they are called for. They know no endpoint "nobody", and one "slow" never confirms.
func testHandlers(isReady bool, ejections chan<- string) Handlers {
	return Handlers{
		IsReady: func() bool { return isReady },
		WriteMetrics: func(_ context.Context, w io.Writer) error {
			_, err := io.WriteString(w, "edge_router.active:1|g\n")
			return err
		},
		HandleSettings: func(_ context.Context, arguments string, body []byte, w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s: %d bytes\n", arguments, len(body))
			return err
		},
		MaxBodyBytes: 100 << 10,
		SetEjected: func(ctx context.Context, id string, isEjected bool) (string, error) {
			switch id {
			case "nobody":
				return "", errors.New("nobody: no endpoint of this id is listed")
			case "slow":
				<-ctx.Done()
				return "", errors.New("not confirmed in time")
			}
			ejections <- fmt.Sprint(id, " ", isEjected)
			return id + " is done", nil
		},
	}
}

// testConnections is the limit of the servers under test.
const testConnections = 4

// startServer serves commands until the test ends.
func startServer(t *testing.T, handlers Handlers) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, testConnections, handlers, slog.New(slog.DiscardHandler))
	served := make(chan struct{})
	go func() { defer close(served); s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		<-served
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc
}

// exchange sends text and reads all that comes until the connection ends.
func exchange(t *testing.T, s *Server, text string) string {
	t.Helper()
	nc := dial(t, s)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return string(response)
}

func TestOneCommandOneResponsePerConnection(t *testing.T) {
	ejections := make(chan string, 9)
	s := startServer(t, testHandlers(true, ejections))
	for _, row := range []struct{ send, want string }{
		{"check\n", "SUCCESS this process takes clients\n"},
		{"check\r\nvars\n", "SUCCESS this process takes clients\n"}, // the rest is not read
		{"\n\r\n \ncheck\n", "SUCCESS this process takes clients\n"},
		{"vars\n", "edge_router.active:1|g\nEOT\n"},
		{"settings put x 5\n12345", "put x 5: 5 bytes\nEOT\n"},
		{"settings put x 102400\n" + strings.Repeat("x", 100<<10) + "more", "put x 102400: 102400 bytes\nEOT\n"},
		{"settings put x 102401\n", "FAILURE 102400 bytes may follow a line at most\n"},
		{"set-down s-1\n", "SUCCESS s-1 is done\n"},
		{"set-up s-1\n", "SUCCESS s-1 is done\n"},
		{"set-down nobody\n", "FAILURE nobody: no endpoint of this id is listed\n"},
		{"set-down slow\n", "FAILURE not confirmed in time\n"},
		{"set-down\n", "FAILURE set-down wants the id of an endpoint\n"},
		{"boo\n", "FAILURE \"boo\" is none of check, vars, peers, settings, versions, set-down ID, set-up ID\n"},
		{"\x01\x02\n", "FAILURE the line is no text\n"},
		{strings.Repeat("x", 70<<10) + "\n", "FAILURE the line is longer than 512 bytes\n"},
	} {
		if got := exchange(t, s, row.send); got != row.want {
			t.Errorf("%.60q: %q, want %q", row.send, got, row.want)
		}
	}
	for _, want := range []string{"s-1 true", "s-1 false"} {
		if got := <-ejections; got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	if got := exchange(t, startServer(t, testHandlers(false, nil)), "check\n"); !strings.HasPrefix(got, "FAILURE ") {
		t.Errorf("not ready: %q", got)
	}
}

// An ID that was cut could be another endpoint's.
func TestIncompleteLineIsNotExecuted(t *testing.T) {
	ejections := make(chan string, 1)
	s := startServer(t, testHandlers(true, ejections))
	nc := dial(t, s)
	_, _ = io.WriteString(nc, "set-down s-12")
	_ = nc.(*net.TCPConn).CloseWrite()
	if response, err := io.ReadAll(nc); err != nil || len(response) > 0 {
		t.Errorf("%q, %v", response, err)
	}
	select {
	case ejection := <-ejections:
		t.Error(ejection)
	default:
	}
}

// Connections that send no complete command block nobody, nor does a command that takes long.
func TestIdleConnectionsDoNotBlockCommands(t *testing.T) {
	s := startServer(t, testHandlers(true, make(chan string, 1)))
	var idle []net.Conn
	for i := range 20 * testConnections {
		nc := dial(t, s)
		_, _ = io.WriteString(nc, []string{"", "che", "\n\n", "set-down s-1"}[i%4])
		idle = append(idle, nc)
	}
	busy := dial(t, s)
	_, _ = io.WriteString(busy, "set-down slow\n")
	for range 5 {
		startedAt := time.Now()
		if got := exchange(t, s, "check\n"); !strings.HasPrefix(got, "SUCCESS") {
			t.Errorf("%q", got)
		}
		if took := time.Since(startedAt); took > time.Second {
			t.Errorf("answered after %v", took)
		}
	}
	if response, err := io.ReadAll(busy); err != nil || !strings.HasPrefix(string(response), "FAILURE") {
		t.Errorf("the busy one: %q, %v", response, err)
	}
	closed := 0
	for _, nc := range idle {
		_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := nc.Read(make([]byte, 1)); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
				closed++
			}
		}
	}
	if closed < 19*testConnections {
		t.Errorf("only %d of %d idle connections were closed for others", closed, len(idle))
	}
}

func TestCloseEndsServeAndIdleConnections(t *testing.T) {
	s := startServer(t, testHandlers(true, nil))
	nc := dial(t, s)
	exchange(t, s, "check\n")
	s.Close()
	if _, err := nc.Read(make([]byte, 1)); err == nil {
		t.Error("a connection is open still")
	}
	if s.openConnections != 0 || s.idle.Len() != 0 {
		t.Errorf("%d open, %d idle", s.openConnections, s.idle.Len())
	}
}
