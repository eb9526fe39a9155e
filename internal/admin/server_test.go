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

// testHandlers returns handlers that send the arguments of each manual ejection, or end of one, to a channel. The endpoint "nobody"
// is unknown to them, and an ejection of the endpoint "slow" is never confirmed.
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

// testMaxConnections is the maximum number of open connections of the servers under test.
const testMaxConnections = 4

// startServer starts a Server that runs until the test ends.
func startServer(t *testing.T, handlers Handlers) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, testMaxConnections, handlers, slog.New(slog.DiscardHandler))
	serveEnded := make(chan struct{})
	go func() { defer close(serveEnded); s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		<-serveEnded
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

// exchange sends text on a new connection and returns all bytes that are received until the server closes it.
func exchange(t *testing.T, s *Server, text string) string {
	t.Helper()
	nc := dial(t, s)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("reading the response to %q: %v", text, err)
	}
	return string(response)
}

func TestConnectionGetsOneResponseToOneCommand(t *testing.T) {
	ejections := make(chan string, 9)
	s := startServer(t, testHandlers(true, ejections))
	for _, row := range []struct{ send, want string }{
		{"check\n", "SUCCESS this process takes clients\n"},
		{"check\r\nvars\n", "SUCCESS this process takes clients\n"}, // the second command is not executed
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
			t.Errorf("%.60q: response %q, want %q", row.send, got, row.want)
		}
	}
	for _, want := range []string{"s-1 true", "s-1 false"} {
		if got := <-ejections; got != want {
			t.Errorf("SetEjected was called with %s, want %s", got, want)
		}
	}
	if got := exchange(t, startServer(t, testHandlers(false, nil)), "check\n"); !strings.HasPrefix(got, "FAILURE ") {
		t.Errorf("check while not ready: response %q, want one that begins with FAILURE", got)
	}
}

// A line without its end must not be executed, since a truncated ID could be that of another endpoint.
func TestIncompleteLineIsNotExecuted(t *testing.T) {
	ejections := make(chan string, 1)
	s := startServer(t, testHandlers(true, ejections))
	nc := dial(t, s)
	_, _ = io.WriteString(nc, "set-down s-12")
	_ = nc.(*net.TCPConn).CloseWrite()
	if response, err := io.ReadAll(nc); err != nil || len(response) > 0 {
		t.Errorf("got response %q, error %v, want neither", response, err)
	}
	select {
	case ejection := <-ejections:
		t.Errorf("SetEjected was called with %s, want no call", ejection)
	default:
	}
}

// Neither connections without a complete command nor a slow command may delay other commands.
func TestIdleConnectionsDoNotBlockCommands(t *testing.T) {
	s := startServer(t, testHandlers(true, make(chan string, 1)))
	var idle []net.Conn
	for i := range 20 * testMaxConnections {
		nc := dial(t, s)
		_, _ = io.WriteString(nc, []string{"", "che", "\n\n", "set-down s-1"}[i%4])
		idle = append(idle, nc)
	}
	busyConn := dial(t, s)
	_, _ = io.WriteString(busyConn, "set-down slow\n")
	for range 5 {
		startedAt := time.Now()
		if got := exchange(t, s, "check\n"); !strings.HasPrefix(got, "SUCCESS") {
			t.Errorf("check: response %q, want one that begins with SUCCESS", got)
		}
		if took := time.Since(startedAt); took > time.Second {
			t.Errorf("the response took %v, want at most 1s", took)
		}
	}
	if response, err := io.ReadAll(busyConn); err != nil || !strings.HasPrefix(string(response), "FAILURE") {
		t.Errorf("slow command: response %q, error %v, want one that begins with FAILURE", response, err)
	}
	closedCount := 0
	for _, nc := range idle {
		_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := nc.Read(make([]byte, 1)); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
				closedCount++
			}
		}
	}
	if closedCount < 19*testMaxConnections {
		t.Errorf("%d of %d idle connections were closed to make room, want at least %d", closedCount, len(idle), 19*testMaxConnections)
	}
}

func TestCloseEndsServeAndIdleConnections(t *testing.T) {
	s := startServer(t, testHandlers(true, nil))
	nc := dial(t, s)
	exchange(t, s, "check\n")
	s.Close()
	if _, err := nc.Read(make([]byte, 1)); err == nil {
		t.Error("a connection is still open after Close")
	}
	if s.openCount != 0 || s.idle.Len() != 0 {
		t.Errorf("%d connections open and %d idle after Close, want 0 and 0", s.openCount, s.idle.Len())
	}
}

// A client that sends empty lines at full speed would keep the only processor busy for as long as a command may take.
func TestCommandAfterTooManyEmptyLinesIsRejected(t *testing.T) {
	s := startServer(t, testHandlers(true, nil))
	if got := exchange(t, s, strings.Repeat("\n", maxEmptyLines)+"check\n"); !strings.HasPrefix(got, "SUCCESS ") {
		t.Errorf("response %q after %d empty lines, want one that begins with SUCCESS", got, maxEmptyLines)
	}
	if got := exchange(t, s, strings.Repeat("\n", maxEmptyLines+1)+"check\n"); !strings.HasPrefix(got, "FAILURE ") {
		t.Errorf("response %q after %d empty lines, want one that begins with FAILURE", got, maxEmptyLines+1)
	}
}
