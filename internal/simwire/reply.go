package simwire

import (
	"strconv"
	"strings"
	"time"
)

// Reply collects the actions of one batch. Its method Host gives each instance the balance.Host that writes to it. The
// zero value is an empty reply. It is not safe for concurrent use.
type Reply struct {
	encoded  []byte
	isBegun  bool // whether an action was written
	instance int  // whose actions were written last
}

// Bytes ends the reply and returns its encoding, which is valid until the next action: that one begins a new reply.
func (r *Reply) Bytes() []byte {
	r.encoded = append(r.encoded, "FINISHED\n"...)
	encoded := r.encoded
	r.encoded, r.isBegun = encoded[:0], false
	return encoded
}

// Host returns the host through which an instance acts. It writes to all replies to come.
func (r *Reply) Host(instance int) *Host { return &Host{r, instance} }

// Host implements balance.Host: it writes an instance's actions to a Reply.
type Host struct {
	reply    *Reply
	instance int
}

// begin writes the name of an action, and before it whose action it is where that changes.
func (h *Host) begin(action string) *Host {
	r := h.reply
	if !r.isBegun || r.instance != h.instance {
		r.isBegun, r.instance = true, h.instance
		r.encoded = append(r.encoded, "ON_BEHALF\tSidecar="...)
		r.encoded = strconv.AppendInt(r.encoded, int64(h.instance), 10)
		r.encoded = append(r.encoded, '\n')
	}
	r.encoded = append(r.encoded, action...)
	return h
}

func (h *Host) key(key string) {
	h.reply.encoded = append(h.reply.encoded, '\t')
	h.reply.encoded = append(h.reply.encoded, key...)
	h.reply.encoded = append(h.reply.encoded, '=')
}

func (h *Host) text(key, value string) *Host {
	h.key(key)
	h.reply.encoded = append(h.reply.encoded, value...)
	return h
}

func (h *Host) number(key string, value int64) *Host {
	h.key(key)
	h.reply.encoded = strconv.AppendInt(h.reply.encoded, value, 10)
	return h
}

func (h *Host) end() { h.reply.encoded = append(h.reply.encoded, '\n') }

// ceilMicroseconds rounds up, since a timeout or timer must not fire early.
func ceilMicroseconds(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Send writes a DISPATCH; a timeout of 0 is left out.
func (h *Host) Send(id, endpoint string, timeout time.Duration) {
	h.begin("DISPATCH").text("Rid", id).text("Endpoint", endpoint)
	if timeout > 0 {
		h.number("PatienceUs", ceilMicroseconds(timeout))
	}
	h.end()
}

// Cancel writes a STOP_ATTEMPT.
func (h *Host) Cancel(id string, n int) {
	h.begin("STOP_ATTEMPT").text("Rid", id).number("N", int64(n)).end()
}

// Reject writes a SAY_NO; a retryAfter of 0 is left out.
func (h *Host) Reject(id string, retryAfter time.Duration) {
	h.begin("SAY_NO").text("Rid", id)
	if retryAfter > 0 {
		h.number("RetryInUs", ceilMicroseconds(retryAfter))
	}
	h.end()
}

// Fail writes a FINISH_ERROR.
func (h *Host) Fail(id string) { h.begin("FINISH_ERROR").text("Rid", id).end() }

// Probe writes a HEALTH_CHECK.
func (h *Host) Probe(endpoint string) { h.begin("HEALTH_CHECK").text("Endpoint", endpoint).end() }

// HasIdleConnection returns false: the protocol says nothing of connections.
func (h *Host) HasIdleConnection(string) bool { return false }

// Subscribe writes a LISTEN.
func (h *Host) Subscribe() { h.begin("LISTEN").number("Active", 1).end() }

// Timer writes a SET_TIMER. All timers have the mark 0, for an instance does not tell them apart.
func (h *Host) Timer(at time.Duration) {
	h.begin("SET_TIMER").number("InstantUs", ceilMicroseconds(at)).number("Mark", 0).end()
}

// separatorsToSpaces keeps a text within one field of one line.
var separatorsToSpaces = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log writes a DEBUG.
func (h *Host) Log(line string) {
	h.begin("DEBUG").text("Words", separatorsToSpaces.Replace(line)).end()
}
