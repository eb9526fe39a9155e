package simwire

import (
	"strconv"
	"strings"
	"time"
)

// A Reply gathers the actions of one batch. Its Of method gives the balance.Host of an instance.
type Reply struct {
	buf  []byte
	last int // the instance whose actions were written last
	any  bool
}

// Bytes ends the reply and returns it; the next action starts a new one.
func (r *Reply) Bytes() []byte {
	r.buf = append(r.buf, "FINISHED\n"...)
	out := r.buf
	r.buf, r.any = out[:0], false
	return out
}

// Of returns the host through which an instance acts.
func (r *Reply) Of(instance int) *Host { return &Host{r, instance} }

// Host writes one instance's actions into a Reply.
type Host struct {
	r        *Reply
	instance int
}

func (h *Host) begin(action string) {
	r := h.r
	if !r.any || r.last != h.instance {
		r.buf = append(r.buf, "ON_BEHALF\tSidecar="...)
		r.buf = strconv.AppendInt(r.buf, int64(h.instance), 10)
		r.buf = append(r.buf, '\n')
		r.any, r.last = true, h.instance
	}
	r.buf = append(r.buf, action...)
}

func (h *Host) text(key, value string) *Host {
	h.r.buf = append(h.r.buf, '\t')
	h.r.buf = append(h.r.buf, key...)
	h.r.buf = append(h.r.buf, '=')
	h.r.buf = append(h.r.buf, value...)
	return h
}

func (h *Host) number(key string, n int64) *Host {
	h.r.buf = append(h.r.buf, '\t')
	h.r.buf = append(h.r.buf, key...)
	h.r.buf = append(h.r.buf, '=')
	h.r.buf = strconv.AppendInt(h.r.buf, n, 10)
	return h
}

func (h *Host) end() { h.r.buf = append(h.r.buf, '\n') }

// micros rounds up: a time-out or timer must not come early.
func micros(d time.Duration) int64 { return int64((d + time.Microsecond - 1) / time.Microsecond) }

// Send writes a DISPATCH.
func (h *Host) Send(id, endpoint string, timeout time.Duration) {
	h.begin("DISPATCH")
	h.text("Rid", id).text("Endpoint", endpoint)
	if timeout > 0 {
		h.number("PatienceUs", micros(timeout))
	}
	h.end()
}

// Cancel writes a STOP_ATTEMPT.
func (h *Host) Cancel(id string, n int) {
	h.begin("STOP_ATTEMPT")
	h.text("Rid", id).number("N", int64(n)).end()
}

// Refuse writes a SAY_NO.
func (h *Host) Refuse(id string, retryAfter time.Duration) {
	h.begin("SAY_NO")
	h.text("Rid", id)
	if retryAfter > 0 {
		h.number("RetryInUs", micros(retryAfter))
	}
	h.end()
}

// Fail writes a FINISH_ERROR.
func (h *Host) Fail(id string) {
	h.begin("FINISH_ERROR")
	h.text("Rid", id).end()
}

// Probe writes a HEALTH_CHECK.
func (h *Host) Probe(endpoint string) {
	h.begin("HEALTH_CHECK")
	h.text("Endpoint", endpoint).end()
}

// Idle implements balance.Host: the wire tells nothing of connections.
func (h *Host) Idle(string) bool { return false }

// Subscribe writes a LISTEN.
func (h *Host) Subscribe() {
	h.begin("LISTEN")
	h.number("Active", 1).end()
}

// Timer writes a SET_TIMER.
func (h *Host) Timer(at time.Duration) {
	h.begin("SET_TIMER")
	h.number("InstantUs", micros(at)).number("Mark", 0).end()
}

var oneLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log writes a DEBUG.
func (h *Host) Log(line string) {
	h.begin("DEBUG")
	h.text("Words", oneLine.Replace(line)).end()
}
