package frontend

import (
	"net/http"
	"time"

	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
)

// dispatch submits a request to its pool's event loop and writes the response, unless the client has disconnected. The metrics count
// the request as active from the call of dispatch to its return.
func (s *Server) dispatch(w *responseWriter, r *http.Request, request *routedRequest) {
	outcome := metrics.Failed // outcome of a request without a reply from the event loop; overwritten if a reply is written
	request.target.Class.Metrics.Begin()
	defer func() { request.target.Class.Metrics.End(outcome) }()
	pool, call := request.target.Loop, request.call
	call.IsClientConnected = func() bool { return isClientConnected(r) }
	pool.Post(func(now time.Duration) { pool.Submit(now, call) })
	reply, hasReply := s.awaitReply(r, request)
	if hasReply && reply.Verdict != eventloop.ClientGone {
		outcome = s.writeReply(w, r, request, reply)
		return
	}
	s.endWithoutReply(w, r, request, hasReply)
}

// awaitReply waits for the reply to a request. There is no reply if the client disconnects, the request's body cannot be read, or
// the process or the pool ends.
func (s *Server) awaitReply(r *http.Request, request *routedRequest) (reply eventloop.Reply, hasReply bool) {
	var uploadFailed, streamsAborted <-chan struct{}
	shutdownExpired := s.shutdownExpired
	if upload := request.call.HTTPRequest.Upload; upload != nil {
		uploadFailed, streamsAborted, shutdownExpired = upload.Failed(), s.streamContext.Done(), nil
	}
	select {
	case reply = <-request.call.Replies:
		return reply, true
	case <-uploadFailed:
	case <-streamsAborted:
	case <-shutdownExpired:
	case <-r.Context().Done():
	case <-request.target.Loop.Done():
	}
	return withdraw(request)
}

// withdraw tells the event loop that nobody waits for the reply to a request any more. It returns the reply if the loop has sent
// one before it was told.
func withdraw(request *routedRequest) (reply eventloop.Reply, hasReply bool) {
	pool := request.target.Loop
	withdrawn := make(chan bool, 1)
	pool.Post(func(now time.Duration) { withdrawn <- pool.ClientDisconnected(now, request.call) })
	select {
	case <-withdrawn:
	case <-pool.Done():
	}
	select {
	case reply = <-request.call.Replies:
		return reply, true
	default:
		return reply, false
	}
}

// endWithoutReply ends a request for which the event loop has sent no reply or, if isClientGone is true, a reply with the verdict
// ClientGone, which has no response.
func (s *Server) endWithoutReply(w *responseWriter, r *http.Request, request *routedRequest, isClientGone bool) {
	upload, isDisconnected := request.call.HTTPRequest.Upload, isClientGone || r.Context().Err() != nil
	if isClientGone && upload != nil {
		// The kernel reports a disconnect even if bytes that the client sent before are unread. Whether they complete the body is known
		// only after they were read.
		_ = upload.ReadToEnd() // upload.Err keeps the error
	}
	switch {
	case upload != nil && (upload.Err() != nil || isDisconnected && upload.ErrAfterRead() != nil):
		// When reading a body fails, net/http cancels the request's context as it does after a disconnect. The client may still be
		// connected, so it gets a response.
		bodyRejection(upload.Err()).write(w)
	case isDisconnected:
		// The client may have closed only its sending side. It must not get the empty response that net/http would write.
		panic(http.ErrAbortHandler)
	default:
		s.writeReply(w, r, request, eventloop.Reply{Verdict: eventloop.Failed})
	}
}
