package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

const (
	// maxBufferedBodyBytes is the maximum length in bytes of a buffered response's body.
	maxBufferedBodyBytes = body.BufferSize
	// minBufferedResponseTimeout is the minimum of Options.BufferedResponseTimeout: a response that stops is given up early, so that
	// the request can still be retried, and one that its endpoint is still writing is bounded by the request's deadline. It also limits how long a streaming response is
	// held back before it is passed to AttemptHooks.ResponseStarted, and how long a response is awaited after a write of the
	// request has failed.
	minBufferedResponseTimeout = 500 * time.Millisecond
	maxResponseHeads           = 8 // maximum number of heads that an attempt reads, of interim responses (1xx) and the final response together

	declinedHeader = "Srv-Declined" // response header whose value 1 says that the endpoint is at its capacity and has not run the request
)

// errMalformed means that a response violates HTTP, or a limit of this package.
var errMalformed = errors.New("malformed response")

// Response is an endpoint's response, either buffered or streaming.
type Response struct {
	Status int
	Header http.Header // header fields as received
	Body   []byte      // buffered body; nil if Stream is set
	Stream *Stream     // streaming body; nil if the response is buffered
}

// readFinalHead reads the interim responses and the head of the final response. onInterim, if not nil, is called with the status
// of each interim response. From its first byte on each head must come at bufferedResponseRate, since an endpoint that sends a malformed
// head may neither complete it nor close the connection. This limit stays set after the final head.
func (x *exchange) readFinalHead(onInterim func(status int)) (*http.Response, error) {
	c := x.conn
	c.byteLimit.N = maxTotalHeadBytes + maxBufferedBodyBytes
	for range maxResponseHeads {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		if err := c.setMinimumRate(x.client.bufferedResponseRate()); err != nil {
			return nil, err
		}
		resp, err := c.readHead(x.request.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.checkFraming(resp)
		}
		if onInterim != nil {
			onInterim(resp.StatusCode)
		}
		if err := c.setMinimumRate(body.MinimumRate{}); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", errMalformed, maxResponseHeads-1)
}

// bufferedResponseRate returns the minimum rate of a buffered response from its first byte on.
func (cl *Client) bufferedResponseRate() body.MinimumRate {
	return body.MinimumRate{
		IdleTimeout:    max(minBufferedResponseTimeout, cl.options.BufferedResponseTimeout),
		BytesPerSecond: cl.options.MinimumRate.BytesPerSecond,
	}
}

// checkFraming rejects a response whose head announces a body that is too long or whose end can't be recognized. A body without
// a length ends when the connection is closed (RFC 9112, 6.3). Such a body is accepted only if the head has "Connection: close":
// otherwise a connection that broke early could not be told from the end of the body.
func (x *exchange) checkFraming(resp *http.Response) error {
	limit := x.client.options.MaxResponseBody
	switch {
	case hasNoBody(x.request.Method, resp):
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !x.conn.closesAfterResponse:
		return fmt.Errorf("%w: no length", errMalformed)
	case resp.ContentLength > maxBufferedBodyBytes && !x.isStreaming(resp), limit > 0 && resp.ContentLength > limit:
		return fmt.Errorf("%w: body of %d bytes is too long", errMalformed, resp.ContentLength)
	}
	return nil
}

// readResponse reads the body of the final response and returns the outcome of the exchange.
func (x *exchange) readResponse(ctx context.Context, resp *http.Response) outcome {
	if x.isStreaming(resp) {
		return x.streamResponse(ctx, resp)
	}
	content, err := x.readBufferedBody(ctx, resp)
	if errors.Is(err, errNoResponseMemory) {
		return outcome{result: balance.Canceled} // balance.Canceled does not count against the endpoint
	}
	if err == nil {
		err = x.conn.setMinimumRate(body.MinimumRate{})
	}
	if err != nil {
		return outcome{result: x.conn.failedResponseResult(ctx, err)}
	}
	return x.classify(resp, content)
}

// readBufferedBody reads a body of at most maxBufferedBodyBytes to its end. A body of known length takes as much memory as its length.
func (x *exchange) readBufferedBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.Body == http.NoBody { // the length may be that of a response with a body, as after HEAD
		return nil, nil
	}
	if length := resp.ContentLength; length >= 0 && length <= maxBufferedBodyBytes {
		content, err := x.allocate(ctx, int(length))
		if err != nil {
			return nil, err
		}
		x.beginBufferedBody(ctx)
		_, err = io.ReadFull(resp.Body, content)
		return content, err
	}
	x.beginBufferedBody(ctx)
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBodyBytes+1))
	if err == nil && len(content) > maxBufferedBodyBytes {
		err = fmt.Errorf("%w: body of more than %d bytes is too long", errMalformed, maxBufferedBodyBytes)
	}
	return content, err
}

// beginBufferedBody sets how long the endpoint may take for the body of a buffered response: as long as the request's client waits, if
// the request is never retried, and otherwise at bufferedResponseRate, counted from now.
func (x *exchange) beginBufferedBody(ctx context.Context) {
	if deadline := x.deadline(ctx); x.request.NeverRetried && !deadline.IsZero() {
		_ = x.conn.setMinimumRate(body.MinimumRate{}) // these calls fail only on a closed connection, on which the read fails, too
		_ = x.conn.SetReadDeadline(deadline)
		return
	}
	_ = x.conn.setMinimumRate(x.client.bufferedResponseRate())
}

// uncountedResponseBytes is the length of a response's body up to which it does not count in Options.ResponseMemory.
const uncountedResponseBytes = 4 << 10

// errNoResponseMemory means that a response was not read, because no memory for it was free before the attempt ended.
var errNoResponseMemory = errors.New("no memory for the response")

// allocate returns a slice of n bytes for a response's body. It waits until the attempt ends while there is no memory for it.
func (x *exchange) allocate(ctx context.Context, n int) ([]byte, error) {
	pool := x.client.options.ResponseMemory
	if pool == nil || n <= uncountedResponseBytes {
		return make([]byte, n), nil
	}
	if deadline := x.deadline(ctx); !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	content, err := pool.Allocate(ctx, n)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponseMemory, err)
	}
	return content, nil
}

// classify returns the outcome of an exchange whose response was received completely.
func (x *exchange) classify(resp *http.Response, content []byte) outcome {
	isReusable := x.isReusableAfter(resp)
	response := Response{Status: resp.StatusCode, Header: resp.Header, Body: content}
	switch {
	case x.client.isAcceptable(resp.StatusCode):
		return outcome{balance.OK, response, isReusable}
	case statusAllowsDeclinedHeader(resp.StatusCode) && resp.Header.Get(declinedHeader) == "1":
		return outcome{balance.Rejected, Response{}, isReusable}
	case x.client.options.AcceptOnlyStatusOK || promisesNotRun(resp.StatusCode):
		return outcome{balance.ErrorResponse, Response{}, isReusable}
	}
	return outcome{balance.ErrorResponse, response, isReusable}
}

// isReusableAfter reports whether the connection may carry another exchange, after a response that was read completely.
func (x *exchange) isReusableAfter(resp *http.Response) bool {
	return !resp.Close && x.conn.reader.Buffered() == 0
}

// isAcceptable reports whether a status means that the endpoint has processed the request, be it with success or by rejecting it as
// invalid.
func (cl *Client) isAcceptable(status int) bool {
	return status == http.StatusOK || !cl.options.AcceptOnlyStatusOK && status < http.StatusInternalServerError && !promisesNotRun(status)
}

// promisesNotRun reports whether a client would take the status for a promise that its request has not run. Such a response of one
// endpoint must not be forwarded, since an earlier attempt at another endpoint may have run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// statusAllowsDeclinedHeader reports whether declinedHeader has a meaning in a response with the given status. With any other status
// the header is ignored.
func statusAllowsDeclinedHeader(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// hasNoBody reports whether a response to a request with the given method has no body.
func hasNoBody(method string, resp *http.Response) bool {
	return method == http.MethodHead || resp.Body == http.NoBody
}
