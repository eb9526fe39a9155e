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

// sharedSocket is a listening socket that several servers may accept from, one after another: connections that wait in
// its queue must not be lost when one server replaces another. Each server has a socketHandle; the last Close closes the
// socket.
//
// A second descriptor of the same socket would not do: making a listener of one sets both blocking for a moment, and an
// accept at that moment hangs until the next connection.
//
// The Accepts of all handles wait on one net.TCPListener, and only its deadline can end them. It is in the past while a
// handle is closing or the socket is paused. Setting it fails only when the listener is closed; Accept reports that.
type sharedSocket struct {
	tcp *net.TCPListener

	mu       sync.Mutex
	changed  sync.Cond // of closing, isPaused, or a handle's isClosed
	handles  int       // that are not closed
	isPaused bool      // no connection is accepted
	closing  int       // handles whose Accept has yet to return
}

// socketHandle is one server's part of a sharedSocket. It implements net.Listener.
type socketHandle struct {
	*sharedSocket
	isClosed  atomic.Bool
	accepting atomic.Int32 // Accepts that have not returned
}

// past is a deadline that ends an Accept at once.
var past = time.Unix(1, 0)

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
	s := &sharedSocket{tcp: l, handles: 1}
	s.changed.L = &s.mu
	return &socketHandle{sharedSocket: s}
}

// SetPaused stops all handles from accepting connections, or lets them go on. Meanwhile connections wait in the kernel's
// queue. An Accept that has a connection already returns it.
func (s *sharedSocket) SetPaused(isPaused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPaused = isPaused
	if isPaused {
		_ = s.tcp.SetDeadline(past)
	} else {
		s.clearDeadline()
	}
	s.changed.Broadcast()
}

// clearDeadline lets Accepts wait again, unless a pause or a closing handle needs the deadline. s.mu is held.
func (s *sharedSocket) clearDeadline() {
	if s.closing == 0 && !s.isPaused {
		_ = s.tcp.SetDeadline(time.Time{})
	}
}

// newHandle returns a further handle; ok is false if the socket is closed.
func (s *sharedSocket) newHandle() (h *socketHandle, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handles == 0 {
		return nil, false
	}
	s.handles++
	return &socketHandle{sharedSocket: s}, true
}

// Addr implements net.Listener.
func (h *socketHandle) Addr() net.Addr { return h.tcp.Addr() }

// Accept implements net.Listener.
func (h *socketHandle) Accept() (net.Conn, error) {
	h.accepting.Add(1)
	defer h.accepting.Add(-1)
	for {
		if h.isClosed.Load() {
			return nil, net.ErrClosed
		}
		nc, err := h.tcp.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		h.awaitTurn()
	}
}

// awaitTurn waits until no other handle is closing and the socket is not paused, or this handle is closed. The deadline
// must not be cleared earlier: an Accept looks at it only once it has woken up, so that the closing handle's might sleep
// on.
func (h *socketHandle) awaitTurn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for (h.closing > 0 || h.isPaused) && !h.isClosed.Load() {
		h.changed.Wait()
	}
	h.clearDeadline()
}

// Close implements net.Listener. An Accept that waits returns; one that has a connection already returns that.
func (h *socketHandle) Close() error {
	if h.isClosed.Swap(true) {
		return nil
	}
	if h.closeOne() {
		return h.tcp.Close()
	}
	for h.accepting.Load() > 0 { // it returns as soon as it gets to run
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing--
	h.clearDeadline()
	h.changed.Broadcast()
	return nil
}

// closeOne counts a handle less, and tells whether it was the last. If not, the deadline ends the handle's Accept.
func (h *socketHandle) closeOne() (isLast bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handles--
	isLast = h.handles == 0
	if !isLast {
		h.closing++
		_ = h.tcp.SetDeadline(past)
	}
	h.changed.Broadcast()
	return isLast
}
