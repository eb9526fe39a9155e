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
	// maxBufferedBody is the maximum length in bytes of a response's body that is buffered.
	maxBufferedBody = body.BufferSize
	// bufferedResponseTimeout is the time from a buffered response's first byte to its last, unless Options.BufferedResponseTimeout is
	// longer.
	bufferedResponseTimeout = 500 * time.Millisecond
	maxInterimResponses     = 8 // 1xx, before the final response

	declinedHeader = "Srv-Declined" // of an endpoint that is full
)

// errMalformed is a response that can't be what the endpoint made for the request.
var errMalformed = errors.New("malformed response")

// Response is an endpoint's response, buffered completely or as a stream.
type Response struct {
	Status int
	Header http.Header // as it was received
	Body   []byte
	Stream *Stream // the body in place of Body, if it streams
}

// readFinalHead reads up to and including the head of the final response. onInterim, if not nil, is called with the
// status of each interim response. The final response must follow its first byte at once, since a malformed one may
// never end while its connection stays open.
func (x *exchange) readFinalHead(onInterim func(status int)) (*http.Response, error) {
	c := x.conn
	c.byteLimit.N = maxHeads + maxBufferedBody
	for range maxInterimResponses {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(x.client.bufferedResponseLimit())); err != nil {
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
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", errMalformed, maxInterimResponses-1)
}

// bufferedResponseLimit is how long a buffered response may take from its first byte to its last.
func (cl *Client) bufferedResponseLimit() time.Duration {
	return max(bufferedResponseTimeout, cl.options.BufferedResponseTimeout)
}

// checkFraming rejects a response by its head. A body without a length ends with its connection, if the head says so
// (RFC 9112, 6.3). If it does not say so, the body could end early without a sign of that.
func (x *exchange) checkFraming(resp *http.Response) error {
	limit := x.client.options.MaxResponseBody
	switch {
	case hasNoBody(x.request.Method, resp):
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !x.conn.closesAfterResponse:
		return fmt.Errorf("%w: no length", errMalformed)
	case resp.ContentLength > maxBufferedBody && !x.isStreaming(resp), limit > 0 && resp.ContentLength > limit:
		return fmt.Errorf("%w: body of %d bytes is too long", errMalformed, resp.ContentLength)
	}
	return nil
}

// readResponse reads what follows the final response's head and classifies the response.
func (x *exchange) readResponse(ctx context.Context, resp *http.Response) outcome {
	if x.isStreaming(resp) {
		return x.streamResponse(ctx, resp)
	}
	text, err := readBufferedBody(resp)
	if err == nil {
		err = x.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return outcome{result: x.conn.failedResponseResult(ctx, err)}
	}
	return x.classify(resp, text)
}

// readBufferedBody reads a body that is buffered.
func readBufferedBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err == nil && len(text) > maxBufferedBody {
		err = fmt.Errorf("%w: body of more than %d bytes is too long", errMalformed, maxBufferedBody)
	}
	return text, err
}

// classify is the outcome of an exchange with a complete response.
func (x *exchange) classify(resp *http.Response, text []byte) outcome {
	isReusable := x.isReusableAfter(resp)
	response := Response{Status: resp.StatusCode, Header: resp.Header, Body: text}
	switch {
	case x.client.isAcceptable(resp.StatusCode):
		return outcome{balance.OK, response, isReusable}
	case isUnavailable(resp.StatusCode) && resp.Header.Get(declinedHeader) == "1":
		return outcome{balance.Rejected, Response{}, isReusable}
	case x.client.options.OnlyOK || promisesNotRun(resp.StatusCode):
		return outcome{balance.ErrorResponse, Response{}, isReusable}
	}
	return outcome{balance.ErrorResponse, response, isReusable}
}

// isReusableAfter reports whether the connection may carry another exchange after a response that was read completely.
func (x *exchange) isReusableAfter(resp *http.Response) bool {
	return !resp.Close && x.conn.reader.Buffered() == 0
}

// isAcceptable reports whether a status is what the endpoint made of the request, and not a failure of its own.
func (cl *Client) isAcceptable(status int) bool {
	return status == http.StatusOK || !cl.options.OnlyOK && status < http.StatusInternalServerError && !promisesNotRun(status)
}

// promisesNotRun reports whether a client would take the status for a promise that its request has not run. One
// endpoint can't promise that, since an attempt at another may have run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func isUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func hasNoBody(method string, resp *http.Response) bool {
	return method == http.MethodHead || resp.Body == http.NoBody
}
