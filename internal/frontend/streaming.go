package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/upstream"
)

// What is still read of a caller that was answered before its body's end, as net/http does for handlers that leave a body
// unread: a close on bytes that nobody read could take the answer with it.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// isStreaming tells whether a request's body flows. One whose caller waits for a word before it sends it does at any length:
// the word is the endpoint's.
func (s *Server) isStreaming(r *http.Request) bool {
	return s.options.Pool != nil && r.URL.Path != healthPath && (r.ContentLength < 0 || r.ContentLength > body.Window || r.ContentLength > 0 && expectsContinue(r))
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// reserveBodyMemory waits its turn for a short body's memory, for as long as its caller would wait for an answer.
func (s *Server) reserveBodyMemory(r *http.Request, arrived time.Time) (giveBack func(), _ *rejection) {
	size := body.Size{Bytes: int(r.ContentLength)}
	if s.options.Pool == nil || size.Bytes <= 0 {
		return func() {}, nil
	}
	switch err := s.options.Pool.Take(expiredContext, size); {
	case errors.Is(err, expiredContext.Err()):
		if bad := s.waitForBodyMemory(r, arrived, size); bad != nil {
			return nil, bad
		}
	case err != nil:
		return nil, memoryRejection(err)
	}
	return func() { s.options.Pool.Give(size) }, nil
}

// expiredContext is for what is not to be waited for.
var expiredContext = func() context.Context {
	ctx, end := context.WithCancel(context.Background())
	end()
	return ctx
}()

func (s *Server) waitForBodyMemory(r *http.Request, arrived time.Time, size body.Size) *rejection {
	service := s.routes.acquire()
	defer service.inFlight.Done()
	q, bad := s.parseRequest(service, r, true)
	if bad != nil {
		return bad
	}
	most := time.Now().Add(s.options.BodyTimeout)
	if own := s.capAtShutdown(arrived.Add(q.timeout - deadlineMargin)); own.Before(most) {
		most = own
	}
	ctx, cancel := context.WithDeadline(r.Context(), most)
	defer cancel()
	if err := s.options.Pool.Take(ctx, size); err != nil {
		return memoryRejection(err)
	}
	return nil
}

// memoryRejection turns away a request whose body can't be held.
func memoryRejection(err error) *rejection {
	if errors.Is(err, body.ErrNever) {
		return newRejection(http.StatusRequestEntityTooLarge, "%w", err)
	}
	return newShedRejection("no memory for the body was free in time")
}

// newShedRejection promises that nothing has run, and says when to return.
func newShedRejection(why string) *rejection {
	b := newRejection(statusShed, "%s", why)
	b.retryAfter = time.Second
	return b
}

// bodyRejection is why a body could not be taken to its end.
func bodyRejection(err error) *rejection {
	switch {
	case errors.Is(err, body.ErrTooLong):
		return newRejection(http.StatusRequestEntityTooLarge, "%w", body.ErrTooLong)
	case errors.Is(err, body.ErrSlow):
		return newRejection(http.StatusRequestTimeout, "%w", body.ErrSlow)
	}
	return newRejection(http.StatusBadRequest, "%w", body.ErrBroken)
}

// serveStreaming serves a request whose body may flow. Until its beginning has come it reaches nobody.
func (s *Server) serveStreaming(w *responseWriter, r *http.Request, arrived time.Time) {
	// Whoever stands before this daemon may have gone by a Content-Length beside the chunks, which net/http drops: what
	// follows could be a part of the body to them (RFC 9112, 6.1).
	w.mustClose = r.ContentLength < 0
	service := s.routes.acquire()
	defer service.inFlight.Done()
	q, bad := s.parseRequest(service, r, true)
	if bad != nil {
		s.rejectInvalid(w, bad)
		return
	}
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		s.rejectInvalid(w, newRejection(http.StatusBadRequest, "%w", err))
		return
	}
	wait, cancel := context.WithDeadline(r.Context(), s.capAtShutdown(arrived.Add(q.timeout-deadlineMargin)))
	defer context.AfterFunc(s.streamContext, cancel)()
	u, err := body.NewUpload(wait, s.options.Pool, body.Source{Body: r.Body, Deadline: control.SetReadDeadline, Size: r.ContentLength, Most: s.options.Body,
		Trailer: func() http.Header { return r.Trailer }, Expects: expectsContinue(r), Pace: s.options.Pace})
	cancel()
	if err != nil {
		q.reject(w, memoryRejection(err))
		return
	}
	w.upload = u
	defer func() {
		if w.wroteHeader && !u.Whole() {
			_ = control.Flush() // the answer is not to wait; where there is none net/http would make one up
		}
		u.Close(lingerTime, lingerBytes)
	}()
	whole := false
	if !u.Expects {
		unhurt := context.AfterFunc(s.streamContext, u.Stop)
		whole, err = u.Fill()
		switch unhurt(); {
		case err != nil && s.streamContext.Err() != nil:
			q.reject(w, newShedRejection("the daemon is about to end"))
			return
		case err != nil:
			s.rejectInvalid(w, bodyRejection(err))
			return
		}
	}
	if whole && u.Trailer() == nil {
		q.call.Message.Body = bytes.Clone(u.Beginning())
		s.setDeadline(q, s.deadlineStart(q, arrived))
	} else {
		s.setStreaming(q, u, s.deadlineStart(q, arrived))
	}
	s.dispatch(w, r, q)
}

// deadlineStart is when the time of a request begins whose body's beginning has just come.
func (s *Server) deadlineStart(q *routedRequest, arrived time.Time) time.Time {
	if q.target.Class.DeadlineAll {
		return arrived
	}
	return time.Now()
}

// setStreaming makes a request one whose body flows, and says what its deadline rules: what waits, or all.
func (s *Server) setStreaming(q *routedRequest, u *body.Upload, from time.Time) {
	s.setDeadline(q, from)
	c := q.call
	c.Message.Upload, c.Flow = u, c.Deadline
	if !q.target.Class.DeadlineAll {
		c.Flow = max(c.Deadline, q.target.Pool.At(s.capAtShutdown(from.Add(q.target.Class.FlowMost))))
		c.Patience, c.Message.Patience = q.timeout, q.timeout
	}
}

// streamResponse passes an answer on as it comes. One that breaks is broken for the caller, too: its connection ends short of the
// length, or without the last chunk (RFC 9112, 8).
func (s *Server) streamResponse(w *responseWriter, r *http.Request, q *routedRequest, a upstream.Response) {
	err := upstream.ErrClientGone
	defer func() { a.Stream.Close(err) }()
	for _, ctx := range []context.Context{r.Context(), s.streamContext} {
		defer context.AfterFunc(ctx, a.Stream.Abort)()
	}
	most := q.target.Class.FlowMost
	if q.target.Class.DeadlineAll {
		most = q.call.Deadline - q.target.Pool.Now()
	}
	defer time.AfterFunc(most, a.Stream.Abort).Stop()
	meter := body.NewMeter(s.options.Pace)
	setPace(r, &meter)
	defer setPace(r, nil)

	h := w.Header()
	s.copyResponseHeader(h, a.Header)
	if a.Stream.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Stream.Length, 10))
	}
	w.WriteHeader(a.Status)
	control := http.NewResponseController(w)
	spliced, _ := w.ResponseWriter.(io.ReaderFrom)
	if control.Flush() != nil { // the head is not to wait for what may be slow
		panic(http.ErrAbortHandler)
	}
	for {
		part, next := a.Stream.Next()
		if errors.Is(next, io.EOF) {
			break
		}
		if next != nil {
			err = next
			panic(http.ErrAbortHandler)
		}
		if _, e := w.Write(part); e != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		for n := int64(1); a.Stream.Length >= 0 && spliced != nil && n > 0; {
			var e error
			if n, e = spliced.ReadFrom(splicedReader{nil, a.Stream}); e != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}
	for name, values := range a.Stream.Trailer() {
		h[http.TrailerPrefix+name] = values
	}
	err = control.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // for the last chunk, which net/http writes
}
