package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Try is one request of a caller's.
type Try struct {
	ID      string // new with every try
	Class   int
	Tenant  string
	Key     string // idempotency key; empty: none
	Retry   bool
	Hint    time.Duration // a guess at the work; 0: none
	Job     *Job
	Wait    time.Duration // the caller waits so long
	HangUp  time.Duration // and leaves after this time already, if it is over 0
	Connect func() (sidecar, addr string, ok bool)
}

// Outcome is what a try came to.
type Outcome struct {
	Status     int           // 0: no answer
	Reached    bool          // a sidecar took the request
	RetryAfter time.Duration // as the answer advises
	Dialed     bool          // a connection was opened for it
	Left       bool          // hung up on purpose
}

// Caller makes tries over connections that it keeps. It is safe for concurrent use.
type Caller struct {
	classes []Class
	desk    *Desk
	rec     *Recorder
	slack   time.Duration        // after a try's time until its answer counts as never come
	most    int                  // idle connections kept
	lasts   func() time.Duration // for how long a new one is used; nil: for good

	mu   sync.Mutex
	idle []*line
}

// line is one connection of a caller's.
type line struct {
	net.Conn
	in      *bufio.Reader
	sidecar string
	until   time.Time // it is not used any more; zero: for good
}

// NewCaller makes a Caller that keeps at most most idle connections. slack is the rules' own on a try's time.
func NewCaller(classes []Class, desk *Desk, rec *Recorder, slack time.Duration, most int) *Caller {
	return &Caller{classes: classes, desk: desk, rec: rec, slack: slack, most: most}
}

// Lasts makes every new connection be used for a time that the function draws. It must be set before the first try, and
// may be called from many goroutines.
func (c *Caller) Lasts(draw func() time.Duration) { c.lasts = draw }

// Close closes what is idle.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		l.Close()
	}
	c.idle = nil
}

// take gives the idle connection used last, if there is one.
func (c *Caller) take() *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		l := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if l.until.IsZero() || time.Now().Before(l.until) {
			return l
		}
		l.Close()
	}
	return nil
}

func (c *Caller) keep(l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.most {
		l.Close()
		return
	}
	c.idle = append(c.idle, l)
}

const (
	dialWait = 500 * time.Millisecond // the front layer notices a dead sidecar after seconds, a caller should sooner
	tailLook = time.Millisecond       // for bytes behind an answer
)

func dial(t Try) (*line, error) {
	name, addr, ok := t.Connect()
	if !ok {
		return nil, errors.New("no sidecar is in")
	}
	nc, err := net.DialTimeout("tcp", addr, dialWait)
	if err != nil {
		return nil, err
	}
	return &line{Conn: nc, in: bufio.NewReader(nc), sidecar: name}, nil
}

// Try makes one try. It returns when the answer has come, the time is up or the connection has ended.
func (c *Caller) Try(t Try) Outcome {
	due := c.rec.Now() + t.Wait
	c.desk.put(t.ID, ticket{job: t.Job, class: t.Class, key: t.Key})
	var out Outcome
	for again := true; ; again = false {
		l := c.take()
		if l == nil {
			var err error
			if l, err = dial(t); err != nil {
				return out
			}
			if c.lasts != nil {
				l.until = time.Now().Add(c.lasts())
			}
			out.Dialed = true
		} else if !again {
			l.Close() // the second time on a new connection
			continue
		}
		fresh := out.Dialed
		if c.once(l, t, due, fresh, &out) || fresh {
			return out
		}
	}
}

// once is false where a connection that had served before ended before anything came: a sidecar may close one between
// requests, and the request is sent once more on a new one.
func (c *Caller) once(l *line, t Try, due time.Duration, fresh bool, out *Outcome) bool {
	asked := invariant.Event{Kind: invariant.Asked, Request: t.ID, Sidecar: l.sidecar, Class: t.Class, Until: due}
	c.rec.Add(asked) // before the write: what comes of it comes later
	if _, err := io.WriteString(l, c.text(t, due)); err != nil {
		l.Close()
		if fresh {
			c.rec.Add(invariant.Event{Kind: invariant.NotAccepted, Request: t.ID})
			return true
		}
		return false
	}
	out.Reached = true
	limit, leaves := due+c.slack+graceMore, false
	if t.HangUp > 0 && due-t.Wait+t.HangUp < limit {
		limit, leaves = due-t.Wait+t.HangUp, true
	}
	_ = l.SetReadDeadline(time.Now().Add(limit - c.rec.Now()))
	if _, err := l.in.Peek(1); err != nil {
		l.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && leaves:
			out.Left = true
			c.rec.Add(invariant.Event{Kind: invariant.ClientLeft, Request: t.ID})
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.rec.Add(invariant.Event{Kind: invariant.Unanswered, Request: t.ID})
		case !fresh:
			return false
		default:
			c.rec.Add(invariant.Event{Kind: invariant.Lost, Request: t.ID})
		}
		return true
	}
	c.read(l, t, due, out)
	return true
}

// graceMore is how much later than the rules allow a caller lets go, so that a late answer is seen as such.
const graceMore = 100 * time.Millisecond

// read takes an answer that has begun.
func (c *Caller) read(l *line, t Try, due time.Duration, out *Outcome) {
	_ = l.SetReadDeadline(time.Now().Add(max(due-c.rec.Now(), 0) + c.slack + graceMore))
	resp, err := http.ReadResponse(l.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, bodyMost))
		resp.Body.Close()
	}
	if err != nil {
		l.Close()
		c.rec.Add(invariant.Event{Kind: invariant.Lost, Request: t.ID})
		return
	}
	out.Status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		out.RetryAfter = time.Duration(s * float64(time.Second))
	}
	genuine := resp.StatusCode != http.StatusOK || strings.HasPrefix(string(body), t.ID+" ")
	c.rec.Add(invariant.Event{Kind: invariant.Answered, Request: t.ID, Status: resp.StatusCode, Genuine: genuine})
	if l.in.Buffered() == 0 && !resp.Close {
		_ = l.SetReadDeadline(time.Now().Add(tailLook))
		if _, err := l.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			c.keep(l)
			return
		}
	}
	if l.in.Buffered() > 0 {
		c.rec.Add(invariant.Event{Kind: invariant.ExtraBytes, Request: t.ID})
	}
	l.Close()
}

// text is the request as it is written.
func (c *Caller) text(t Try, due time.Duration) string {
	class := c.classes[t.Class]
	method := http.MethodGet
	if class.Effect != invariant.Safe {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", method, class.Name, t.ID,
		max((due-c.rec.Now()).Milliseconds(), 1))
	if t.Tenant != "" {
		fmt.Fprintf(&b, "Req-Owner: %s\r\n", t.Tenant)
	}
	if t.Hint > 0 {
		fmt.Fprintf(&b, "Req-Cost: %d\r\n", t.Hint.Microseconds())
	}
	if t.Retry {
		b.WriteString("Req-Retry: 1\r\n")
	}
	if class.Effect == invariant.Keyed {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Key)
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// Front deals callers' connections out among the sidecars that it holds for alive. It is safe for concurrent use.
type Front struct {
	mu   sync.Mutex
	in   []place
	next int
}

type place struct{ name, addr string }

// In takes a sidecar in.
func (f *Front) In(name, addr string) {
	f.Out(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.in = append(f.in, place{name, addr})
}

// Out takes a sidecar out.
func (f *Front) Out(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, p := range f.in {
		if p.name == name {
			f.in = append(f.in[:i:i], f.in[i+1:]...)
			return
		}
	}
}

// Connect says where the next connection goes.
func (f *Front) Connect() (name, addr string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.in) == 0 {
		return "", "", false
	}
	f.next++
	p := f.in[f.next%len(f.in)]
	return p.name, p.addr, true
}
