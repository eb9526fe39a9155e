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

func TestInheritedDescriptorAcceptsOnlyNumbersFrom3(t *testing.T) {
	const variable = "ROUTER_LISTEN_FD"
	for value, want := range map[string]int{"": 0, "5": 5, "3": 3} {
		if fd, err := InheritedDescriptor(variable, value); err != nil || fd != want {
			t.Errorf("value %q: descriptor %d, error %v; want descriptor %d", value, fd, err, want)
		}
	}
	for _, value := range []string{"five", "-1", "0", "2", "5x"} {
		if _, err := InheritedDescriptor(variable, value); err == nil || !strings.Contains(err.Error(), variable) {
			t.Errorf("value %q: error %v, want one that names %s", value, err, variable)
		}
	}
}

// duplicateDescriptor returns another descriptor of a socket, like the one that a child process inherits.
func duplicateDescriptor(t *testing.T, socket syscall.Conn) int {
	t.Helper()
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	controlErr := raw.Control(func(original uintptr) { fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0) })
	if controlErr != nil || err != nil || fd < 0 {
		t.Fatal(controlErr, err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	return fd
}

// listenTCP returns a listener on a free port, which is closed when the test ends.
func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// InheritedListener accepts only a TCP socket that listens at the expected address.
func TestInheritedListenerChecksTheSocket(t *testing.T) {
	l := listenTCP(t)
	udpConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udpConn.Close()
	unboundFD, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(unboundFD)
	file, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	tcpFD, udpFD, address := duplicateDescriptor(t, l), duplicateDescriptor(t, udpConn.(*net.UDPConn)), l.Addr().String()
	port := address[strings.LastIndex(address, ":"):]
	for _, row := range []struct {
		name    string
		fd      int
		address string
		wantErr string // text that the error contains; empty if no error is expected
	}{
		{"its own address", tcpFD, address, ""},
		{"unspecified address with its port", tcpFD, "0.0.0.0" + port, ""},
		{"another port", tcpFD, "127.0.0.1:1", "not at 127.0.0.1:1"},
		{"another address", tcpFD, "127.0.0.2" + port, "not at"},
		{"UDP socket", udpFD, address, "is not a TCP socket"},
		{"socket that does not listen", unboundFD, address, "does not listen"},
		{"file", int(file.Fd()), address, "is not a socket"},
		{"closed descriptor", 9999, address, "is not a socket"},
	} {
		t.Run(row.name, func(t *testing.T) {
			got, err := InheritedListener(row.fd, row.address)
			if row.wantErr == "" {
				if err != nil {
					t.Fatal(err)
				}
				got.Close()
			} else if err == nil || !strings.Contains(err.Error(), row.wantErr) {
				t.Errorf("descriptor %d at %s: error %v, want one with %q", row.fd, row.address, err, row.wantErr)
			}
		})
	}
}

// A connection that waits in the socket's accept queue while one process closes its listener is accepted by another process.
func TestClosedListenerLeavesQueuedConnectionsToOtherProcesses(t *testing.T) {
	l := listenTCP(t)
	fd, address := duplicateDescriptor(t, l), l.Addr().String()
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
		t.Errorf("accept of the queued connection: %v", err)
	}
}

// os/exec makes a socket blocking when it passes the socket to a child process. An accept in a process that uses the same
// socket must not block for long, or the process could not exit.
func TestAcceptDoesNotHangWhenTheSocketIsSetBlocking(t *testing.T) {
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false) // with plain TCP, accept respects the socket's receive timeout
	l, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fd := duplicateDescriptor(t, l.(*net.TCPListener))
	inherited, err := InheritedListener(fd, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
	acceptResult := make(chan error, 1)
	go func() {
		_, err := inherited.Accept()
		acceptResult <- err
	}()
	time.Sleep(20 * time.Millisecond) // by now accept blocks in the system call, or is about to
	_ = inherited.SetDeadline(time.Unix(1, 0))
	select {
	case err := <-acceptResult:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("accept returned %v, want %v", err, os.ErrDeadlineExceeded)
		}
	case <-time.After(5 * time.Second):
		t.Error("accept still blocks 5s after its deadline, want it to return")
		// A connection lets the blocked accept return, so that the listener can be closed.
		if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
			conn.Close()
		}
	}
	inherited.Close()
}
