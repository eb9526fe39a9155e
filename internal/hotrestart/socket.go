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
	// maxAcceptBlock bounds an accept on a socket that another process has set blocking. It is well within PollInterval, by
	// which a process notices that it is superseded.
	maxAcceptBlock = 50 * time.Millisecond
	// minInheritedDescriptor is the first one that is not a standard stream.
	minInheritedDescriptor = 3
)

// InheritedDescriptor parses the number of an inherited descriptor, the value of an environment variable. An empty value
// results in 0. An error names the variable.
func InheritedDescriptor(variable, value string) (int, error) {
	if value == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(value)
	if err != nil || fd < minInheritedDescriptor {
		return 0, fmt.Errorf("%s: %.40q is no descriptor", variable, value)
	}
	return fd, nil
}

// InheritedListener returns a listener on an inherited socket, which must be a TCP socket that listens at address. The
// listener has a descriptor of its own: fd stays open, and closing the listener does not shut the socket down, from which
// other processes accept too.
//
// The socket is made non-blocking. All its descriptors share that property, and whoever starts a process with one of them
// may reset it for a moment, as os/exec does. An accept that begins then, and loses its connection to another process,
// would block until the next one arrives, and with it the end of this process. So an accept that does block is ended by
// the system after maxAcceptBlock, for plain TCP. Multipath TCP ignores that limit, and its sockets are accepted all the
// same.
func InheritedListener(fd int, address string) (*net.TCPListener, error) {
	if err := checkListeningSocket(fd, address); err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: set non-blocking: %w", fd, err)
	}
	timeout := unix.NsecToTimeval(maxAcceptBlock.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("descriptor %d: set accept timeout: %w", fd, err)
	}
	duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: duplicate: %w", fd, err)
	}
	f := os.NewFile(uintptr(duplicate), "listener")
	defer func() { _ = f.Close() }() // net.FileListener has duplicated it again
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

// checkListeningSocket returns an error that says why a descriptor is not a TCP socket that listens at address.
func checkListeningSocket(fd int, address string) error {
	socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	}
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	isTCP := protocol == unix.IPPROTO_TCP || protocol == unix.IPPROTO_MPTCP // Go's own listeners use the latter
	if err != nil || socketType != unix.SOCK_STREAM || !isTCP {
		return errNotTCP(fd)
	}
	if listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listens == 0 {
		return fmt.Errorf("descriptor %d does not listen", fd)
	}
	actual, err := boundAddr(fd)
	if err != nil {
		return err
	}
	expected, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	isAnyExpected := expected.IP == nil || expected.IP.IsUnspecified()
	isSameIP := actual.IP.IsUnspecified() || isAnyExpected || actual.IP.Equal(expected.IP)
	if actual.Port != expected.Port || !isSameIP {
		return fmt.Errorf("descriptor %d listens at %s, not at %s", fd, actual, address)
	}
	return nil
}

// boundAddr returns the address that a TCP socket is bound to.
func boundAddr(fd int) (*net.TCPAddr, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	}
	return nil, errNotTCP(fd)
}

func errNotTCP(fd int) error { return fmt.Errorf("descriptor %d is no TCP socket", fd) }
