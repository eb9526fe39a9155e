package simwire

import (
	"strconv"
	"strings"
	"time"
)

// Reply collects the actions of one batch. Its method Host returns a balance.Host that writes the actions of one instance to
// it. The zero value is an empty reply. A Reply is not safe for concurrent use.
type Reply struct {
	encoded    []byte // encoded actions so far
	hasActions bool   // whether the reply has any action
	instance   int    // instance of the last action
}

// Bytes ends the reply and returns its encoding, which is valid until the next action is written. The next action begins a new
// reply.
func (r *Reply) Bytes() []byte {
	r.encoded = append(r.encoded, "FINISHED\n"...)
	encoded := r.encoded
	r.encoded, r.hasActions = encoded[:0], false
	return encoded
}

// Host returns the balance.Host of an instance. It writes to the current reply and to all later ones.
func (r *Reply) Host(instance int) *Host { return &Host{r, instance} }

// Host implements balance.Host by writing the actions of an instance to a Reply.
type Host struct {
	reply    *Reply
	instance int
}

// begin writes the name of an action. If the last action was that of another instance, begin writes an ON_BEHALF line first.
func (h *Host) begin(action string) *Host {
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

// key writes the key of a field.
func (h *Host) key(key string) {
	h.reply.encoded = append(h.reply.encoded, '\t')
	h.reply.encoded = append(h.reply.encoded, key...)
	h.reply.encoded = append(h.reply.encoded, '=')
}

// text writes a field with a text value.
func (h *Host) text(key, value string) *Host {
	h.key(key)
	h.reply.encoded = append(h.reply.encoded, value...)
	return h
}

// number writes a field with a number.
func (h *Host) number(key string, value int64) *Host {
	h.key(key)
	h.reply.encoded = strconv.AppendInt(h.reply.encoded, value, 10)
	return h
}

// end ends the line of an action.
func (h *Host) end() { h.reply.encoded = append(h.reply.encoded, '\n') }

// ceilMicroseconds converts d to microseconds. It rounds up, since a timeout or timer must not fire early.
func ceilMicroseconds(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Send writes a DISPATCH, without a timeout if it is 0.
func (h *Host) Send(id, endpoint string, timeout time.Duration) {
	h.begin("DISPATCH").text("Rid", id).text("Endpoint", endpoint)
	if timeout > 0 {
		h.number("PatienceUs", ceilMicroseconds(timeout))
	}
	h.end()
}

// Cancel writes a STOP_ATTEMPT, which cancels attempt n of a request.
func (h *Host) Cancel(id string, n int) {
	h.begin("STOP_ATTEMPT").text("Rid", id).number("N", int64(n)).end()
}

// Reject writes a SAY_NO, which rejects a request, without a retryAfter if it is 0.
func (h *Host) Reject(id string, retryAfter time.Duration) {
	h.begin("SAY_NO").text("Rid", id)
	if retryAfter > 0 {
		h.number("RetryInUs", ceilMicroseconds(retryAfter))
	}
	h.end()
}

// Fail writes a FINISH_ERROR, which ends a request as failed.
func (h *Host) Fail(id string) { h.begin("FINISH_ERROR").text("Rid", id).end() }

// Probe writes a HEALTH_CHECK, which is the protocol's load probe.
func (h *Host) Probe(endpoint string) { h.begin("HEALTH_CHECK").text("Endpoint", endpoint).end() }

// HasIdleConnection returns false, because the protocol has no connections.
func (h *Host) HasIdleConnection(string) bool { return false }

// Subscribe writes a LISTEN, which subscribes to discovery.
func (h *Host) Subscribe() { h.begin("LISTEN").number("Active", 1).end() }

// Timer writes a SET_TIMER. All timers have the mark 0, because a balancer does not distinguish them.
func (h *Host) Timer(at time.Duration) {
	h.begin("SET_TIMER").number("InstantUs", ceilMicroseconds(at)).number("Mark", 0).end()
}

// separatorsToSpaces replaces line breaks and tabs by spaces, so that a log line stays within its field.
var separatorsToSpaces = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log writes a DEBUG, which is a line for the log.
func (h *Host) Log(line string) {
	h.begin("DEBUG").text("Words", separatorsToSpaces.Replace(line)).end()
}
