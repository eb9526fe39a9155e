package fake

import (
	"net/http"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// NextTier makes a node's calls to the next tier of nodes. It must be safe for concurrent use.
type NextTier interface {
	// Call makes one call on behalf of a request of the given class, with the request's idempotency key, and reports whether the
	// call was served. job is the work of the call.
	Call(class int, key string, job *Job) bool
}

// duplicateWorkDivisor divides the work of a request to get the work of its duplicate, for which a node only looks up the
// idempotency key.
const duplicateWorkDivisor = 20

// recordAttemptReceived records e, an AttemptReceived event, and reports true. If the incarnation has stopped, it reports
// false without recording e: NodeStopped was recorded already, so nothing would end the attempt in the timeline.
func (n *Node) recordAttemptReceived(inc *incarnation, e invariant.Event) bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if isClosed(inc.done) {
		return false
	}
	n.recorder.Add(e)
	return true
}

// startRequest records that the node received a request and starts a goroutine that responds to it, so that serveConnection can
// notice meanwhile if the client closes the connection. It reports whether serveConnection must continue to read from the
// connection.
func (n *Node) startRequest(c *nodeConnection, received receivedRequest) bool {
	request, ok := n.registry.lookup(received.id)
	if !ok {
		if n.recordAttemptReceived(c.incarnation, invariant.Event{Kind: invariant.AttemptReceived, Node: n.ID,
			Request: received.id, FirstByteAt: received.firstByteAt}) {
			writeResponse(c, http.StatusBadRequest, "", "")
		}
		return false
	}
	work := request.job.Work.Seconds()
	if !n.recordAttemptReceived(c.incarnation, invariant.Event{Kind: invariant.AttemptReceived, Node: n.ID,
		Request: received.id, FirstByteAt: received.firstByteAt, Work: work, Cell: n.Cell}) {
		return false
	}
	n.recordColdWork(c.incarnation, work)
	if n.drawFault(&n.faults.hangFraction) {
		return true // the hang fault hits the request: no response is ever written
	}
	n.mu.Lock()
	isRejected := c.isExcess || n.isDraining
	n.mu.Unlock()
	c.incarnation.inFlight.Add(1)
	go func() {
		defer func() {
			n.startIdleTimeout(c)
			received.staysOpen <- !c.isExcess
			if c.isExcess {
				c.Close()
			}
		}()
		defer c.incarnation.inFlight.Add(-1)
		n.executeOrReject(c, received, request, isRejected)
	}()
	return true
}

// executeOrReject waits for a slot and executes the request. It rejects the request instead if isRejected is set or the queue
// for slots is full.
func (n *Node) executeOrReject(c *nodeConnection, received receivedRequest, request registeredRequest, isRejected bool) {
	c.incarnation.runnable.Add(1)
	hasSlot := !isRejected && c.incarnation.slots.acquire(c.incarnation.done)
	c.incarnation.runnable.Add(-1)
	if hasSlot {
		defer c.incarnation.slots.release()
		n.execute(c, received, request)
		return
	}
	if isClosed(c.incarnation.done) {
		return
	}
	n.recorder.Add(invariant.Event{Kind: invariant.AttemptRejected, Node: n.ID, Request: received.id})
	writeResponse(c, http.StatusServiceUnavailable, "Srv-Declined: 1\r\n", "turned away\n")
}

// execute does a request's work and writes the response. It continues if the client closes the connection, and returns early
// only if the node stops.
func (n *Node) execute(c *nodeConnection, received receivedRequest, request registeredRequest) {
	isDuplicate := request.key != "" && n.classes[request.class].Effect == invariant.IdempotencyKeyed &&
		n.cell.recordKey(request.key, time.Now())
	n.recorder.Add(invariant.Event{Kind: invariant.EffectStarted, Node: n.ID, Request: received.id, IsDuplicate: isDuplicate})
	work, calls := request.job.Work, request.job.Calls
	if isDuplicate {
		work, calls = work/duplicateWorkDivisor, nil
	}
	if received.isFirstOnConnection {
		work += n.HandshakeWork
	}
	if !n.useCore(c.incarnation, work/2) || !sleep(request.job.Wait, c.incarnation.done) {
		return
	}
	isServed := n.callNextTier(request, calls)
	if !n.useCore(c.incarnation, work-work/2) {
		return
	}
	if isServed && n.ErrorRate > 0 && n.random() < n.ErrorRate {
		isServed = false
	}
	isReset := n.drawFault(&n.faults.resetFraction)
	// The event is recorded before the response is written, since the response causes further events.
	n.recorder.Add(invariant.Event{Kind: invariant.AttemptCompleted, Node: n.ID, Request: received.id})
	switch {
	case isReset:
		resetConnection(c.Conn)
	case isServed:
		writeResponse(c, http.StatusOK, "", received.id+" "+n.ID+"\n")
	default:
		writeResponse(c, http.StatusInternalServerError, "", "failed\n")
	}
}

// callNextTier makes a request's calls to the next tier one after another until one fails, and reports whether all were
// served.
func (n *Node) callNextTier(request registeredRequest, calls []*Job) bool {
	if n.NextTier == nil {
		return true
	}
	for _, call := range calls {
		if !n.NextTier.Call(request.class, request.key, call) {
			return false
		}
	}
	return true
}

// useCore waits for a core and occupies it for the time that the work takes. It reports false if the node stops first.
func (n *Node) useCore(inc *incarnation, work time.Duration) bool {
	inc.runnable.Add(1)
	defer inc.runnable.Add(-1)
	if !inc.cores.acquire(inc.done) {
		return false
	}
	inc.busyCores.Add(1)
	defer func() {
		inc.busyCores.Add(-1)
		inc.cores.release()
	}()
	return sleep(time.Duration(float64(work)/n.coreSpeed(inc)), inc.done)
}

// coreSpeed returns the present speed of each core, reduced by warm-up, by the slowdown fault and by overload.
func (n *Node) coreSpeed(inc *incarnation) float64 {
	speed := n.Speed
	if inc.startedCold {
		speed *= warmCapacityFraction(n.ColdCapacityFraction, n.WarmUpDuration, time.Since(inc.startedAt))
	}
	if factor := loadFloat(&n.faults.slowdown); factor > 0 {
		speed /= factor
	}
	if inc.isOverloaded.Load() {
		speed /= n.Overload.Slowdown
	}
	return speed
}
