package invariant

import (
	"fmt"
	"time"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

var rules = Rules{
	Classes:               []Class{readClass: {"read", Safe, 0}, keyedClass: {"keyed", IdempotencyKeyed, 10 * s}, nonIdempotentClass: {"non-idempotent", NonIdempotent, 0}},
	MaxAttempts:           4,
	Tolerance:             50 * ms,
	DrainGrace:            500 * ms,
	ColdOverloadFactor:    4,
	ColdOverloadWindow:    3 * s,
	ColdOverloadTolerance: 0.1,
	SigtermGrace:          700 * ms,
}

const (
	readClass = iota
	keyedClass
	nonIdempotentClass
)

// timeline is a list of events. Its methods append events and return the longer list.
type timeline []Event

// start appends the event that a sidecar starts.
func (l timeline) start(at time.Duration, sidecar string) timeline {
	return append(l, Event{At: at, Kind: SidecarStarted, Sidecar: sidecar})
}

// request appends the event that a client sends a request to the sidecar named "s". The request's deadline is 2 s after the event.
func (l timeline) request(at time.Duration, id string, class int) timeline {
	return append(l, Event{At: at, Kind: RequestSent, Request: id, Sidecar: "s", Class: class, Deadline: at + 2*s})
}

// attempt appends the event that a node receives the last byte of an attempt, 1 ms after the first byte. The attempt has 0.1 s of work.
func (l timeline) attempt(at time.Duration, id, node string, cell int) timeline {
	return append(l, Event{At: at, FirstByteAt: at - ms, Kind: AttemptReceived, Request: id, Node: node, Cell: cell, Work: 0.1})
}

// end appends an event that ends something: an attempt if node is set, or the request if node is empty. kind says how it ends.
func (l timeline) end(at time.Duration, kind Kind, id, node string) timeline {
	return append(l, Event{At: at, Kind: kind, Request: id, Node: node})
}

// respond appends the event that the client receives a genuine response to a request.
func (l timeline) respond(at time.Duration, id string, status int) timeline {
	return append(l, Event{At: at, Kind: ResponseReceived, Request: id, Status: status, IsGenuine: true})
}

// notify appends the event that the sidecar named "s" is notified of the state of the node named "a".
func (l timeline) notify(at time.Duration, state State) timeline {
	return append(l, Event{At: at, Kind: NodeStateNotified, Sidecar: "s", Node: "a", State: state})
}

// newTimeline returns a timeline that begins with the start of the sidecar named "s".
func newTimeline() timeline { return timeline{}.start(1, "s") }

// timelineCases holds timelines for each rule: one for each fault that the rule guards against, and some that keep the rule but
// come close to breaking it.
var timelineCases = []struct {
	name          string
	rule          int    // number of the rule that the timeline keeps or breaks
	wantViolation string // part of the expected violation's description; empty: the rule must be held
	events        timeline
}{
	{"response after the deadline", 1, "after its time was up",
		newTimeline().request(s, "r", readClass).respond(3*s+51*ms, "r", 200)},
	{"response at the end of the tolerance", 1, "",
		newTimeline().request(s, "r", readClass).respond(3*s+50*ms, "r", 200)},
	{"two responses", 1, "answered 2 times",
		newTimeline().request(s, "r", readClass).respond(2*s, "r", 200).respond(2*s+ms, "r", 200)},
	{"bytes after the response", 1, "more came",
		newTimeline().request(s, "r", readClass).respond(2*s, "r", 200).end(2*s+ms, ExtraBytes, "r", "")},
	{"no response", 1, "no answer", newTimeline().request(s, "r", readClass).end(3*s+150*ms, ResponseOverdue, "r", "")},
	{"no response from a killed sidecar", 1, "",
		append(newTimeline().request(s, "r", readClass), Event{At: 2 * s, Kind: SidecarKilled, Sidecar: "s"}).
			end(4*s, ResponseOverdue, "r", "").request(5*s, "q", readClass).respond(6*s, "q", 200)},
	{"connection lost", 1, "without a whole answer", newTimeline().request(s, "r", readClass).end(2*s, ConnectionLost, "r", "")},
	{"connection lost with a killed sidecar", 1, "",
		append(newTimeline().request(s, "r", readClass), Event{At: 2 * s, Kind: SidecarKilled, Sidecar: "s"}).
			end(2*s+ms, ConnectionLost, "r", "")},
	{"connection lost in a graceful shutdown", 1, "without a whole answer",
		append(newTimeline().request(s, "r", readClass), Event{At: s + 100*ms, Kind: SigtermSent, Sidecar: "s"}).
			end(2*s, ConnectionLost, "r", "")},
	{"accepted after the grace of SIGTERM and killed", 1, "",
		append(newTimeline(), Event{At: s, Kind: SigtermSent, Sidecar: "s"},
			Event{At: 4 * s, Kind: SidecarKilled, Sidecar: "s"}).request(s+800*ms, "r", readClass).end(4*s, ConnectionLost, "r", "")},
	{"accepted within the grace of SIGTERM and killed", 1, "without a whole answer",
		append(newTimeline(), Event{At: s, Kind: SigtermSent, Sidecar: "s"},
			Event{At: 4 * s, Kind: SidecarKilled, Sidecar: "s"}).request(s+700*ms, "r", readClass).end(4*s, ConnectionLost, "r", "")},
	{"accepted after the grace of SIGTERM and lost without a kill", 1, "without a whole answer",
		append(newTimeline(), Event{At: s, Kind: SigtermSent, Sidecar: "s"}).request(s+800*ms, "r", readClass).
			end(2*s, ConnectionLost, "r", "")},
	{"response of another request", 1, "no endpoint made",
		append(newTimeline().request(s, "r", readClass),
			Event{At: 2 * s, Kind: ResponseReceived, Request: "r", Status: 200})},
	{"sidecar crash", 1, "ended by itself",
		append(newTimeline().request(s, "r", readClass).respond(2*s, "r", 200),
			Event{At: 3 * s, Kind: SidecarExited, Sidecar: "s", HasCrashed: true})},
	{"connection closed after its request was read", 1, "first connection was closed",
		newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1).request(s+2*ms, "r", readClass).
			respond(2*s, "r", 200)},
	{"connection closed between requests", 1, "",
		newTimeline().request(s, "r", readClass).request(s+2*ms, "r", readClass).attempt(s+3*ms, "r", "a", 1).
			end(s+9*ms, AttemptCompleted, "r", "a").respond(2*s, "r", 200)},
	{"client left", 1, "", newTimeline().request(s, "r", readClass).end(2*s, ClientDisconnected, "r", "")},

	{"two attempts in flight together", 2, "was out",
		newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1).attempt(s+10*ms, "r", "b", 1).
			end(s+200*ms, AttemptCompleted, "r", "a").end(s+210*ms, AttemptCompleted, "r", "b").respond(s+220*ms, "r", 200)},
	{"attempts in sequence", 2, "",
		newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptAborted, "r", "a").
			attempt(s+10*ms, "r", "b", 1).end(s+20*ms, AttemptCompleted, "r", "b").respond(s+21*ms, "r", 200)},
	{"end of an attempt observed within the tolerance", 2, "",
		newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1).attempt(s+10*ms, "r", "b", 1).
			end(s+60*ms, AttemptAborted, "r", "a").end(s+70*ms, AttemptCompleted, "r", "b").respond(s+80*ms, "r", 200)},
	{"retry after the node died", 2, "",
		append(newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1),
			Event{At: s + 5*ms, Kind: NodeStopped, Node: "a"}).attempt(s+10*ms, "r", "b", 1).end(s+20*ms, AttemptCompleted, "r", "b").
			respond(s+21*ms, "r", 200)},
	{"non-idempotent request retried", 2, "unsafe work sent again",
		newTimeline().request(s, "r", nonIdempotentClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptAborted, "r", "a").
			attempt(s+10*ms, "r", "b", 1).end(s+20*ms, AttemptCompleted, "r", "b").respond(s+21*ms, "r", 200)},
	{"non-idempotent request retried after a rejection", 2, "",
		newTimeline().request(s, "r", nonIdempotentClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptRejected, "r", "a").
			attempt(s+10*ms, "r", "b", 1).end(s+20*ms, AttemptCompleted, "r", "b").respond(s+21*ms, "r", 200)},
	{"non-idempotent request rejected though it may have run", 2, "refused",
		newTimeline().request(s, "r", nonIdempotentClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptAborted, "r", "a").
			respond(s+21*ms, "r", 503)},
	{"keyed request rejected with 429 though it ran", 2, "refused",
		newTimeline().request(s, "r", keyedClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptCompleted, "r", "a").
			respond(s+21*ms, "r", 429)},
	{"non-idempotent request failed after it may have run", 2, "",
		newTimeline().request(s, "r", nonIdempotentClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptRejected, "r", "a").
			attempt(s+10*ms, "r", "b", 1).end(s+19*ms, AttemptAborted, "r", "b").respond(s+21*ms, "r", 502)},
	{"non-idempotent request rejected after a rejected attempt", 2, "",
		newTimeline().request(s, "r", nonIdempotentClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptRejected, "r", "a").
			respond(s+21*ms, "r", 503)},
	{"keyed request retried in another cell", 2, "cell 2",
		newTimeline().request(s, "r", keyedClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptAborted, "r", "a").
			attempt(s+10*ms, "r", "b", 2).end(s+20*ms, AttemptCompleted, "r", "b").respond(s+21*ms, "r", 200)},
	{"keyed request retried in its cell", 2, "",
		newTimeline().request(s, "r", keyedClass).attempt(s+ms, "r", "a", 1).end(s+9*ms, AttemptAborted, "r", "a").
			attempt(s+10*ms, "r", "b", 1).end(s+20*ms, AttemptCompleted, "r", "b").respond(s+21*ms, "r", 200)},
	{"keyed request retried after its window", 2, "its window is 10s",
		newTimeline().request(s, "r", keyedClass).attempt(2*s, "r", "a", 1).end(3*s, AttemptAborted, "r", "a").
			attempt(12*s+52*ms, "r", "b", 1).end(13*s, AttemptCompleted, "r", "b")},
	{"keyed request retried at the end of its window", 2, "",
		newTimeline().request(s, "r", keyedClass).attempt(2*s, "r", "a", 1).end(3*s, AttemptAborted, "r", "a").
			attempt(12*s+50*ms, "r", "b", 1).end(13*s, AttemptCompleted, "r", "b")},
	{"too many attempts", 2, "at most 4", func() timeline {
		l := newTimeline().request(s, "r", readClass)
		for i := range time.Duration(5) {
			l = l.attempt(s+i*10*ms+ms, "r", "a", 1).end(s+i*10*ms+5*ms, AttemptAborted, "r", "a")
		}
		return l
	}()},
	{"attempt after the end of the request", 2, "after its end",
		newTimeline().request(s, "r", readClass).end(2*s, ClientDisconnected, "r", "").attempt(2*s+100*ms, "r", "a", 1)},
	{"attempt sent while the client disconnects", 2, "",
		newTimeline().request(s, "q", readClass).attempt(s+ms, "q", "a", 1).end(s+2*ms, AttemptRejected, "q", "a").
			attempt(s+3*ms, "q", "a", 1).end(s+4*ms, AttemptCompleted, "q", "a").respond(s+5*ms, "q", 200).
			request(s, "r", readClass).end(2*s, ClientDisconnected, "r", "").attempt(2*s+51*ms, "r", "a", 1)},
	{"attempt without a request", 2, "nobody had asked", newTimeline().attempt(s, "ghost", "a", 1)},

	{"attempt at a draining node", 3, "node drains",
		newTimeline().notify(s, Draining).request(2*s, "r", readClass).attempt(2*s, "r", "a", 1)},
	{"attempt at a node that is gone", 3, "node is gone",
		newTimeline().notify(s, Gone).request(2*s, "r", readClass).attempt(2*s, "r", "a", 1)},
	{"second notification does not restart the grace", 3, "node drains",
		newTimeline().notify(s, Draining).notify(s+400*ms, Gone).request(s, "r", readClass).
			attempt(s+552*ms, "r", "a", 1)},
	{"attempt within the grace, and a later one at another node", 3, "",
		newTimeline().notify(s, Draining).request(s, "r", readClass).attempt(s+551*ms, "r", "a", 1).
			end(s+560*ms, AttemptCompleted, "r", "a").request(2*s, "q", readClass).attempt(2*s, "q", "b", 1)},
	{"node is ready again", 3, "",
		newTimeline().notify(s, Draining).request(2*s, "q", readClass).attempt(2*s, "q", "b", 1).notify(3*s, Ready).
			request(4*s, "r", readClass).attempt(4*s, "r", "a", 1)},

	{"burst on a warming node", 4, "started", coldStart(45)},
	{"warming node collapsed", 4, "pushed over", append(coldStart(10), Event{At: 2*s + 20*ms, Kind: NodeCollapsed, Node: "a"})},
	{"burst within the budget of a warming node", 4, "", coldStart(30)},
	{"burst from a sidecar that was not notified of the start", 4, "", func() timeline {
		l := coldStart(45)
		l[1].StartedAt = 0 // the sidecar was notified only of an earlier start of the node
		return l
	}()},
	{"burst on a warm node", 4, "", func() timeline {
		l := coldStart(45)
		for i := range l {
			if l[i].Kind == AttemptReceived {
				l[i].At, l[i].FirstByteAt = l[i].At+20*s, l[i].FirstByteAt+20*s
			}
		}
		return l.attempt(2*s, "r0", "a", 1).end(2*s+ms, AttemptCompleted, "r0", "a")
	}()},
}

// coldStart returns a timeline in which a node with a capacity of 1 starts at 1 s with 0.3 of it, and receives n attempts of
// 0.12 s of work each from 2 s on. At 2 s the node has 0.37 of its capacity, so it can do 0.37 * 3 s of work within
// ColdOverloadWindow. It is overloaded above (1 + ColdOverloadTolerance) * ColdOverloadFactor times that: 1.1 * 4 * 1.11 s = 4.88 s.
func coldStart(n int) timeline {
	l := timeline{{At: s, Kind: NodeStarted, Node: "a", Capacity: 1, ColdCapacityFraction: 0.3, WarmUpDuration: 10 * s},
		{At: s + ms, Kind: NodeStateNotified, Sidecar: "s", Node: "a", State: Ready, StartedAt: s}}
	for i := range n {
		id := fmt.Sprint("r", i)
		l = l.request(2*s, id, readClass).attempt(2*s+time.Duration(i)*100*time.Microsecond, id, "a", 1)
	}
	for i := range l {
		l[i].Work *= 1.2
	}
	return l
}
