package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

// scriptedConn is a connection from which a text comes, and then its end.
type scriptedConn struct {
	net.Conn
	mu  sync.Mutex
	in  *bytes.Reader
	out bytes.Buffer
}

func (s *scriptedConn) Read(to []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.in.Read(to)
}

func (s *scriptedConn) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func newScriptedConn(text []byte) (*scriptedConn, *conn) {
	s := &scriptedConn{in: bytes.NewReader(text)}
	limit := &io.LimitedReader{R: s}
	return s, &conn{Conn: s, byteLimit: limit, reader: bufio.NewReaderSize(limit, maxResponseHead)}
}

// exchangeWith is what an endpoint's text comes to.
func exchangeWith(text []byte, method string) (status int, got []byte, reusable, ok bool, left int) {
	s, c := newScriptedConn(text)
	u := New(Options{Pool: body.NewPool(8 * body.Window), Pace: body.Pace{Idle: time.Minute}})
	passed := make(chan []byte, 1)
	x := &exchange{client: u, conn: c, request: &Message{Method: method, Header: http.Header{}}, stopDeadline: func() bool { return true }}
	x.hooks.Begun = func(a Response) bool {
		status = a.Status
		go func() {
			var all []byte
			for {
				part, err := a.Stream.Next()
				if err != nil {
					if errors.Is(err, io.EOF) {
						err = nil
					}
					passed <- all
					a.Stream.Close(err)
					return
				}
				all = append(all, part...)
			}
		}()
		return true
	}
	r, a, reusable := x.run(context.Background(), []byte("x"))
	if x.isHandedOver.Load() {
		got = <-passed
	} else {
		status, got = a.Status, a.Body
	}
	return status, got, reusable, r == balance.OK, s.in.Len() + c.reader.Buffered()
}

// What this reader takes for whole, net/http's takes for the same, ending in the same place.
func FuzzResponseIsReadAsNetHTTPReadsIt(f *testing.F) {
	long := string(bytes.Repeat([]byte("x"), 70_000))
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + long, "HTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nhi\r\n0\r\nX-T: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + long + "\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 70001\r\n\r\n" + long,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "HTTP/1.1 413 No\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
	} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		status, got, reusable, ok, left := exchangeWith(text, method)
		if !ok {
			return
		}
		in := bytes.NewReader(text)
		theirs := bufio.NewReader(in)
		var resp *http.Response
		var err error
		for resp, err = http.ReadResponse(theirs, &http.Request{Method: method}); err == nil && resp.StatusCode < 200; {
			resp, err = http.ReadResponse(theirs, &http.Request{Method: method})
		}
		if err != nil {
			t.Fatalf("net/http: %v; here status %d", err, status)
		}
		want, err := io.ReadAll(resp.Body)
		if err != nil || status != resp.StatusCode || !bytes.Equal(got, want) {
			t.Fatalf("status %d with %d bytes; net/http: %d with %d, %v", status, len(got), resp.StatusCode, len(want), err)
		}
		if rest := in.Len() + theirs.Buffered(); reusable && (rest != 0 || left != 0) {
			t.Fatalf("the connection goes on with %d bytes unread (net/http: %d)", left, rest)
		}
	})
}

// What goes on to an endpoint has the same body as what came, and no trailer that frames.
func FuzzRequestBodyIsForwardedUnchanged(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1\r\na\r\n0\r\nX-T: v\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 4\r\nHost: x\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		"Content-Length: 5\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\nX-T: a\r\nX-T: b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		came, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(append([]byte("POST /x HTTP/1.1\r\nHost: h\r\n"), text...))))
		if err != nil || came.ContentLength == 0 && len(came.TransferEncoding) == 0 {
			return
		}
		var want bytes.Buffer
		_, broken := io.Copy(&want, came.Body)
		came, _ = http.ReadRequest(bufio.NewReader(bytes.NewReader(append([]byte("POST /x HTTP/1.1\r\nHost: h\r\n"), text...))))
		s, c := newScriptedConn(nil)
		pool := body.NewPool(8 * body.Window)
		up, err := body.NewUpload(t.Context(), pool, body.Source{Body: came.Body, Deadline: func(time.Time) error { return nil }, Size: came.ContentLength, Most: 1 << 20,
			Trailer: func() http.Header { return came.Trailer }, Pace: body.Pace{Idle: time.Minute}})
		if err != nil {
			t.Fatal(err)
		}
		defer up.Close(0, 0)
		m := &Message{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Upload: up}
		flow, _ := up.NewFlow()
		u := New(Options{Pace: body.Pace{Idle: time.Minute}})
		p := &bodySender{exchange: &exchange{client: u, conn: c, request: m}, flow: flow, meter: body.NewMeter(u.options.Pace), proceed: make(chan struct{}), done: make(chan struct{})}
		p.run(m.encode(context.Background()))
		out, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(s.out.Bytes())))
		if err != nil {
			t.Fatalf("what goes on can't be read: %v, %q", err, s.out.String())
		}
		got, err := io.ReadAll(out.Body)
		if broken != nil {
			if p.isSent || err == nil && !errors.Is(broken, io.EOF) {
				t.Fatalf("a broken body (%v) went on as a whole one: %q", broken, s.out.String())
			}
			return
		}
		if err != nil || !p.isSent || !bytes.Equal(got, want.Bytes()) || out.ContentLength != came.ContentLength {
			t.Fatalf("%d bytes went on of %d, %v, sent %v", len(got), want.Len(), err, p.isSent)
		}
		for name := range out.Trailer {
			if len(forwardableTrailers(http.Header{name: {""}})) == 0 {
				t.Fatalf("the trailer %s went on", name)
			}
		}
	})
}
