package hotrestart

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptTimeout bounds a call of accept on a socket that another process has made blocking. It is well below
	// PollInterval, within which a process notices that it is superseded.
	acceptTimeout = 50 * time.Millisecond
	// minInheritedDescriptor is the lowest descriptor that is not a standard stream.
	minInheritedDescriptor = 3
)

// InheritedDescriptor parses the value of an environment variable that holds the number of an inherited file descriptor. It
// returns 0 if the value is empty. An error names the variable.
func InheritedDescriptor(variable, value string) (int, error) {
	if value == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < minInheritedDescriptor {
		return 0, fmt.Errorf("%s: %.40q is not a descriptor number of at least %d", variable, value, minInheritedDescriptor)
	}
	return fd, nil
}

// InheritedListener returns a listener on an inherited socket, which must be a TCP socket that listens at address. The
// listener uses a duplicate of fd: fd stays open, and closing the listener does not shut down the socket, from which other
// processes accept connections too.
//
// InheritedListener makes the socket non-blocking. All descriptors of the socket share this setting, and a program that
// passes one of them to a child process may make the socket blocking for a moment, as os/exec does. An accept that begins at
// that moment blocks if another process takes the connection; it would delay the exit of this process until the next
// connection arrives. A receive timeout on the socket therefore ends a blocked accept after acceptTimeout. This works for
// plain TCP only: Multipath TCP ignores the timeout, but its sockets are supported without it.
func InheritedListener(fd int, address string) (*net.TCPListener, error) {
	if err := checkListeningSocket(fd, address); err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: set non-blocking: %w", fd, err)
	}
	timeout := unix.NsecToTimeval(acceptTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("descriptor %d: set accept timeout: %w", fd, err)
	}
	duplicateFD, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: duplicate: %w", fd, err)
	}
	f := os.NewFile(uintptr(duplicateFD), "listener")
	defer func() { _ = f.Close() }() // net.FileListener uses another duplicate of the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcpListener, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, errNotTCP(fd)
	}
	return tcpListener, nil
}

// checkListeningSocket returns an error unless the descriptor is a TCP socket that listens at address. An unspecified IP
// address, of the socket or in address, matches every IP address; the ports must be equal.
func checkListeningSocket(fd int, address string) error {
	socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return fmt.Errorf("descriptor %d is not a socket: %w", fd, err)
	}
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	isTCP := protocol == unix.IPPROTO_TCP || protocol == unix.IPPROTO_MPTCP // Go's listeners use Multipath TCP by default
	if err != nil || socketType != unix.SOCK_STREAM || !isTCP {
		return errNotTCP(fd)
	}
	if isListening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || isListening == 0 {
		return fmt.Errorf("descriptor %d does not listen", fd)
	}
	actualAddr, err := boundTCPAddr(fd)
	if err != nil {
		return err
	}
	expectedAddr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	expectsAnyIP := expectedAddr.IP == nil || expectedAddr.IP.IsUnspecified()
	matchesIP := actualAddr.IP.IsUnspecified() || expectsAnyIP || actualAddr.IP.Equal(expectedAddr.IP)
	if actualAddr.Port != expectedAddr.Port || !matchesIP {
		return fmt.Errorf("descriptor %d listens at %s, not at %s", fd, actualAddr, address)
	}
	return nil
}

// boundTCPAddr returns the address that a TCP socket is bound to.
func boundTCPAddr(fd int) (*net.TCPAddr, error) {
	socketAddr, err := unix.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	switch a := socketAddr.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	}
	return nil, errNotTCP(fd)
}

// errNotTCP returns the error for a descriptor whose type, protocol or address is not that of a TCP socket.
func errNotTCP(fd int) error { return fmt.Errorf("descriptor %d is not a TCP socket", fd) }
