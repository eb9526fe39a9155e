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

// bodyMost is how much of an answer is read: more than any that a request is answered with on purpose.
const bodyMost = 64 << 20

// HTTP sends requests over HTTP/1.1. NewHTTP makes one.
type HTTP struct {
	request func(n int64) *http.Request
	client  *http.Transport
}

// NewHTTP makes a sender that keeps up to as many connections as given. request makes the n-th request; dial is the
// network, nil: the machine's.
func NewHTTP(request func(n int64) *http.Request, connections int, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *HTTP {
	return &HTTP{request: request, client: &http.Transport{DialContext: dial, MaxIdleConns: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: 1 << 20}}
}

// Close ends the connections that are kept.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Simple gives requests that are all alike but for the number, which takes the place of "{n}" in the URL.
func Simple(method, url string, header http.Header, body []byte) (func(n int64) *http.Request, error) {
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
	if _, err := makeRequest(0); err != nil { // numbers change nothing in what is legal
		return nil, err
	}
	return func(n int64) *http.Request {
		r, _ := makeRequest(n)
		return r
	}, nil
}

// Send implements Sender. Its own time to write is that at which the request's head was handed to the connection.
func (h *HTTP) Send(ctx context.Context, n int64) (a Response) {
	// The transport calls these from goroutines of its own, also after it has returned.
	var connections atomic.Int32
	var wrote atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
		WroteHeaders: func() {
			now := time.Now()
			wrote.CompareAndSwap(nil, &now)
		},
	})
	status, err := h.exchange(h.request(n).WithContext(ctx))
	if at := wrote.Load(); at != nil {
		a.Wrote = *at
	}
	a.Status, a.Resent = status, connections.Load() > 1
	if err != nil {
		a.Status, a.Failed = 0, why(ctx, err, int(connections.Load()))
	}
	return a
}

func (h *HTTP) exchange(r *http.Request) (status int, err error) {
	resp, err := h.client.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, bodyMost))
	return resp.StatusCode, err
}

// why puts a failure into one of a few words.
func why(ctx context.Context, err error, connections int) string {
	var timeout net.Error
	switch {
	case ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout():
		return FailedTimeout
	case connections == 0:
		return FailedDial
	}
	return FailedBroken
}
