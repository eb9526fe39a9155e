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

// scriptedConn is a connection from which a fixed text and then io.EOF is read. It records the bytes that are written to it.
type scriptedConn struct {
	net.Conn
	mu  sync.Mutex
	in  *bytes.Reader // text that has not been read yet
	out bytes.Buffer  // bytes that were written
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

// newScriptedConn returns a scriptedConn, and a conn that uses it.
func newScriptedConn(text []byte) (*scriptedConn, *conn) {
	s := &scriptedConn{in: bytes.NewReader(text)}
	limitedReader := &io.LimitedReader{R: s}
	return s, &conn{Conn: s, byteLimit: limitedReader, reader: bufio.NewReaderSize(limitedReader, maxHeadBytes)}
}

// exchangeResult is the result of an exchange with an endpoint that writes a fixed text.
type exchangeResult struct {
	status      int
	body        []byte
	isOK        bool // whether the result is balance.OK
	isReusable  bool // whether the connection may carry another exchange
	unreadBytes int  // number of bytes of the text that were not consumed
}

// exchangeWith makes an exchange with an endpoint that writes text, regardless of the request it receives.
func exchangeWith(text []byte, method string) exchangeResult {
	s, c := newScriptedConn(text)
	client := New(Options{BodyMemory: body.NewMemoryPool(8 * body.BufferSize), MinimumRate: body.MinimumRate{IdleTimeout: time.Minute}})
	var got exchangeResult
	streamed := make(chan []byte, 1)
	x := &exchange{
		client:        client,
		conn:          c,
		request:       &Request{Method: method, Header: http.Header{}},
		detachContext: func() bool { return true },
	}
	x.hooks.ResponseStarted = func(response Response) bool {
		got.status = response.Status
		go func() {
			text, err := readStream(response.Stream)
			streamed <- text
			response.Stream.Close(err)
		}()
		return true
	}
	o := x.run(context.Background(), net.Buffers{[]byte("x")})
	if x.isHandedOver.Load() {
		got.body = <-streamed
	} else {
		got.status, got.body = o.response.Status, o.response.Body
	}
	got.isOK, got.isReusable, got.unreadBytes = o.result == balance.OK, o.isReusable, s.in.Len()+c.reader.Buffered()
	return got
}

// readStream reads a stream to its end. The error is nil if the end was reached.
func readStream(s *Stream) (text []byte, err error) {
	for {
		part, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return text, nil
		case err != nil:
			return text, err
		}
		text = append(text, part...)
	}
}

// For a response that Client accepts, net/http must read the same status and body, and must find the response's end at the same
// byte.
func FuzzResponseIsReadAsNetHTTPReadsIt(f *testing.F) {
	longBody := string(bytes.Repeat([]byte("x"), 70_000))
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + longBody,
		"HTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nhi\r\n0\r\nX-T: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + longBody + "\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 70001\r\n\r\n" + longBody,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nhi",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 413 No\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
	} {
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		got := exchangeWith(text, method)
		if !got.isOK {
			return
		}
		in := bytes.NewReader(text)
		referenceReader := bufio.NewReader(in)
		var resp *http.Response
		var err error
		for resp, err = http.ReadResponse(referenceReader, &http.Request{Method: method}); err == nil && resp.StatusCode < 200; {
			resp, err = http.ReadResponse(referenceReader, &http.Request{Method: method})
		}
		if err != nil {
			t.Fatalf("the client accepted a response with status %d that net/http rejects: %v", got.status, err)
		}
		want, err := io.ReadAll(resp.Body)
		if err != nil || got.status != resp.StatusCode || !bytes.Equal(got.body, want) {
			t.Fatalf("read status %d with %d bytes, net/http: status %d with %d bytes, error %v",
				got.status, len(got.body), resp.StatusCode, len(want), err)
		}
		if rest := in.Len() + referenceReader.Buffered(); got.isReusable && (rest != 0 || got.unreadBytes != 0) {
			t.Fatalf("the connection is reusable with %d bytes unread (net/http: %d), want 0", got.unreadBytes, rest)
		}
	})
}

// A streaming request must be forwarded with exactly the body that was received, and without forbidden trailers.
func FuzzRequestBodyIsForwardedUnchanged(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 2\r\n\r\nhi",
		"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1\r\na\r\n0\r\nX-T: v\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 4\r\nHost: x\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n7fffffffffffffff\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		"Content-Length: 5\r\n\r\nhi",
		"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\nX-T: a\r\nX-T: b\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		readRequest := func() (*http.Request, error) {
			head := []byte("POST /x HTTP/1.1\r\nHost: h\r\n")
			return http.ReadRequest(bufio.NewReader(bytes.NewReader(append(head, text...))))
		}
		received, err := readRequest()
		if err != nil || received.ContentLength == 0 && len(received.TransferEncoding) == 0 {
			return
		}
		var want bytes.Buffer
		_, bodyErr := io.Copy(&want, received.Body)
		received, _ = readRequest()
		s, c := newScriptedConn(nil)
		pool := body.NewMemoryPool(8 * body.BufferSize)
		upload, err := body.NewUpload(t.Context(), pool, body.Source{
			Body:            received.Body,
			SetReadDeadline: func(time.Time) error { return nil },
			Size:            received.ContentLength,
			MaxBytes:        1 << 20,
			Trailer:         func() http.Header { return received.Trailer },
			MinimumRate:     body.MinimumRate{IdleTimeout: time.Minute},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer upload.Close(0, 0)
		req := &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Upload: upload}
		reader, _ := upload.NewReader()
		client := New(Options{MinimumRate: body.MinimumRate{IdleTimeout: time.Minute}})
		sender := newBodySender(&exchange{client: client, conn: c, request: req}, reader)
		sender.run(req.encodeHead(context.Background()))
		forwarded, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(s.out.Bytes())))
		if err != nil {
			t.Fatalf("parsing the forwarded request %q: %v", s.out.String(), err)
		}
		got, err := io.ReadAll(forwarded.Body)
		if bodyErr != nil {
			if sender.isSent || err == nil && !errors.Is(bodyErr, io.EOF) {
				t.Fatalf("a broken body (%v) was forwarded as a complete one: %q", bodyErr, s.out.String())
			}
			return
		}
		if err != nil || !sender.isSent || !bytes.Equal(got, want.Bytes()) || forwarded.ContentLength != received.ContentLength {
			t.Fatalf("forwarded %d bytes of %d with length %d, want length %d; error %v, sent completely %v",
				len(got), want.Len(), forwarded.ContentLength, received.ContentLength, err, sender.isSent)
		}
		for name := range forwarded.Trailer {
			if len(forwardableTrailers(http.Header{name: {""}})) == 0 {
				t.Fatalf("the forbidden trailer %s was forwarded", name)
			}
		}
	})
}
