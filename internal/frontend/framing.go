package frontend

import "net/http"

// checkFraming rejects a request with the given framing, if that is known, of which two servers could find the end at different positions, and one whose body is too long. It
// guards against request smuggling: bytes of a request's body must never be read as another request. The checks are the same for every
// path, since net/http goes on reading behind any request that does not close its connection.
func (s *Server) checkFraming(r *http.Request, framing headFraming, isKnown bool) *rejection {
	switch {
	case !isKnown:
		return newRejection(http.StatusBadRequest, "the request follows one whose end is not certain")
	case !r.ProtoAtLeast(1, 1) && (r.URL.Path != healthPath || framing.hasTransferEncoding): // net/http ignores Transfer-Encoding in HTTP/1.0, so it could not find a chunked body's end
		return newRejection(http.StatusBadRequest, "HTTP/1.1 is wanted")
	case framing.hasTooManyFields:
		return newRejection(http.StatusRequestHeaderFieldsTooLarge, "the head has more than %d fields", maxHeadFields)
	case framing.hasFoldedLine: // two servers could parse it differently, as one field or as two
		return newRejection(http.StatusBadRequest, "a header line is folded")
	case framing.hasTransferEncoding && s.options.BodyMemory == nil:
		return newRejection(http.StatusLengthRequired, "Transfer-Encoding: a Content-Length is wanted")
	case framing.hasTransferEncoding && s.options.ForwardsUnchanged && !framing.isChunkedOnly():
		// The option ForwardsUnchanged is set where no proxy in front of the daemon has checked the framing, so the daemon must.
		return newRejection(http.StatusBadRequest, "the body may be framed in two ways")
	case r.ContentLength > s.options.MaxBodyBytes:
		return newRejection(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	return nil
}

// takeHeadFraming takes the framing of a request's head from the scanner of its connection. isKnown is false if the head was not
// scanned completely, or the connection was not accepted by a Listener.
func takeHeadFraming(r *http.Request) (framing headFraming, isKnown bool) {
	c := connOf(r)
	if c == nil {
		return headFraming{}, false
	}
	return c.headScanner.take()
}
