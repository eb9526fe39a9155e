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

// isLong tells whether a request's body flows. One whose caller waits for a word before it sends it does at any length:
// the word is the endpoint's.
func (s *Server) isLong(r *http.Request) bool {
	return s.o.Pool != nil && r.URL.Path != healthPath && (r.ContentLength < 0 || r.ContentLength > body.Window || r.ContentLength > 0 && expects(r))
}

func expects(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// reserve waits its turn for a short body's memory, for as long as its caller would wait for an answer.
func (s *Server) reserve(r *http.Request, arrived time.Time) (giveBack func(), _ *bad) {
	size := body.Size{Bytes: int(r.ContentLength)}
	if s.o.Pool == nil || size.Bytes <= 0 {
		return func() {}, nil
	}
	switch err := s.o.Pool.Take(noTime, size); {
	case errors.Is(err, noTime.Err()):
		if bad := s.waitForMemory(r, arrived, size); bad != nil {
			return nil, bad
		}
	case err != nil:
		return nil, noMemory(err)
	}
	return func() { s.o.Pool.Give(size) }, nil
}

// noTime is for what is not to be waited for.
var noTime = func() context.Context {
	ctx, end := context.WithCancel(context.Background())
	end()
	return ctx
}()

func (s *Server) waitForMemory(r *http.Request, arrived time.Time, size body.Size) *bad {
	service := s.current.take()
	defer service.inUse.Done()
	q, bad := s.read(service, r, true)
	if bad != nil {
		return bad
	}
	most := time.Now().Add(s.o.BodyTimeout)
	if own := s.inTime(arrived.Add(q.left - wayBack)); own.Before(most) {
		most = own
	}
	ctx, cancel := context.WithDeadline(r.Context(), most)
	defer cancel()
	if err := s.o.Pool.Take(ctx, size); err != nil {
		return noMemory(err)
	}
	return nil
}

// noMemory turns away a request whose body can't be held.
func noMemory(err error) *bad {
	if errors.Is(err, body.ErrNever) {
		return refusal(http.StatusRequestEntityTooLarge, "%w", err)
	}
	return refused("no memory for the body was free in time")
}

// refused promises that nothing has run, and says when to return.
func refused(why string) *bad {
	b := refusal(statusRefused, "%s", why)
	b.retryAfter = time.Second
	return b
}

// broken is why a body could not be taken to its end.
func broken(err error) *bad {
	switch {
	case errors.Is(err, body.ErrTooLong):
		return refusal(http.StatusRequestEntityTooLarge, "%w", body.ErrTooLong)
	case errors.Is(err, body.ErrSlow):
		return refusal(http.StatusRequestTimeout, "%w", body.ErrSlow)
	}
	return refusal(http.StatusBadRequest, "%w", body.ErrBroken)
}

// serveLong serves a request whose body may flow. Until its beginning has come it reaches nobody.
func (s *Server) serveLong(w *closing, r *http.Request, arrived time.Time) {
	// Whoever stands before this daemon may have gone by a Content-Length beside the chunks, which net/http drops: what
	// follows could be a part of the body to them (RFC 9112, 6.1).
	w.always = r.ContentLength < 0
	service := s.current.take()
	defer service.inUse.Done()
	q, bad := s.read(service, r, true)
	if bad != nil {
		s.reject(w, bad)
		return
	}
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		s.reject(w, refusal(http.StatusBadRequest, "%w", err))
		return
	}
	wait, cancel := context.WithDeadline(r.Context(), s.inTime(arrived.Add(q.left-wayBack)))
	defer context.AfterFunc(s.flowing, cancel)()
	u, err := body.NewUpload(wait, s.o.Pool, body.Source{Body: r.Body, Deadline: control.SetReadDeadline, Size: r.ContentLength, Most: s.o.Body,
		Trailer: func() http.Header { return r.Trailer }, Expects: expects(r), Pace: s.o.Pace})
	cancel()
	if err != nil {
		q.turnAway(w, noMemory(err))
		return
	}
	w.upload = u
	defer func() {
		if w.told && !u.Whole() {
			_ = control.Flush() // the answer is not to wait; where there is none net/http would make one up
		}
		u.Close(lingerTime, lingerBytes)
	}()
	whole := false
	if !u.Expects {
		unhurt := context.AfterFunc(s.flowing, u.Stop)
		whole, err = u.Fill()
		switch unhurt(); {
		case err != nil && s.flowing.Err() != nil:
			q.turnAway(w, refused("the daemon is about to end"))
			return
		case err != nil:
			s.reject(w, broken(err))
			return
		}
	}
	if whole && u.Trailer() == nil {
		q.call.Message.Body = bytes.Clone(u.Beginning())
		s.due(q, s.from(q, arrived))
	} else {
		s.flows(q, u, s.from(q, arrived))
	}
	s.ask(w, r, q)
}

// from is when the time of a request begins whose body's beginning has just come.
func (s *Server) from(q *asked, arrived time.Time) time.Time {
	if q.target.Class.DeadlineAll {
		return arrived
	}
	return time.Now()
}

// flows makes a request one whose body flows, and says what its deadline rules: what waits, or all.
func (s *Server) flows(q *asked, u *body.Upload, from time.Time) {
	s.due(q, from)
	c := q.call
	c.Message.Upload, c.Flow = u, c.Deadline
	if !q.target.Class.DeadlineAll {
		c.Flow = max(c.Deadline, q.target.Pool.At(s.inTime(from.Add(q.target.Class.FlowMost))))
		c.Patience, c.Message.Patience = q.left, q.left
	}
}

// pass passes an answer on as it comes. One that breaks is broken for the caller, too: its connection ends short of the
// length, or without the last chunk (RFC 9112, 8).
func (s *Server) pass(w *closing, r *http.Request, q *asked, a upstream.Response) {
	err := upstream.ErrClientGone
	defer func() { a.Stream.Close(err) }()
	for _, ctx := range []context.Context{r.Context(), s.flowing} {
		defer context.AfterFunc(ctx, a.Stream.Abort)()
	}
	most := q.target.Class.FlowMost
	if q.target.Class.DeadlineAll {
		most = q.call.Deadline - q.target.Pool.Now()
	}
	defer time.AfterFunc(most, a.Stream.Abort).Stop()
	meter := body.NewMeter(s.o.Pace)
	paceOf(r, &meter)
	defer paceOf(r, nil)

	h := w.Header()
	s.copyHeader(h, a.Header)
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
			if n, e = spliced.ReadFrom(splice{nil, a.Stream}); e != nil {
				panic(http.ErrAbortHandler)
			}
		}
	}
	for name, values := range a.Stream.Trailer() {
		h[http.TrailerPrefix+name] = values
	}
	err = control.SetWriteDeadline(time.Now().Add(s.o.WriteTimeout)) // for the last chunk, which net/http writes
}
