package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"tuliprock/balance"
)

// AttemptHooks are called during an attempt. The zero value suits an attempt whose bodies are buffered.
type AttemptHooks struct {
	// IsWanted reports whether the request should still be sent; it should not, for example, if the client has disconnected. It
	// is called on the attempt's goroutine, immediately before the first byte is written. If it returns false, nothing is
	// written. nil means that the request should be sent.
	IsWanted func() bool
	// RequestSent, if not nil, is called after the last byte of a streaming request body was written, on one of the attempt's
	// goroutines.
	RequestSent func()
	// Deadline returns the time at which the request is given up if no response was handed over; the zero time means that it is not known.
	// nil means the end of the attempt's context.
	Deadline func() time.Time
	// ResponseStarted is called when a response that is not buffered has begun. If it returns true, the callee owns the response
	// and must close its Stream. nil means that responses must be buffered.
	ResponseStarted func(Response) bool
}

// Reasons why an attempt writes nothing, though its endpoint has not failed.
var (
	errUnknownEndpoint = errors.New("endpoint has no known address")
	errConnectionLimit = errors.New("connection limit is reached")
	errNotAccepting    = errors.New("endpoint accepts no requests")
	errNotWanted       = errors.New("request is no longer wanted")
	errPastDeadline    = errors.New("deadline passed before anything was sent")
)

// localFailures are errors that do not count against the endpoint.
var localFailures = []error{errUnknownEndpoint, errConnectionLimit, errNotAccepting, errPastDeadline, errNotWanted,
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL}

// Attempt sends a request to an endpoint once. It returns the attempt's result, whether the attempt used a connection that had been
// idle, and the endpoint's response if there is one. When ctx ends, Attempt closes the connection before it returns, so that this
// attempt and a later one are never in flight at the same time. After AttemptHooks.ResponseStarted has accepted a response, ctx has
// no effect any more, and Attempt returns when the response's Stream is closed.
func (cl *Client) Attempt(
	ctx context.Context, id string, req *Request, hooks AttemptHooks,
) (result balance.Result, usedIdle bool, response Response) {
	c, head, err := cl.acquire(ctx, id, req)
	// While acquire dialed or waited for the reuse delay, the endpoint may have stopped accepting requests, the deadline may have
	// passed, and the request may have become unwanted.
	switch {
	case err != nil:
	case !cl.endpointAccepts(id, c):
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
		return unlessCanceled(ctx, nothingWrittenResult(err)), false, Response{}
	}
	usedIdle = !c.idleSince.IsZero()
	x := &exchange{client: cl, conn: c, request: req, hooks: hooks, detachContext: context.AfterFunc(ctx, func() { c.Close() })}
	o := x.run(ctx, head)
	if o.isReusable && (x.isHandedOver.Load() || x.detachContext()) {
		cl.release(c, true)
	} else {
		cl.discard(c)
	}
	return o.result, usedIdle, o.response
}

// deadline returns the time at which the exchange's request is given up; the zero time means that it is not known.
func (x *exchange) deadline(ctx context.Context) time.Time {
	if x.hooks.Deadline != nil {
		return x.hooks.Deadline()
	}
	deadline, _ := ctx.Deadline()
	return deadline
}

// isPastDeadline reports whether an attempt's deadline has passed. It compares the deadline with the clock, since ctx may not have
// ended yet: if the process was suspended while the attempt waited for a connection, the attempt can continue before the timer
// that cancels ctx fires.
func isPastDeadline(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// nothingWrittenResult returns the result of an attempt that wrote nothing because of err.
func nothingWrittenResult(err error) balance.Result {
	for _, localFailure := range localFailures {
		if errors.Is(err, localFailure) {
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
	// detachContext prevents the end of the attempt's context from closing the connection. It returns false if the context had
	// already ended.
	detachContext func() bool
	isHandedOver  atomic.Bool // whether AttemptHooks.ResponseStarted has accepted the response
}

// outcome is how an exchange ended.
type outcome struct {
	result     balance.Result
	response   Response
	isReusable bool // whether the connection may carry another exchange
}

// run writes the request, whose encoded head is given, and reads the response.
func (x *exchange) run(ctx context.Context, head net.Buffers) outcome {
	if x.request.Upload != nil {
		return x.runUpload(ctx, head)
	}
	parts := head
	if len(x.request.Body) > 0 {
		parts = append(parts, x.request.Body)
	}
	length := buffersLength(parts)
	// If RequestStart is StartsWithLastByte, the endpoint has not run a request that was not written completely. If it is
	// StartsWithHead, the endpoint may have run the request if any byte was written.
	if n, _ := parts.WriteTo(x.conn.Conn); n < length {
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

// notifySent calls Options.OnRequestSent after the request's last byte was written.
func (x *exchange) notifySent() {
	if x.client.options.OnRequestSent != nil {
		x.client.options.OnRequestSent()
	}
}

// failedResponseResult returns the result of an attempt whose request was written completely, but whose response could not be read
// because of err. It is Reset only if the connection broke, which may mean that the endpoint is down. An endpoint that sent a
// malformed response is running.
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

// isConnectionBreak reports whether err, the error of a read, means that the endpoint closed or reset the connection.
func isConnectionBreak(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
