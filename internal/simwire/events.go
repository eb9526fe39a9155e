package simwire

import "tuliprock/balance"

// attrClientRetry is the bit of the Attrs field of a CALL message (a new request) that is set if the client has sent the request
// before.
const attrClientRetry = 2

// eventDecoders maps the name of a message to the function that decodes the Reader's current message and reports it as an
// event to the balancer of an instance (a simulated sidecar). An event with a malformed field is not reported.
var eventDecoders = map[string]func(*Reader, balance.Events){
	"REGISTRY":    (*Reader).reportEndpointList,
	"CALL":        (*Reader).reportRequest,
	"FLOWING":     (*Reader).reportStreamStart,
	"ATTEMPT_END": (*Reader).reportOutcome,
	"LEFT":        (*Reader).reportDisconnect,
	"BELL":        (*Reader).reportTimer,
	"CHECKED":     (*Reader).reportProbeResult,
	"MESSAGE":     func(*Reader, balance.Events) {}, // a MESSAGE has no meaning for a balancer
}

func (r *Reader) reportEndpointList(to balance.Events) {
	m := &r.message
	var list balance.EndpointUpdate
	mode := m.text("Mode", required)
	m.integer("Gen", optional) // validated but not used, since lists come in the order of the messages
	switch mode {
	case "X":
		list.HasFailed = true
	case "C", "F", "D":
		list.Complete = mode != "D"
		list.Endpoints = r.lists.entries(m)
	default:
		m.fail("REGISTRY has an unknown Mode %q", mode)
	}
	if m.err == nil {
		to.EndpointList(r.now, list)
	}
}

func (r *Reader) reportRequest(to balance.Events) {
	m := &r.message
	request := balance.Request{
		ID:       m.requestID(),
		Class:    m.internedText("Band", required),
		Tenant:   m.internedText("Team", optional),
		Deadline: m.microseconds("ValidUntilUs", required),
		IsRetry:  m.integer("Attrs", optional)&attrClientRetry != 0,
	}
	if m.err == nil {
		to.Request(r.now, request)
	}
}

func (r *Reader) reportStreamStart(to balance.Events) {
	m := &r.message
	id, attempt := m.requestID(), m.integer("N", required)
	if m.err == nil {
		to.StreamStarted(r.now, id, attempt)
	}
}

func (r *Reader) reportOutcome(to balance.Events) {
	m := &r.message
	outcome := balance.Outcome{
		ID:            m.requestID(),
		AttemptNumber: m.integer("N", required),
		Endpoint:      m.internedText("Endpoint", required),
		Result:        m.result(),
		Latency:       m.microseconds("SpentUs", required),
		IsFinal:       m.integer("DoneFlag", optional) != 0,
	}
	if m.err == nil {
		to.Outcome(r.now, outcome)
	}
}

func (r *Reader) reportDisconnect(to balance.Events) {
	m := &r.message
	if id := m.requestID(); m.err == nil {
		to.ClientDisconnected(r.now, id)
	}
}

func (r *Reader) reportTimer(to balance.Events) {
	m := &r.message
	m.integer("Mark", required) // validated but not used, since Host.Timer sets the Mark field of all timers to 0
	if m.err == nil {
		to.Timer(r.now)
	}
}

func (r *Reader) reportProbeResult(to balance.Events) {
	m := &r.message
	result := balance.ProbeResult{
		Endpoint: m.internedText("Endpoint", required),
		Result:   m.result(),
		Load:     m.load(),
	}
	if m.err == nil {
		to.Probed(r.now, result)
	}
}
