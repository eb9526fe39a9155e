package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"tuliprock/internal/socketinfo"
)

// requestCount numbers the requests of all clients, so that no id comes twice.
var requestCount atomic.Uint64

// NewID returns a request id that was not returned before.
func NewID() string { return fmt.Sprintf("%08x-%d", requestCount.Add(1), os.Getpid()) }

// Client is one misbehaving or slow client. Its method Run plays it once: from its connect until the daemon closes the connection or ctx
// ends.
type Client struct {
	Addr     string
	Deadline time.Duration // how long it says that it waits for a response
	conn     net.Conn
}

// Form is how the clients of a crowd behave.
type Form struct {
	Name string
	play func(c *Client) error
}

// Forms are the forms of misbehaving and slow clients.
var Forms = []Form{
	{"silent", func(*Client) error { return nil }},
	{"incomplete head", func(c *Client) error { return c.write(c.head("GET", LookupClass, Behavior{}, 0, 2<<10)) }},
	{"head written slowly", playSlowHead},
	{"many short fields", func(c *Client) error { return c.write(c.shortFieldHead(true)) }},
	{"many short fields, incomplete", func(c *Client) error { return c.write(c.shortFieldHead(false)) }},
	{"long head", func(c *Client) error {
		return c.request("GET", Behavior{Work: 300 * time.Millisecond}, 0, 8<<10, nil)
	}},
	{"long head and body", func(c *Client) error {
		return c.request("POST", Behavior{Work: 300 * time.Millisecond}, 64<<10, 8<<10, nil)
	}},
	{"long head, body stops", func(c *Client) error { return c.partialBody(64<<10, 32<<10, 8<<10) }},
	{"long head, incomplete", func(c *Client) error { return c.write(c.head("GET", LookupClass, Behavior{}, 0, 8<<10)) }},
	{"large body stops half way", func(c *Client) error { return c.partialBody(16<<20, 8<<20, 0) }},
	{"chunked body stops half way", playPartialChunks},
	{"body written slowly", func(c *Client) error { return c.slowBody(1<<20, 64<<10) }},
	{"short body written slowly", func(c *Client) error { return c.slowBody(60<<10, 40<<10) }},
	{"long response read slowly", func(c *Client) error { return c.slowReader(1<<20, 64<<10, false) }},
	{"short response read slowly", func(c *Client) error { return c.slowReader(64<<10, 40<<10, false) }},
	{"chunked response read slowly", func(c *Client) error { return c.slowReader(60<<10, 40<<10, true) }},
	{"response not read", func(c *Client) error { return c.slowReader(64<<10, 0, false) }},
	{"requests written at once", playPipeline},
	{"upload to a server that stops reading", func(c *Client) error {
		return c.request("POST", Behavior{StopAfter: 20 << 10}, 400<<10, 0, nil)
	}},
}

// Run plays the form on a new connection until the daemon closes the connection or ctx ends. It returns nil in both cases, and an error
// if the daemon can't be reached.
func (c *Client) Run(ctx context.Context, f Form) error {
	dialer := net.Dialer{Control: limitBuffers}
	conn, err := dialer.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c.conn = conn
	if err := f.play(c); err != nil {
		return nil // the daemon has closed the connection
	}
	_, _ = io.Copy(io.Discard, conn) // ends when the daemon closes the connection
	return nil
}

func (c *Client) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// head returns the head of a request without the empty line that ends it. padding is about how many bytes of further fields it has.
func (c *Client) head(method, class string, b Behavior, length, padding int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s /%s?%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", method, class, b.Query(), NewID(), c.Deadline.Milliseconds())
	switch {
	case length > 0:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", length)
	case length < 0:
		text.WriteString("Transfer-Encoding: chunked\r\n")
	}
	for i := 0; text.Len() < padding-100; i++ {
		fmt.Fprintf(&text, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 80))
	}
	return text.String()
}

// shortFieldHead returns a head of 3,000 fields of five bytes.
func (c *Client) shortFieldHead(isComplete bool) string {
	var text strings.Builder
	text.WriteString(c.head("GET", LookupClass, Behavior{}, 0, 0))
	for i := range 3000 {
		fmt.Fprintf(&text, "%c%c:\r\n", 'a'+i%26, 'a'+i/26%26)
	}
	if isComplete {
		text.WriteString("\r\n")
	}
	return text.String()
}

func playSlowHead(c *Client) error {
	for _, b := range []byte(c.head("GET", LookupClass, Behavior{}, 0, 4<<10)) {
		if err := c.write(string(b)); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return c.write("\r\n")
}

func classOf(method string) string {
	if method == http.MethodGet {
		return LookupClass
	}
	return DispatchClass
}

// request writes a request with a body of the given length, and reads its response with read, or as fast as it comes.
func (c *Client) request(method string, b Behavior, length, padding int, read func(io.Reader) error) error {
	text := c.head(method, classOf(method), b, length, padding) + "\r\n" + strings.Repeat("b", max(length, 0))
	if err := c.write(text); err != nil {
		return err
	}
	if read == nil {
		return nil
	}
	return read(c.conn)
}

// partialBody writes the beginning of a body.
func (c *Client) partialBody(length, written, padding int) error {
	text := c.head("POST", DispatchClass, Behavior{}, length, padding) + "\r\n"
	if err := c.write(text); err != nil {
		return err
	}
	for part := strings.Repeat("b", 64<<10); written > 0; written -= len(part) {
		if err := c.write(part[:min(written, len(part))]); err != nil {
			return err
		}
	}
	return nil
}

func playPartialChunks(c *Client) error {
	part := strings.Repeat("b", 16<<10)
	text := c.head("POST", DispatchClass, Behavior{}, -1, 0) + "\r\n"
	for range 20 {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return c.write(text)
}

// slowBody writes a body at a rate in bytes a second, and reads the response.
func (c *Client) slowBody(length, rate int) error {
	if err := c.write(c.head("POST", DispatchClass, Behavior{}, length, 0) + "\r\n"); err != nil {
		return err
	}
	part := strings.Repeat("b", max(rate*int(paceInterval)/int(time.Second), 1))
	for written := 0; written < length; written += len(part) {
		time.Sleep(paceInterval)
		if err := c.write(part[:min(len(part), length-written)]); err != nil {
			return err
		}
	}
	return nil
}

// slowReader requests a response of the given size and reads it at a rate in bytes a second, or not at all.
func (c *Client) slowReader(size, rate int, isChunked bool) error {
	return c.request("GET", Behavior{ResponseSize: size, IsChunked: isChunked}, 0, 0, func(from io.Reader) error {
		if rate == 0 {
			waitForEnd(c.conn)
			return nil
		}
		part := make([]byte, max(rate*int(paceInterval)/int(time.Second), 1))
		for {
			time.Sleep(paceInterval)
			if _, err := from.Read(part); err != nil {
				return err
			}
		}
	})
}

// pipelinedRequests is the number of requests that a client of the form "requests written at once" writes.
const pipelinedRequests = 200

func playPipeline(c *Client) error {
	var text strings.Builder
	for range pipelinedRequests {
		text.WriteString(c.head("GET", LookupClass, Behavior{Work: 20 * time.Millisecond}, 0, 0) + "\r\n")
	}
	return c.write(text.String())
}

// Answer is what a client got for one request.
type Answer struct {
	ID      string
	Status  int       // status of the response; 0: none came
	Body    string    // body, as far as it came
	Err     error     // why there is no complete response
	SentAt  time.Time // when the request's last byte was written; zero: it could not be written completely
	BeganAt time.Time // when the response's first byte came; zero: none came
	EndedAt time.Time // when the response's last byte came, or the connection or the wait ended
	// ClosesConnection says that the response ends the connection.
	ClosesConnection bool
}

// Took returns the time from the request's last byte to the end of the response, or of the wait for it.
func (a Answer) Took() time.Duration { return a.EndedAt.Sub(a.SentAt) }

// Request is a request at the level of bytes, on a connection of its own.
type Request struct {
	Class     string
	Length    int // bytes of the body
	Rate      int // bytes of the body written in a second; 0: at once
	IsChunked bool
	Behavior  Behavior      // how the endpoint treats the request
	Deadline  time.Duration // how long the client says that it waits
	Patience  time.Duration // how long it waits for the response after the last byte
}

// Send sends the request on a connection of its own and waits for its response.
func (r Request) Send(addr string) Answer {
	session, err := OpenSession(addr)
	if err != nil {
		return Answer{ID: NewID(), Err: err}
	}
	defer session.Close()
	return session.Send(r)
}

// Session is a client's connection that carries one request after another.
type Session struct {
	conn net.Conn
	in   *bufio.Reader
}

// OpenSession opens a connection to the daemon. Close ends it.
func OpenSession(addr string) (*Session, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Session{conn, bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (s *Session) Close() { s.conn.Close() }

// Send sends a request and waits for its response, which may come before the request was written.
func (s *Session) Send(r Request) Answer {
	c := &Client{Deadline: r.Deadline, conn: s.conn}
	method, length := http.MethodPost, r.Length
	if r.Class == LookupClass {
		method = http.MethodGet
	}
	if r.IsChunked {
		length = -1
	}
	head := c.head(method, r.Class, r.Behavior, length, 0) + "\r\n"
	_, id, _ := strings.Cut(head, "Req-Id: ")
	id, _, _ = strings.Cut(id, "\r\n")
	_ = s.conn.SetReadDeadline(time.Time{}) // this and the next fail only on a closed connection, on which the read fails, too
	answers := make(chan Answer, 1)
	go func() { answers <- s.readAnswer(id) }()
	err := r.write(c, head)
	sentAt := time.Now()
	_ = s.conn.SetReadDeadline(sentAt.Add(r.Patience))
	a := <-answers
	if err == nil {
		a.SentAt = sentAt
	}
	return a
}

// write writes the head and the body.
func (r Request) write(c *Client, head string) error {
	if err := c.write(head); err != nil {
		return err
	}
	size := r.Length
	switch {
	case r.Rate > 0:
		size = max(r.Rate*int(paceInterval)/int(time.Second), 1)
	case r.IsChunked:
		size = min(size, 32<<10)
	}
	part := strings.Repeat("b", size)
	for written := 0; written < r.Length; written += size {
		if r.Rate > 0 {
			time.Sleep(paceInterval)
		}
		text := part[:min(size, r.Length-written)]
		if r.IsChunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if err := c.write(text); err != nil {
			return err
		}
	}
	if r.IsChunked {
		return c.write("0\r\n\r\n")
	}
	return nil
}

// readAnswer reads a response. Its times are those at which the client's system received the bytes: a client among hundreds of others in
// one process may get the processor late.
func (s *Session) readAnswer(id string) (a Answer) {
	a.ID = id
	if a.Err = s.awaitByte(); a.Err != nil {
		a.EndedAt = time.Now()
		return a
	}
	a.BeganAt = s.receivedAt()
	defer func() { a.EndedAt = s.receivedAt() }()
	resp, err := http.ReadResponse(s.in, nil)
	if err != nil {
		a.Err = err
		return a
	}
	a.ClosesConnection = resp.Close
	var content []byte
	content, a.Err = io.ReadAll(resp.Body)
	a.Status, a.Body = resp.StatusCode, string(content)
	return a
}

// lateReadTime is how long a read is tried again whose deadline has passed although bytes were received.
const lateReadTime = time.Second

// awaitByte waits for the first byte of a response. The runtime reports a timeout also if bytes came before it and the goroutine was not
// scheduled.
func (s *Session) awaitByte() error {
	_, err := s.in.Peek(1)
	socket, isSocket := s.conn.(syscall.Conn)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !isSocket || socketinfo.UnreadBytes(socket) == 0 {
		return err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(lateReadTime)) // fails only on a closed connection, on which the read fails, too
	_, err = s.in.Peek(1)
	return err
}

// receivedAt returns when the latest bytes were received on the connection, or the present time if that is not known.
func (s *Session) receivedAt() time.Time {
	now := time.Now()
	socket, ok := s.conn.(syscall.Conn)
	if !ok {
		return now
	}
	state, err := socketinfo.Read(socket)
	if err != nil {
		return now
	}
	return now.Add(-state.SinceLastReceive())
}
