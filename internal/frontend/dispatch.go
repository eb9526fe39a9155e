package frontend

import (
	"net/http"
	"time"

	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
)

// dispatch submits a request to its pool's event loop and writes the response, unless the client has disconnected. Only
// here do the metrics count a request as active.
func (s *Server) dispatch(w *responseWriter, r *http.Request, request *routedRequest) {
	outcome := metrics.Failed // unless a response is written
	request.target.Class.Metrics.Begin()
	defer func() { request.target.Class.Metrics.End(outcome) }()
	pool, call := request.target.Pool, request.call
	call.IsClientConnected = func() bool { return isClientConnected(r) }
	pool.Post(func(now time.Duration) { pool.Submit(now, call) })
	reply, isReplied := s.awaitReply(r, request)
	if isReplied && reply.Verdict != eventloop.ClientGone {
		outcome = s.writeReply(w, r, request, reply)
		return
	}
	s.endWithoutReply(w, r, request, isReplied)
}

// awaitReply waits for the reply to a request. There is none if the client has disconnected, the request's body could not
// be read, or the process or the pool ends.
func (s *Server) awaitReply(r *http.Request, request *routedRequest) (reply eventloop.Reply, isReplied bool) {
	var uploadFailed, streamsAborted <-chan struct{}
	shutdownExpired := s.shutdownExpired
	if upload := request.call.Message.Upload; upload != nil {
		uploadFailed, streamsAborted, shutdownExpired = upload.Failed(), s.streamContext.Done(), nil
	}
	select {
	case reply = <-request.call.Replies:
		return reply, true
	case <-uploadFailed:
	case <-streamsAborted:
	case <-shutdownExpired:
	case <-r.Context().Done():
	case <-request.target.Pool.Done():
	}
	return withdraw(request)
}

// withdraw reports to the event loop that nobody waits for a request any more. It returns the reply if there was one before.
func withdraw(request *routedRequest) (reply eventloop.Reply, isReplied bool) {
	pool := request.target.Pool
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

// endWithoutReply ends a request to which there is no reply that can be written. leftByReply means that the event loop's
// reply was that the client has disconnected.
func (s *Server) endWithoutReply(w *responseWriter, r *http.Request, request *routedRequest, leftByReply bool) {
	upload, isDisconnected := request.call.Message.Upload, leftByReply || r.Context().Err() != nil
	if leftByReply && upload != nil { // the kernel has reported the disconnect before what was sent ahead of it was read
		_ = upload.ReadToEnd() // upload.Err keeps the error
	}
	switch {
	case upload != nil && (upload.Err() != nil || isDisconnected && upload.ErrAfterRead() != nil):
		// A body that could not be read looks like a disconnect, too.
		bodyRejection(upload.Err()).write(w)
	case isDisconnected: // the client may still read, and must not get the empty response that net/http would make up
		panic(http.ErrAbortHandler)
	default:
		s.writeReply(w, r, request, eventloop.Reply{Verdict: eventloop.Failed})
	}
}
