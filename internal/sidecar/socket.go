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

// socket is a listening socket that several servers may accept from, one after another: whoever waits in its queue must
// not be lost when one server takes another's place. (A second descriptor of it would not do: making a listener of one
// sets both blocking for a moment, and an accept at that moment hangs until the next caller.)
type socket struct {
	l *net.TCPListener

	mu      sync.Mutex
	changed sync.Cond // of closing, or of a hold's closed
	holds   int       // it is closed with the last one
	paused  bool      // nobody is taken; a deadline in the past stands then, too
	closing int       // holds whose Accept has yet to return: until then a deadline in the past stands
}

// hold is one server's share of a socket. It implements net.Listener.
type hold struct {
	*socket
	closed    atomic.Bool
	accepting atomic.Int32
}

// listen opens a socket and gives the first hold.
func listen(address string) (*hold, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newHold(l.(*net.TCPListener)), nil
}

// inherit is listen for a socket that the platform holds.
func inherit(fd int, address string) (*hold, error) {
	l, err := hotrestart.InheritedListener(fd, address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return newHold(l), nil
}

func newHold(l *net.TCPListener) *hold {
	s := &socket{l: l, holds: 1}
	s.changed.L = &s.mu
	return &hold{socket: s}
}

// Pause keeps all Accepts from taking callers, who wait in the system's queue, until it is undone. One that has been
// taken is still given out.
func (s *socket) Pause(is bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = is
	if is {
		_ = s.l.SetDeadline(time.Unix(1, 0))
	} else if s.closing == 0 {
		_ = s.l.SetDeadline(time.Time{})
	}
	s.changed.Broadcast()
}

// share gives a further hold; ok is false if the socket is closed.
func (s *socket) share() (*hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holds == 0 {
		return nil, false
	}
	s.holds++
	return &hold{socket: s}, true
}

// Addr implements net.Listener.
func (h *hold) Addr() net.Addr { return h.l.Addr() }

// Accept implements net.Listener.
func (h *hold) Accept() (net.Conn, error) {
	h.accepting.Add(1)
	defer h.accepting.Add(-1)
	for {
		if h.closed.Load() {
			return nil, net.ErrClosed
		}
		nc, err := h.l.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		h.lift()
	}
}

// lift waits until no other hold is about to close, and no pause stands, and lifts the deadline by which that one's Accept was ended. Were it
// lifted earlier, that Accept might sleep on: it looks at the deadline only once it has woken up.
func (h *hold) lift() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for (h.closing > 0 || h.paused) && !h.closed.Load() {
		h.changed.Wait()
	}
	if h.closing == 0 && !h.paused {
		_ = h.l.SetDeadline(time.Time{})
	}
}

// Close implements net.Listener. An Accept that waits returns; a caller that it has taken meanwhile is still given out.
func (h *hold) Close() error {
	if h.closed.Swap(true) {
		return nil
	}
	h.mu.Lock()
	h.holds--
	last := h.holds == 0
	if !last {
		h.closing++
		_ = h.l.SetDeadline(time.Unix(1, 0))
	}
	h.changed.Broadcast()
	h.mu.Unlock()
	if last {
		return h.l.Close()
	}
	for h.accepting.Load() > 0 { // it returns as soon as it gets to run
		time.Sleep(time.Millisecond)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing--; h.closing == 0 && !h.paused {
		_ = h.l.SetDeadline(time.Time{})
	}
	h.changed.Broadcast()
	return nil
}
