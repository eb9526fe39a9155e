package body

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"
)

func TestWriteEndsWhenPeerDoesNotReadOrWriteIsStopped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	largeBody := make([]byte, 32<<20) // more than the socket buffers hold
	m := NewMeter(MinimumRate{IdleTimeout: 50 * time.Millisecond, BytesPerSecond: 100 << 20})
	neverStopped := func() bool { return false }
	if n, err := Write(nc, &m, neverStopped, net.Buffers{largeBody}); !errors.Is(err, ErrTooSlow) || n == 0 || n == int64(len(largeBody)) {
		t.Errorf("slow peer: wrote %d bytes of %d, error %v, want a part of them and %v", n, len(largeBody), err, ErrTooSlow)
	}
	m = NewMeter(MinimumRate{IdleTimeout: 20 * time.Second})
	var stopOnce sync.Once
	stopped := make(chan struct{})
	isStopped := func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	}
	time.AfterFunc(50*time.Millisecond, func() {
		stopOnce.Do(func() { close(stopped) })
		nc.SetWriteDeadline(time.Unix(1, 0))
	})
	if _, err := Write(nc, &m, isStopped, net.Buffers{largeBody}); !errors.Is(err, ErrStopped) {
		t.Errorf("stopped: error %v, want %v", err, ErrStopped)
	}
}
