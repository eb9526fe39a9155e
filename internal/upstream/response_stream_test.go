package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/internal/body"
)

// testIdleTimeout is how long an endpoint of these tests may be silent within a body.
const testIdleTimeout = time.Minute

// pipeExchange is an exchange over an in-memory connection, so that a test can run in a synctest bubble.
type pipeExchange struct {
	*exchange
	pool     *body.MemoryPool // has memory for one streaming body
	endpoint net.Conn         // the endpoint's end of the connection
}

func newPipeExchange(t *testing.T) *pipeExchange {
	t.Helper()
	ours, endpoint := net.Pipe()
	pace := &paceReader{conn: ours}
	limitedReader := &io.LimitedReader{R: pace}
	pool := body.NewMemoryPool(2 * body.BufferSize)
	return &pipeExchange{
		exchange: &exchange{
			client:        New(Options{BodyMemory: pool, MinimumRate: body.MinimumRate{IdleTimeout: testIdleTimeout}}),
			conn:          &conn{Conn: ours, pace: pace, byteLimit: limitedReader, reader: bufio.NewReaderSize(limitedReader, maxHeadBytes)},
			request:       &Request{Method: http.MethodPost, Target: "/c", Host: "h", Header: http.Header{}},
			detachContext: func() bool { return true },
		},
		pool:     pool,
		endpoint: endpoint,
	}
}

// newTestUpload returns an Upload of a body in memory. The error is that of the pool if its memory is not free.
func newTestUpload(t *testing.T, pool *body.MemoryPool, text []byte) (*body.Upload, error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return body.NewUpload(ctx, pool, body.Source{
		Body:            bytes.NewReader(text),
		SetReadDeadline: func(time.Time) error { return nil },
		Size:            int64(len(text)),
		MaxBytes:        1 << 20,
		MinimumRate:     body.MinimumRate{IdleTimeout: testIdleTimeout},
	})
}

// A response is read into the buffer of its request's upload. If the client leaves, its handler closes the upload while the attempt
// still reads the response. The buffer must not go to another request then, whose body would get a part of that response.
func TestResponseIsNotReadIntoBodyOfAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newPipeExchange(t)
		upload, err := newTestUpload(t, x.pool, make([]byte, 1000))
		if err != nil {
			t.Fatal(err)
		}
		x.request.Upload = upload
		x.hooks.ResponseStarted = func(Response) bool { return false }
		attemptEnded := make(chan struct{})
		go func() {
			defer close(attemptEnded)
			x.run(t.Context(), x.request.encodeHead(t.Context()))
		}()
		received, err := http.ReadRequest(bufio.NewReader(x.endpoint))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, received.Body)
		_, _ = io.WriteString(x.endpoint, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		synctest.Wait() // the attempt reads the response's body
		upload.Close(0, 0)

		text := bytes.Repeat([]byte{'b'}, 1000)
		other, otherErr := newTestUpload(t, x.pool, text)
		if otherErr == nil {
			_, _ = other.ReadPrefix()
		}
		_, _ = io.WriteString(x.endpoint, "5\r\nreply\r\n0\r\n\r\n")
		<-attemptEnded
		if otherErr != nil { // the memory is free once the attempt has ended
			if other, err = newTestUpload(t, x.pool, text); err != nil {
				t.Fatalf("no buffer after the end of the attempt: %v", err)
			}
			_, _ = other.ReadPrefix()
		}
		if !bytes.Equal(other.Prefix(), text) {
			t.Errorf("the body of another request begins with %q, want %q", other.Prefix()[:5], text[:5])
		}
		other.Close(0, 0)
		if inUse, _ := x.pool.InUse(); inUse != 0 {
			t.Errorf("%d bytes of the pool are in use, want 0", inUse)
		}
	})
}

// startStreaming lets the endpoint begin a streaming response and then fall silent. It returns the stream once it is handed over, and
// a channel that is closed when the exchange has ended.
func (x *pipeExchange) startStreaming(t *testing.T) (stream *Stream, ended <-chan struct{}) {
	t.Helper()
	started, exchangeEnded := make(chan *Stream, 1), make(chan struct{})
	x.hooks.ResponseStarted = func(response Response) bool {
		started <- response.Stream
		return true
	}
	go func() {
		defer close(exchangeEnded)
		x.run(t.Context(), x.request.encodeHead(t.Context()))
	}()
	if _, err := http.ReadRequest(bufio.NewReader(x.endpoint)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(x.endpoint, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nreply\r\n")
	return <-started, exchangeEnded
}

// A client may leave right after a response was handed over, while the attempt still waits for more of the response. The attempt
// must not go on waiting for the endpoint, since it holds a connection and memory.
func TestAttemptEndsWhenItsStreamIsClosedDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newPipeExchange(t)
		stream, ended := x.startStreaming(t)
		closedAt := time.Now()
		stream.Close(ErrClientGone)
		<-ended
		if waited := time.Since(closedAt); waited > 0 {
			t.Errorf("the attempt went on for %v after its stream was closed, want it to end at once", waited)
		}
		if inUse, _ := x.pool.InUse(); inUse != 0 {
			t.Errorf("%d bytes of the pool are in use, want 0", inUse)
		}
	})
}

// The timer or context that aborts a stream may fire just before the stream is closed, and abort it after the connection has gone
// to another request. That request must not lose its connection.
func TestAbortAfterCloseKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newPipeExchange(t)
		stream, ended := x.startStreaming(t)
		_, _ = io.WriteString(x.endpoint, "0\r\n\r\n")
		if text, err := readStream(stream); err != nil || string(text) != "reply" {
			t.Errorf("read %q, error %v, want %q", text, err, "reply")
		}
		stream.Close(nil)
		<-ended
		stream.Abort()
		if err := x.conn.SetReadDeadline(time.Time{}); err != nil { // fails on a closed connection
			t.Errorf("after Abort: %v, want the connection to be open", err)
		}
	})
}
