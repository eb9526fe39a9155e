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

// Request is one request of a caller's.
type Request struct {
	ID         string // new with every try
	Class      int
	Tenant     string
	Key        string // idempotency key; empty: none
	Retry      bool
	CostHint   time.Duration // a guess at the work; 0: none
	Job        *Job
	Timeout    time.Duration // the caller waits so long
	LeaveAfter time.Duration // and leaves after this time already, if it is over 0
	Connect    func() (sidecar, addr string, ok bool)
}

// Outcome is what a try came to.
type Outcome struct {
	Status     int           // 0: no answer
	IsAccepted bool          // a sidecar took the request
	RetryAfter time.Duration // as the answer advises
	HasDialed  bool          // a connection was opened for it
	HasLeft    bool          // hung up on purpose
}

// Client makes tries over connections that it keeps. It is safe for concurrent use.
type Client struct {
	classes            []Class
	registry           *Registry
	recorder           *Recorder
	tolerance          time.Duration        // after a try's time until its answer counts as never come
	maxIdle            int                  // idle connections kept
	connectionLifetime func() time.Duration // for how long a new one is used; nil: for good

	mu   sync.Mutex
	idle []*clientConn
}

// clientConn is one connection of a caller's.
type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	sidecar     string
	usableUntil time.Time // it is not used any more; zero: for good
}

// NewClient makes a Caller that keeps at most most idle connections. slack is the rules' own on a try's time.
func NewClient(classes []Class, desk *Registry, rec *Recorder, slack time.Duration, most int) *Client {
	return &Client{classes: classes, registry: desk, recorder: rec, tolerance: slack, maxIdle: most}
}

// SetConnectionLifetime makes every new connection be used for a time that the function draws. It must be set before the first try, and
// may be called from many goroutines.
func (c *Client) SetConnectionLifetime(draw func() time.Duration) { c.connectionLifetime = draw }

// Close closes what is idle.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idle {
		l.Close()
	}
	c.idle = nil
}

// takeIdle gives the idle connection used last, if there is one.
func (c *Client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		l := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if l.usableUntil.IsZero() || time.Now().Before(l.usableUntil) {
			return l
		}
		l.Close()
	}
	return nil
}

func (c *Client) putIdle(l *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		l.Close()
		return
	}
	c.idle = append(c.idle, l)
}

const (
	dialTimeout    = 500 * time.Millisecond // the front layer notices a dead sidecar after seconds, a caller should sooner
	extraBytesWait = time.Millisecond       // for bytes behind an answer
)

func dialSidecar(t Request) (*clientConn, error) {
	name, addr, ok := t.Connect()
	if !ok {
		return nil, errors.New("no sidecar is in")
	}
	nc, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, reader: bufio.NewReader(nc), sidecar: name}, nil
}

// Do makes one try. It returns when the answer has come, the time is up or the connection has ended.
func (c *Client) Do(t Request) Outcome {
	due := c.recorder.Now() + t.Timeout
	c.registry.register(t.ID, registeredRequest{job: t.Job, class: t.Class, key: t.Key})
	var out Outcome
	for again := true; ; again = false {
		l := c.takeIdle()
		if l == nil {
			var err error
			if l, err = dialSidecar(t); err != nil {
				return out
			}
			if c.connectionLifetime != nil {
				l.usableUntil = time.Now().Add(c.connectionLifetime())
			}
			out.HasDialed = true
		} else if !again {
			l.Close() // the second time on a new connection
			continue
		}
		fresh := out.HasDialed
		if c.exchange(l, t, due, fresh, &out) || fresh {
			return out
		}
	}
}

// exchange is false where a connection that had served before ended before anything came: a sidecar may close one between
// requests, and the request is sent once more on a new one.
func (c *Client) exchange(l *clientConn, t Request, due time.Duration, fresh bool, out *Outcome) bool {
	asked := invariant.Event{Kind: invariant.Asked, Request: t.ID, Sidecar: l.sidecar, Class: t.Class, Until: due}
	c.recorder.Add(asked) // before the write: what comes of it comes later
	if _, err := io.WriteString(l, c.encode(t, due)); err != nil {
		l.Close()
		if fresh {
			c.recorder.Add(invariant.Event{Kind: invariant.NotAccepted, Request: t.ID})
			return true
		}
		return false
	}
	out.IsAccepted = true
	limit, leaves := due+c.tolerance+lateAllowance, false
	if t.LeaveAfter > 0 && due-t.Timeout+t.LeaveAfter < limit {
		limit, leaves = due-t.Timeout+t.LeaveAfter, true
	}
	_ = l.SetReadDeadline(time.Now().Add(limit - c.recorder.Now()))
	if _, err := l.reader.Peek(1); err != nil {
		l.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && leaves:
			out.HasLeft = true
			c.recorder.Add(invariant.Event{Kind: invariant.ClientLeft, Request: t.ID})
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.recorder.Add(invariant.Event{Kind: invariant.Unanswered, Request: t.ID})
		case !fresh:
			return false
		default:
			c.recorder.Add(invariant.Event{Kind: invariant.Lost, Request: t.ID})
		}
		return true
	}
	c.readResponse(l, t, due, out)
	return true
}

// lateAllowance is how much later than the rules allow a caller lets go, so that a late answer is seen as such.
const lateAllowance = 100 * time.Millisecond

// readResponse takes an answer that has begun.
func (c *Client) readResponse(l *clientConn, t Request, due time.Duration, out *Outcome) {
	_ = l.SetReadDeadline(time.Now().Add(max(due-c.recorder.Now(), 0) + c.tolerance + lateAllowance))
	resp, err := http.ReadResponse(l.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		resp.Body.Close()
	}
	if err != nil {
		l.Close()
		c.recorder.Add(invariant.Event{Kind: invariant.Lost, Request: t.ID})
		return
	}
	out.Status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		out.RetryAfter = time.Duration(s * float64(time.Second))
	}
	genuine := resp.StatusCode != http.StatusOK || strings.HasPrefix(string(body), t.ID+" ")
	c.recorder.Add(invariant.Event{Kind: invariant.Answered, Request: t.ID, Status: resp.StatusCode, Genuine: genuine})
	if l.reader.Buffered() == 0 && !resp.Close {
		_ = l.SetReadDeadline(time.Now().Add(extraBytesWait))
		if _, err := l.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			c.putIdle(l)
			return
		}
	}
	if l.reader.Buffered() > 0 {
		c.recorder.Add(invariant.Event{Kind: invariant.ExtraBytes, Request: t.ID})
	}
	l.Close()
}

// encode is the request as it is written.
func (c *Client) encode(t Request, due time.Duration) string {
	class := c.classes[t.Class]
	method := http.MethodGet
	if class.Effect != invariant.Safe {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", method, class.Name, t.ID,
		max((due-c.recorder.Now()).Milliseconds(), 1))
	if t.Tenant != "" {
		fmt.Fprintf(&b, "Req-Owner: %s\r\n", t.Tenant)
	}
	if t.CostHint > 0 {
		fmt.Fprintf(&b, "Req-Cost: %d\r\n", t.CostHint.Microseconds())
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

// FrontLayer deals callers' connections out among the sidecars that it holds for alive. It is safe for concurrent use.
type FrontLayer struct {
	mu       sync.Mutex
	sidecars []sidecarAddr
	next     int
}

type sidecarAddr struct{ name, addr string }

// Add takes a sidecar in.
func (f *FrontLayer) Add(name, addr string) {
	f.Remove(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sidecars = append(f.sidecars, sidecarAddr{name, addr})
}

// Remove takes a sidecar out.
func (f *FrontLayer) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, p := range f.sidecars {
		if p.name == name {
			f.sidecars = append(f.sidecars[:i:i], f.sidecars[i+1:]...)
			return
		}
	}
}

// Connect says where the next connection goes.
func (f *FrontLayer) Connect() (name, addr string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.sidecars) == 0 {
		return "", "", false
	}
	f.next++
	p := f.sidecars[f.next%len(f.sidecars)]
	return p.name, p.addr, true
}
