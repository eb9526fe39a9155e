package hotrestart

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestInheritedDescriptor(t *testing.T) {
	const variable = "ROUTER_LISTEN_FD"
	for value, want := range map[string]int{"": 0, "5": 5, "3": 3} {
		if fd, err := InheritedDescriptor(variable, value); err != nil || fd != want {
			t.Errorf("%q: %d, %v", value, fd, err)
		}
	}
	for _, value := range []string{"five", "-1", "0", "2", "5x"} {
		if _, err := InheritedDescriptor(variable, value); err == nil || !strings.Contains(err.Error(), variable) {
			t.Errorf("%q: %v", value, err)
		}
	}
}

// duplicate returns another descriptor of a socket, as a process inherits it.
func duplicate(t *testing.T, socket syscall.Conn) int {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	controlErr := raw.Control(func(of uintptr) { fd, err = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) })
	if controlErr != nil || err != nil || fd < 0 {
		t.Fatal(controlErr, err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	return fd
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

func TestInheritedListenerChecksTheSocket(t *testing.T) {
	l := listen(t)
	udpConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udpConn.Close()
	unbound, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(unbound)
	file, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, udp, address := duplicate(t, l), duplicate(t, udpConn.(*net.UDPConn)), l.Addr().String()
	port := address[strings.LastIndex(address, ":"):]
	for _, row := range []struct {
		name    string
		fd      int
		address string
		want    string // in the error; empty: there is none
	}{
		{"its address", fd, address, ""},
		{"any address with its port", fd, "0.0.0.0" + port, ""},
		{"another port", fd, "127.0.0.1:1", "not at 127.0.0.1:1"},
		{"another address", fd, "127.0.0.2" + port, "not at"},
		{"UDP", udp, address, "no TCP socket"},
		{"does not listen", unbound, address, "does not listen"},
		{"a file", int(file.Fd()), address, "no socket"},
		{"not open", 9999, address, "no socket"},
	} {
		t.Run(row.name, func(t *testing.T) {
			got, err := InheritedListener(row.fd, row.address)
			if row.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				got.Close()
			} else if err == nil || !strings.Contains(err.Error(), row.want) {
				t.Errorf("descriptor %d at %s: %v, want %q", row.fd, row.address, err, row.want)
			}
		})
	}
}

func TestClosedListenerLeavesQueuedConnectionsToOtherProcesses(t *testing.T) {
	l := listen(t)
	fd, address := duplicate(t, l), l.Addr().String()
	first, err := InheritedListener(fd, address)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	first.Close()
	second, err := InheritedListener(fd, address)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_ = second.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := second.Accept(); err != nil {
		t.Errorf("the queued connection is lost: %v", err)
	}
}

// os/exec makes a socket blocking that it passes to a child. An accept of a process that has the socket already must not
// block on it, or the process could not end.
func TestAcceptDoesNotHangWhenTheSocketIsSetBlocking(t *testing.T) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // plain TCP, where accept respects the socket's timeout
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fd := duplicate(t, l.(*net.TCPListener))
	inherited, err := InheritedListener(fd, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := inherited.Accept()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // it blocks in the system call, or is about to
	_ = inherited.SetDeadline(time.Unix(1, 0))
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("accept hangs")
		if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
			conn.Close()
		}
	}
	inherited.Close()
}
