package kit2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// slack is how much later than a limit of the rules an event may come: half a second after its time an answer only earns nothing, and
// on sockets each limit is 50 ms longer.
const slack = 550 * time.Millisecond

// ask is a request that a client sends.
type ask struct {
	id       string
	class    string
	deadline time.Duration
	body     int // length of the body; -1: GET without a body
}

// result is how a request ended for its client.
type result struct {
	kind    string        // served, refused, failed, closed, unanswered, unsent, wrong
	waited  time.Duration // time from the last byte written to the end
	sending time.Duration // time that it took to write the request
	detail  string
}

var lastID atomic.Int64

func newID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, lastID.Add(1)) }

func (a ask) head() string {
	if a.body < 0 {
		return fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: council-post\r\nReq-Deadline-Ms: %d\r\n\r\n",
			a.class, a.id, a.deadline.Milliseconds())
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: council-post\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", a.class, a.id, a.deadline.Milliseconds(), a.id, a.body)
}

// send sends a request on a new connection and waits for its whole answer until the deadline and the slack have passed since the
// last byte was written.
func (e *env) send(addr string, a ask) result {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return e.ended(a, result{kind: "unsent", detail: err.Error()})
	}
	defer conn.Close()
	return e.exchange(conn, bufio.NewReader(conn), a)
}

func (e *env) ended(a ask, r result) result {
	e.note("client %s %s: %s after %.3f s (written in %.3f s) %s", a.id, a.class, r.kind, r.waited.Seconds(), r.sending.Seconds(), r.detail)
	return r
}

func (e *env) exchange(conn net.Conn, in *bufio.Reader, a ask) result {
	began := time.Now()
	answer := make(chan result, 1)
	go func() {
		response, err := http.ReadResponse(in, &http.Request{Method: map[bool]string{true: "GET", false: "POST"}[a.body < 0]})
		if err != nil {
			answer <- result{kind: "closed", detail: err.Error()}
			return
		}
		body, err := io.ReadAll(response.Body)
		switch {
		case err != nil:
			answer <- result{kind: "closed", detail: "in the answer: " + err.Error()}
		case response.StatusCode == 200 && !strings.HasPrefix(string(body), "answer to "+a.id+"\n"):
			answer <- result{kind: "wrong", detail: fmt.Sprintf("%.60q", body)}
		case response.StatusCode == 200:
			answer <- result{kind: "served"}
		case response.StatusCode == 503 || response.StatusCode == 429:
			answer <- result{kind: "refused", detail: response.Status}
		default:
			answer <- result{kind: "failed", detail: response.Status}
		}
	}()
	_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := io.WriteString(conn, a.head())
	part := make([]byte, 64<<10)
	for left := a.body; err == nil && left > 0; {
		n := min(left, len(part))
		_, err = conn.Write(part[:n])
		left -= n
	}
	writtenAt := time.Now()
	sending := writtenAt.Sub(began)
	if err != nil {
		select {
		case r := <-answer:
			r.sending = sending
			return e.ended(a, r)
		case <-time.After(200 * time.Millisecond):
		}
		kind := "unsent"
		if errors.Is(err, os.ErrDeadlineExceeded) {
			kind = "blocked"
		}
		return e.ended(a, result{kind: kind, sending: sending, detail: err.Error()})
	}
	select {
	case r := <-answer:
		r.sending, r.waited = sending, time.Since(writtenAt)
		return e.ended(a, r)
	case <-time.After(a.deadline + slack):
		return e.ended(a, result{kind: "unanswered", sending: sending, waited: time.Since(writtenAt)})
	}
}

// get makes a plain request and returns the status of the answer.
func get(addr, path string) (int, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, nil
}

// keptClient is a client that keeps its connection and opens another one when that has ended.
type keptClient struct {
	env  *env
	addr string
	conn net.Conn
	in   *bufio.Reader
}

func (c *keptClient) send(a ask) result {
	for attempt := 0; ; attempt++ {
		isNew := c.conn == nil
		if isNew {
			conn, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
			if err != nil {
				return c.env.ended(a, result{kind: "unsent", detail: err.Error()})
			}
			c.conn, c.in = conn, bufio.NewReader(conn)
		}
		r := c.env.exchange(c.conn, c.in, a)
		if r.kind == "served" || r.kind == "refused" && r.detail == "" {
			return r
		}
		c.close() // the answer may have said Connection: close
		if r.kind == "closed" && !isNew && attempt == 0 {
			continue // it crossed the end of a resting connection: once more on a new one
		}
		return r
	}
}

func (c *keptClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.in = nil, nil
	}
}
