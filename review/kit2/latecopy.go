package kit2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lateCopy: endpoints send some of their answers a second time, some milliseconds after the first, but only if no byte of a further
// request has come on the connection by then.
func lateCopy(e *env) {
	var members []member
	var copies atomic.Int64
	for i := range 8 {
		l := e.listen()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go e.serveWithCopies(conn, &copies)
			}
		}()
		members = append(members, member{ID: fmt.Sprintf("node-%d", i+1), Addr: l.Addr().String(), Zone: "caboolture-depot", Kind: "front-std", Cell: 1, State: "Ready", Weight: 1})
	}
	discovery := e.startAgent("discovery", 1, members)
	s := e.startSidecar("n1", discovery.addr, discovery.known(), limits{1, 128, 512}, settings("automatic"))
	const end = 45 * time.Second
	var ended tally
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() {
			c := &keptClient{env: e, addr: s.addr}
			defer c.close()
			for e.now() < end {
				a := ask{newID("look"), "item-lookup", 2300 * time.Millisecond, -1}
				r := c.send(a)
				ended.add(r.kind)
				e.judgeAnswer(a, r)
			}
		})
	}
	clients.Wait()
	e.finish("requests: %v, second copies: %d", &ended, copies.Load())
}

func (e *env) serveWithCopies(conn net.Conn, copies *atomic.Int64) {
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	in := bufio.NewReader(conn)
	var began atomic.Int64 // number of the request whose first byte has come
	var writing sync.Mutex
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		number := began.Add(1)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(time.Duration(80+rand.IntN(15)) * time.Millisecond)
		id := r.Header.Get("Req-Id")
		body := "answer to " + id + "\n"
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		writing.Lock()
		_, err = io.WriteString(conn, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if e.trouble && rand.IntN(10) == 0 {
			time.AfterFunc(time.Duration(8000+rand.IntN(4000))*time.Microsecond, func() {
				writing.Lock()
				defer writing.Unlock()
				waits := began.Load() != number
				_ = raw.Control(func(fd uintptr) {
					var b [1]byte
					n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
					waits = waits || n >= 0
				})
				if waits {
					return
				}
				copies.Add(1)
				_, _ = io.WriteString(conn, answer)
				e.note("second copy of the answer to %s", id)
			})
		}
	}
}
