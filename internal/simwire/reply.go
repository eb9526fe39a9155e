package simwire

import (
	"strconv"
	"strings"
	"time"
)

// Reply collects the actions of one batch. Its method Host returns a balance.Host that writes the actions of one instance
// (a simulated sidecar) to it. The zero value is an empty reply. A Reply is not safe for concurrent use.
type Reply struct {
	encoded    []byte // encoded actions of the batch so far
	hasActions bool   // whether an action was written since the last call of Bytes
	instance   int    // number of the simulated sidecar that the last action is for
}

// Bytes writes the line that ends the reply and returns the encoded reply, which is valid until the next action is written. The
// next action begins a new reply.
func (r *Reply) Bytes() []byte {
	r.encoded = append(r.encoded, "FINISHED\n"...)
	encoded := r.encoded
	r.encoded, r.hasActions = encoded[:0], false
	return encoded
}

// Host returns the balance.Host of an instance (a simulated sidecar). The Host writes to the current reply and to all later ones.
func (r *Reply) Host(instance int) *Host { return &Host{r, instance} }

// Host implements balance.Host by writing the actions of an instance (a simulated sidecar) to a Reply.
type Host struct {
	reply    *Reply
	instance int
}

// beginAction writes the name of an action. If the reply has no action yet, or the last one was of another simulated sidecar, it
// first writes an ON_BEHALF line, which gives the number of the sidecar.
func (h *Host) beginAction(action string) *Host {
	r := h.reply
	if !r.hasActions || r.instance != h.instance {
		r.hasActions, r.instance = true, h.instance
		r.encoded = append(r.encoded, "ON_BEHALF\tSidecar="...)
		r.encoded = strconv.AppendInt(r.encoded, int64(h.instance), 10)
		r.encoded = append(r.encoded, '\n')
	}
	r.encoded = append(r.encoded, action...)
	return h
}

// writeKey writes the beginning of a field: a tab, the key and an equals sign.
func (h *Host) writeKey(key string) {
	h.reply.encoded = append(h.reply.encoded, '\t')
	h.reply.encoded = append(h.reply.encoded, key...)
	h.reply.encoded = append(h.reply.encoded, '=')
}

// writeText writes a field with a text value.
func (h *Host) writeText(key, value string) *Host {
	h.writeKey(key)
	h.reply.encoded = append(h.reply.encoded, value...)
	return h
}

// writeNumber writes a field with a number.
func (h *Host) writeNumber(key string, value int64) *Host {
	h.writeKey(key)
	h.reply.encoded = strconv.AppendInt(h.reply.encoded, value, 10)
	return h
}

// endAction writes the line break after an action.
func (h *Host) endAction() { h.reply.encoded = append(h.reply.encoded, '\n') }

// ceilMicroseconds converts d to microseconds. It rounds up, since a timeout or timer must not fire early.
func ceilMicroseconds(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Send writes a DISPATCH message, which starts an attempt. A timeout of 0 is left out of the message.
func (h *Host) Send(id, endpoint string, timeout time.Duration) {
	h.beginAction("DISPATCH").writeText("Rid", id).writeText("Endpoint", endpoint)
	if timeout > 0 {
		h.writeNumber("PatienceUs", ceilMicroseconds(timeout))
	}
	h.endAction()
}

// Cancel writes a STOP_ATTEMPT message, which cancels attempt n of a request.
func (h *Host) Cancel(id string, n int) {
	h.beginAction("STOP_ATTEMPT").writeText("Rid", id).writeNumber("N", int64(n)).endAction()
}

// Reject writes a SAY_NO message, which rejects a request. A retryAfter of 0 is left out of the message.
func (h *Host) Reject(id string, retryAfter time.Duration) {
	h.beginAction("SAY_NO").writeText("Rid", id)
	if retryAfter > 0 {
		h.writeNumber("RetryInUs", ceilMicroseconds(retryAfter))
	}
	h.endAction()
}

// Fail writes a FINISH_ERROR message, which ends a request as failed.
func (h *Host) Fail(id string) { h.beginAction("FINISH_ERROR").writeText("Rid", id).endAction() }

// Probe writes a HEALTH_CHECK message, which requests a load probe.
func (h *Host) Probe(endpoint string) {
	h.beginAction("HEALTH_CHECK").writeText("Endpoint", endpoint).endAction()
}

// HasIdleConnection returns false, because the protocol does not tell which connections are idle.
func (h *Host) HasIdleConnection(string) bool { return false }

// Subscribe writes a LISTEN message, which subscribes to discovery.
func (h *Host) Subscribe() { h.beginAction("LISTEN").writeNumber("Active", 1).endAction() }

// Timer writes a SET_TIMER message. Its Mark field, which could tell timers apart, is always 0, because a balancer does not
// distinguish its timers.
func (h *Host) Timer(at time.Duration) {
	h.beginAction("SET_TIMER").writeNumber("InstantUs", ceilMicroseconds(at)).writeNumber("Mark", 0).endAction()
}

// separatorsToSpaces replaces line breaks and tabs by spaces, so that a log line stays within its field.
var separatorsToSpaces = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log writes a DEBUG message, which passes a log line to the simulator.
func (h *Host) Log(line string) {
	h.beginAction("DEBUG").writeText("Words", separatorsToSpaces.Replace(line)).endAction()
}
