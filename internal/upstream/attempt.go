package upstream

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"tuliprock/balance"
)

// AttemptHooks are called during an attempt. The zero value suits an attempt whose bodies are buffered.
type AttemptHooks struct {
	// IsWanted is called last before the first byte is written, on the attempt's goroutine. If it returns false, nothing
	// is written. nil means that the attempt is wanted.
	IsWanted func() bool
	// RequestSent is called, on a goroutine of the attempt, once the last byte of a streaming request body is written.
	RequestSent func()
	// ResponseStarted is called when a response that is not buffered has begun. If it returns true, the response belongs to the
	// callee, who must close its Stream. nil means that responses must be buffered.
	ResponseStarted func(Response) bool
}

// Why an attempt writes nothing, though its endpoint has not failed.
var (
	errUnknownEndpoint = errors.New("endpoint has no known address")
	errConnectionLimit = errors.New("connection limit is reached")
	errNotAccepting    = errors.New("endpoint accepts no requests")
	errNotWanted       = errors.New("request is no longer wanted")
	errPastDeadline    = errors.New("deadline passed before anything was sent")
)

// localFailures say nothing of the endpoint.
var localFailures = []error{errUnknownEndpoint, errConnectionLimit, errNotAccepting, errPastDeadline, errNotWanted,
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL}

// Attempt sends a request to an endpoint once and returns how that ended, whether the connection had served before,
// and the endpoint's response if there is one. When ctx ends, the connection is closed before Attempt returns, so
// that no later attempt is in flight together with this one. Once AttemptHooks.ResponseStarted has taken a response, ctx no
// longer counts, and Attempt returns when the response's Stream is closed.
func (cl *Client) Attempt(
	ctx context.Context, id string, m *Request, hooks AttemptHooks,
) (result balance.Result, reused bool, response Response) {
	c, text, err := cl.acquire(ctx, id, m)
	// The endpoint, the deadline and the client may have changed while the connection was dialed or rested.
	switch {
	case err != nil:
	case !cl.isAccepting(id, c):
		cl.discard(c)
		err = errNotAccepting
	case isPastDeadline(ctx):
		cl.discard(c)
		err = errPastDeadline
	case hooks.IsWanted != nil && !hooks.IsWanted():
		cl.release(c, false)
		err = errNotWanted
	}
	if err != nil {
		return unlessCanceled(ctx, noConnectionResult(err)), false, Response{}
	}
	reused = !c.idleSince.IsZero()
	x := &exchange{client: cl, conn: c, request: m, hooks: hooks, stopDeadline: context.AfterFunc(ctx, func() { c.Close() })}
	o := x.run(ctx, text)
	if o.isReusable && (x.isHandedOver.Load() || x.stopDeadline()) {
		cl.release(c, true)
	} else {
		cl.discard(c)
	}
	return o.result, reused, o.response
}

// isPastDeadline reports whether an attempt's deadline has passed, by the clock. In a process that was stopped while a
// connection was dialed or rested, the attempt goes on before the timer fires that would have canceled it.
func isPastDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// noConnectionResult is the result of an attempt that got no connection.
func noConnectionResult(err error) balance.Result {
	for _, local := range localFailures {
		if errors.Is(err, local) {
			return balance.NotSent
		}
	}
	return balance.ConnectFailed
}

// unlessCanceled returns r, or balance.Canceled if the attempt was canceled.
func unlessCanceled(ctx context.Context, r balance.Result) balance.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.Canceled
	}
	return r
}

// exchange is one request and its response on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *Request
	hooks   AttemptHooks
	// stopDeadline keeps the end of the attempt's context from closing the connection; false means that it has.
	stopDeadline func() bool
	isHandedOver atomic.Bool // the response belongs to the callee of AttemptHooks.ResponseStarted
}

// outcome is how an exchange ended. isReusable: the connection may carry another one.
type outcome struct {
	result     balance.Result
	response   Response
	isReusable bool
}

// run writes the request and reads the response.
func (x *exchange) run(ctx context.Context, text []byte) outcome {
	if x.request.Upload != nil {
		return x.runUpload(ctx, text)
	}
	// Endpoints that begin a request with its last byte have not run one that was not written completely. Others may
	// have run it as soon as a byte of it was written.
	if n, _ := x.conn.Write(text); n < len(text) {
		if n > 0 && x.client.options.RequestStart == StartsWithHead {
			return outcome{result: unlessCanceled(ctx, balance.ErrorResponse)}
		}
		return outcome{result: unlessCanceled(ctx, balance.ConnectFailed)}
	}
	x.notifySent()
	resp, err := x.readFinalHead(nil)
	if err != nil {
		return outcome{result: x.conn.failedResponseResult(ctx, err)}
	}
	return x.readResponse(ctx, resp)
}

// notifySent reports that the request's last byte was written.
func (x *exchange) notifySent() {
	if x.client.options.OnRequestSent != nil {
		x.client.options.OnRequestSent()
	}
}

// failedResponseResult is the result of an attempt whose last byte was written and whose response did not come completely. A
// malformed response is an error of an endpoint that runs; only a broken connection may mean that the endpoint is down.
func (c *conn) failedResponseResult(ctx context.Context, err error) balance.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.TimedOut
	case ctx.Err() != nil:
		return balance.Canceled
	case c.byteLimit.N > 0 && isConnectionBreak(err):
		return balance.Reset
	}
	return balance.ErrorResponse
}

// isConnectionBreak reports whether a read failed since the endpoint closed or reset the connection.
func isConnectionBreak(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
