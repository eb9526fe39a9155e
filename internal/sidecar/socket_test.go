package sidecar

import (
	"errors"
	"net"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Servers that replace one another on a socket lose no connection, and the handle of a replaced server closes quickly.
func TestSharedSocketIsHandedOverWithoutLoss(t *testing.T) {
	h, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := h.Addr().String()
	const clients = 300
	accepted := make(chan bool, clients)
	serve := func(h *socketHandle) chan error {
		ended := make(chan error, 1)
		go func() {
			for {
				nc, err := h.Accept()
				if err != nil {
					ended <- err
					return
				}
				nc.Close()
				accepted <- true
			}
		}()
		return ended
	}
	ended := serve(h)
	go func() {
		for range clients {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
		}
	}()
	for range 20 {
		next, ok := h.newHandle()
		if !ok {
			t.Fatal("an open socket can't be shared")
		}
		nextEnded := serve(next)
		if err := h.Close(); err != nil {
			t.Error(err)
		}
		select {
		case err := <-ended:
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept of a closed handle: error %v, want %v", err, net.ErrClosed)
			}
		case <-time.After(testpeer.Timeout):
			t.Fatal("Accept of a closed handle does not return")
		}
		h, ended = next, nextEnded
	}
	for range clients {
		select {
		case <-accepted:
		case <-time.After(testpeer.Timeout):
			t.Fatal("a connection was lost")
		}
	}
	h.Close()
	if _, ok := h.newHandle(); ok {
		t.Error("a closed socket can be shared")
	}
	if err := h.Close(); err != nil {
		t.Errorf("closing a handle twice: %v", err)
	}
}

// While one handle of a socket closes, another open handle must not clear the past deadline that interrupts the closing
// handle's Accept call. If it does so again and again before the Accept call has noticed the deadline, closing can take
// 20 s on two busy cores.
func TestConcurrentHandlesCloseIndependently(t *testing.T) {
	first, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handles, ended := []*socketHandle{first}, make(chan error, 16)
	for range 15 {
		h, ok := first.newHandle()
		if !ok {
			t.Fatal("an open socket can't be shared")
		}
		handles = append(handles, h)
	}
	for _, h := range handles {
		go func() { _, err := h.Accept(); ended <- err }()
	}
	for _, h := range handles {
		testpeer.Eventually(t, "the handle accepts", func() bool { return h.pendingAccepts.Load() > 0 })
	}
	for i, h := range handles {
		if i%4 == 3 { // close this handle and the next one concurrently
			go h.Close()
		} else if err := h.Close(); err != nil {
			t.Error(err)
		}
	}
	for range handles {
		select {
		case err := <-ended:
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept of a closed handle: error %v, want %v", err, net.ErrClosed)
			}
		case <-time.After(testpeer.Timeout):
			t.Fatal("Accept of a closed handle does not return")
		}
	}
}
