package sidecar

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/hotrestart"
)

// sharedSocket is a listening socket that several servers accept from, one after another: connections that wait in the
// socket's accept queue must not be lost when one server replaces another. Each server has a socketHandle; closing the
// last handle closes the socket.
//
// A duplicated descriptor for each server would not work: making a net.Listener from a descriptor sets the socket to
// blocking mode for a moment, through both descriptors, and an accept at that moment hangs until the next connection.
//
// The Accept calls of all handles wait on one net.TCPListener, and only the listener's deadline can interrupt them. The
// deadline is in the past while a handle is closing or the socket is paused. Setting the deadline fails only when the
// listener is closed, which Accept reports.
type sharedSocket struct {
	tcp *net.TCPListener

	mu             sync.Mutex
	changed        sync.Cond // signals a change of closingHandles, isPaused or a handle's isClosed
	openHandles    int       // number of open handles
	isPaused       bool      // whether all handles have stopped accepting connections
	closingHandles int       // number of closed handles whose Accept calls have not all returned
}

// socketHandle is one server's access to a sharedSocket. It implements net.Listener.
type socketHandle struct {
	*sharedSocket
	isClosed       atomic.Bool
	pendingAccepts atomic.Int32 // number of Accept calls in progress
}

// expiredDeadline is a deadline in the past that interrupts an Accept call at once.
var expiredDeadline = time.Unix(1, 0)

// listen opens a socket and returns its first handle.
func listen(address string) (*socketHandle, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newSharedSocket(l.(*net.TCPListener)), nil
}

// listenInherited returns the first handle of a socket that the platform has opened.
func listenInherited(fd int, address string) (*socketHandle, error) {
	l, err := hotrestart.InheritedListener(fd, address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newSharedSocket(l), nil
}

func newSharedSocket(l *net.TCPListener) *socketHandle {
	s := &sharedSocket{tcp: l, openHandles: 1}
	s.changed.L = &s.mu
	return &socketHandle{sharedSocket: s}
}

// SetPaused stops all handles from accepting connections, or lets them accept again. While the socket is paused,
// connections wait in the kernel's accept queue. An Accept call that already has a connection returns it.
func (s *sharedSocket) SetPaused(isPaused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPaused = isPaused
	if isPaused {
		_ = s.tcp.SetDeadline(expiredDeadline)
	} else {
		s.clearDeadline()
	}
	s.changed.Broadcast()
}

// clearDeadline lets Accept calls wait again, unless a pause or a closing handle needs the deadline. s.mu is held.
func (s *sharedSocket) clearDeadline() {
	if s.closingHandles == 0 && !s.isPaused {
		_ = s.tcp.SetDeadline(time.Time{})
	}
}

// newHandle returns another handle; ok is false if the socket is closed.
func (s *sharedSocket) newHandle() (h *socketHandle, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openHandles == 0 {
		return nil, false
	}
	s.openHandles++
	return &socketHandle{sharedSocket: s}, true
}

// Addr implements net.Listener. It returns the address of the shared socket.
func (h *socketHandle) Addr() net.Addr { return h.tcp.Addr() }

// Accept implements net.Listener. It returns net.ErrClosed once the handle is closed.
func (h *socketHandle) Accept() (net.Conn, error) {
	h.pendingAccepts.Add(1)
	defer h.pendingAccepts.Add(-1)
	for {
		if h.isClosed.Load() {
			return nil, net.ErrClosed
		}
		nc, err := h.tcp.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		h.awaitResume()
	}
}

// awaitResume waits until no other handle is closing and the socket is not paused, or until this handle is closed. It
// then clears the listener's expired deadline, unless a closing handle or a pause still needs the deadline. The deadline
// must not be cleared earlier: an Accept call checks the deadline only after it has woken up, so the Accept call of the
// closing handle might go on waiting.
func (h *socketHandle) awaitResume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for (h.closingHandles > 0 || h.isPaused) && !h.isClosed.Load() {
		h.changed.Wait()
	}
	h.clearDeadline()
}

// Close implements net.Listener. It interrupts a waiting Accept call; an Accept call that already has a connection returns
// it.
func (h *socketHandle) Close() error {
	if h.isClosed.Swap(true) {
		return nil
	}
	if h.release() {
		return h.tcp.Close()
	}
	for h.pendingAccepts.Load() > 0 { // the interrupted Accept call returns as soon as its goroutine is scheduled
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closingHandles--
	h.clearDeadline()
	h.changed.Broadcast()
	return nil
}

// release removes this handle from the count of open handles, and reports whether it was the last one. If it was not, it
// gives the listener a deadline in the past, which interrupts the handle's Accept call.
func (h *socketHandle) release() (isLast bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openHandles--
	isLast = h.openHandles == 0
	if !isLast {
		h.closingHandles++
		_ = h.tcp.SetDeadline(expiredDeadline)
	}
	h.changed.Broadcast()
	return isLast
}
