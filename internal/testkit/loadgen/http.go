package loadgen

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// maxBodySize is the highest number of bytes that are read of a response body; the rest of a longer body is ignored. It exceeds
// the size of any body that a load test would request.
const maxBodySize = 64 << 20

// HTTPSender is a Sender that sends HTTP/1.1 requests and reuses idle connections. It is safe for concurrent use.
type HTTPSender struct {
	newRequest func(n int64) *http.Request
	transport  *http.Transport
}

// NewHTTPSender returns a sender that keeps up to maxIdleConnections idle connections open. newRequest makes request number n, counted from 0.
// dial opens connections; if it is nil, they are opened over the network of the operating system.
func NewHTTPSender(newRequest func(n int64) *http.Request, maxIdleConnections int, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTPSender {
	return &HTTPSender{newRequest: newRequest, transport: &http.Transport{DialContext: dial, MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: 1 << 20}}
}

// Close closes all idle connections. Connections with a request in flight stay open.
func (h *HTTPSender) Close() { h.transport.CloseIdleConnections() }

// NewRequestTemplate returns a function for NewHTTPSender whose requests differ only in their number, which replaces each "{n}" in the URL.
func NewRequestTemplate(method, url string, header http.Header, body []byte) (func(n int64) *http.Request, error) {
	makeRequest := func(n int64) (*http.Request, error) {
		r, err := http.NewRequest(method, strings.ReplaceAll(url, "{n}", fmt.Sprint(n)), bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header = header.Clone()
		if r.Header == nil {
			r.Header = http.Header{}
		}
		return r, nil
	}
	if _, err := makeRequest(0); err != nil { // the number does not affect whether a request is valid, so one check is enough
		return nil, err
	}
	return func(n int64) *http.Request {
		r, _ := makeRequest(n)
		return r
	}, nil
}

// Send implements Sender. WrittenAt of the returned response is the instant at which the request's header was written to the connection.
func (h *HTTPSender) Send(ctx context.Context, n int64) (response Response) {
	// The variables that the trace's functions set are atomic, since the transport calls these functions on its own goroutines,
	// possibly after the round trip has returned.
	var connections atomic.Int32 // number of connections used for the request; more than one if the transport sent the request again
	var headerWrittenAt atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
		WroteHeaders: func() {
			now := time.Now()
			headerWrittenAt.CompareAndSwap(nil, &now)
		},
	})
	status, err := h.roundTrip(h.newRequest(n).WithContext(ctx))
	if instant := headerWrittenAt.Load(); instant != nil {
		response.WrittenAt = *instant
	}
	response.Status, response.WasResent = status, connections.Load() > 1
	if err != nil {
		response.Status, response.Failure = 0, classifyFailure(ctx, err, int(connections.Load()))
	}
	return response
}

// roundTrip sends a request and reads the response completely, up to maxBodySize bytes of the body.
func (h *HTTPSender) roundTrip(r *http.Request) (status int, err error) {
	resp, err := h.transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodySize))
	return resp.StatusCode, err
}

// classifyFailure returns the Failure constant for a request that ended with err after it used the given number of connections.
func classifyFailure(ctx context.Context, err error, connections int) string {
	var netErr net.Error
	switch {
	case ctx.Err() != nil || errors.As(err, &netErr) && netErr.Timeout():
		return FailureTimeout
	case connections == 0:
		return FailureNotConnected
	}
	return FailureBrokenOff
}
