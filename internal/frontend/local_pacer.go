package frontend

import (
	"net/http"
	"time"
)

// minLocalSpacing is the minimum time on a connection between a response that needed no endpoint and the next request. Requests that are
// sent at full speed and answered without waiting for anything keep the only processor busy: the runtime then looks for received
// bytes of other connections only every 10 ms, for each step of their requests.
const minLocalSpacing = time.Millisecond

// localPacer limits how fast the requests of one connection are answered without an endpoint, so that one client can't keep the
// others waiting. It is used by the goroutine that serves the connection, and by no other.
type localPacer struct {
	lastLocalResponseAt time.Time // when the last response without an endpoint was written; zero: the last response was an endpoint's
}

// await waits until the next request of the connection may be served.
func (p *localPacer) await() {
	if p.lastLocalResponseAt.IsZero() {
		return
	}
	if wait := minLocalSpacing - time.Since(p.lastLocalResponseAt); wait > 0 {
		time.Sleep(wait)
	}
}

// record records that a request was served, and whether its response came from an endpoint.
func (p *localPacer) record(isFromEndpoint bool) {
	p.lastLocalResponseAt = time.Time{}
	if !isFromEndpoint {
		p.lastLocalResponseAt = time.Now()
	}
}

// paceLocalResponses waits until the request may be served. The caller must call the returned function once it is served.
func paceLocalResponses(r *http.Request, w *responseWriter) (recordEnd func()) {
	c := connOf(r)
	if c == nil {
		return func() {}
	}
	c.pacer.await()
	return func() { c.pacer.record(w.isFromEndpoint) }
}
