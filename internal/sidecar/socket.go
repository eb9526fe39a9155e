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

// sharedSocket is a listening socket that several servers may accept from, one after another: whoever waits in its queue must
// not be lost when one server takes another's place. (A second descriptor of it would not do: making a listener of one
// sets both blocking for a moment, and an accept at that moment hangs until the next caller.)
type sharedSocket struct {
	tcp *net.TCPListener

	mu       sync.Mutex
	changed  sync.Cond // of closing, or of a hold's closed
	handles  int       // it is closed with the last one
	isPaused bool      // nobody is taken; a deadline in the past stands then, too
	closing  int       // holds whose Accept has yet to return: until then a deadline in the past stands
}

// socketHandle is one server's share of a socket. It implements net.Listener.
type socketHandle struct {
	*sharedSocket
	isClosed  atomic.Bool
	accepting atomic.Int32
}

// listen opens a socket and gives the first hold.
func listen(address string) (*socketHandle, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newSharedSocket(l.(*net.TCPListener)), nil
}

// listenInherited is listen for a socket that the platform holds.
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

// SetPaused keeps all Accepts from taking callers, who wait in the system's queue, until it is undone. One that has been
// taken is still given out.
func (s *sharedSocket) SetPaused(is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPaused = is
	if is {
		_ = s.tcp.SetDeadline(time.Unix(1, 0))
	} else if s.closing == 0 {
		_ = s.tcp.SetDeadline(time.Time{})
	}
	s.changed.Broadcast()
}

// newHandle gives a further hold; ok is false if the socket is closed.
func (s *sharedSocket) newHandle() (*socketHandle, bool) {
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

// awaitTurn waits until no other hold is about to close, and no pause stands, and lifts the deadline by which that one's Accept was ended. Were it
// lifted earlier, that Accept might sleep on: it looks at the deadline only once it has woken up.
func (h *socketHandle) awaitTurn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for (h.closing > 0 || h.isPaused) && !h.isClosed.Load() {
		h.changed.Wait()
	}
	if h.closing == 0 && !h.isPaused {
		_ = h.tcp.SetDeadline(time.Time{})
	}
}

// Close implements net.Listener. An Accept that waits returns; a caller that it has taken meanwhile is still given out.
func (h *socketHandle) Close() error {
	if h.isClosed.Swap(true) {
		return nil
	}
	h.mu.Lock()
	h.handles--
	last := h.handles == 0
	if !last {
		h.closing++
		_ = h.tcp.SetDeadline(time.Unix(1, 0))
	}
	h.changed.Broadcast()
	h.mu.Unlock()
	if last {
		return h.tcp.Close()
	}
	for h.accepting.Load() > 0 { // it returns as soon as it gets to run
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing--; h.closing == 0 && !h.isPaused {
		_ = h.tcp.SetDeadline(time.Time{})
	}
	h.changed.Broadcast()
	return nil
}
