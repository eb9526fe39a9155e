package hotrestart

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// maxAcceptBlock is well within the time by which a process has to have heard that another takes its callers (LookEvery).
const maxAcceptBlock = 50 * time.Millisecond

// minInheritedDescriptor is the first that is not one of the standard ones.
const minInheritedDescriptor = 3

// InheritedDescriptor reads the number of an inherited descriptor; 0: none was told. The error names the variable.
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

// InheritedListener makes a listener of an inherited socket, which must listen at the address given. The socket itself stays open,
// and is never shut down: other processes accept from it too.
//
// The descriptor is made non-blocking. That is a property of the socket, and whoever starts a process with it may take it
// back for a moment, as os/exec does: an accept that begins then, and loses its caller to another process, would
// hang until the next one comes, and with it the end of this process. So an accept that blocks ends after blockMost (of
// plain TCP; a socket of multipath TCP heeds no such limit, and is taken all the same).
func InheritedListener(fd int, address string) (*net.TCPListener, error) {
	if err := checkListeningSocket(fd, address); err != nil {
		return nil, err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	wait := unix.NsecToTimeval(maxAcceptBlock.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &wait); err != nil {
		return nil, err
	}
	own, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(own), "listener")
	defer f.Close() // net makes another descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d is no TCP socket", fd)
	}
	return tcp, nil
}

// checkListeningSocket tells why a descriptor is not a TCP socket that listens at an address.
func checkListeningSocket(fd int, address string) error {
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	if err != nil {
		return fmt.Errorf("descriptor %d is no socket: %w", fd, err)
	}
	protocol, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL)
	tcp := protocol == unix.IPPROTO_TCP || protocol == unix.IPPROTO_MPTCP // as Go's own listeners are
	if err != nil || kind != unix.SOCK_STREAM || !tcp {
		return fmt.Errorf("descriptor %d is no TCP socket", fd)
	}
	if listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listens == 0 {
		return fmt.Errorf("descriptor %d does not listen", fd)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	var at net.TCPAddr
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		at = net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *unix.SockaddrInet6:
		at = net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	default:
		return fmt.Errorf("descriptor %d is no TCP socket", fd)
	}
	want, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	anywhere := want.IP == nil || want.IP.IsUnspecified()
	if at.Port != want.Port || !at.IP.IsUnspecified() && !anywhere && !at.IP.Equal(want.IP) {
		return fmt.Errorf("descriptor %d listens at %s, not at %s", fd, &at, address)
	}
	return nil
}
