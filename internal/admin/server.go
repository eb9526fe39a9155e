package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	responseTimeout   = 900 * time.Millisecond // an answer is owed within 1 s
	lineTimeout       = 10 * time.Second       // a caller may take for its line, where there is room
	lingerTimeout     = 200 * time.Millisecond // a caller has to read its answer and close: a close on bytes that nobody read would take the answer with it
	maxLingerBytes    = 64 << 10               // bytes read of it meanwhile
	acceptRetryDelay  = 5 * time.Millisecond   // after an accept that failed
	acceptLogInterval = 10 * time.Second       // between two log lines about that
)

// Handlers is what the calls are passed on to. Each must return when ctx ends; they are called by many goroutines at once.
type Handlers struct {
	IsReady        func() bool                                                            // clients are taken
	WriteMetrics   func(ctx context.Context, w io.Writer) error                           // writes the figures
	WritePeers     func(w io.Writer) error                                                // writes who of the fleet is there
	WriteVersions  func(w io.Writer) error                                                // writes which version of what is agreed on is acted on
	HandleSettings func(ctx context.Context, more string, body []byte, w io.Writer) error // carries out what follows settings, and writes what came of it
	MaxBodyBytes   int                                                                    // bytes that may follow a line; 0: none
	SetEjected     func(ctx context.Context, id string, out bool) (string, error)         // takes an endpoint out, or back; says what became of it
}

// Server answers calls. No more than a stated number of connections are open at once: where there is no room, the oldest
// that has sent no whole call goes.
type Server struct {
	listener       net.Listener
	handlers       Handlers
	maxConnections int
	log            *slog.Logger

	mu              sync.Mutex
	openConnections int
	changed         sync.Cond // of a place that is free, or can be had
	idle            list.List // of net.Conn: no whole call has come, or it was answered; the oldest in front
	isClosed        bool
}

// New makes a Server of a listener, which it will close. most is how many connections may be open at once.
func New(l net.Listener, most int, d Handlers, log *slog.Logger) *Server {
	s := &Server{listener: l, handlers: d, maxConnections: max(most, 1), log: log}
	s.changed.L = &s.mu
	return s
}

// Addr is where operators call.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() {
	var spoke time.Time
	for {
		nc, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if time.Since(spoke) > acceptLogInterval {
				spoke = time.Now()
				s.log.Warn("operators' address", "err", err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		spot, ok := s.admit(nc)
		if !ok {
			nc.Close()
			return
		}
		go s.serveConnection(nc, spot)
	}
}

// Close ends the server, and the connections on which no call is being answered. It returns when all have ended.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	for s.openConnections > 0 {
		s.changed.Wait()
	}
	return err
}

// admit makes room for a connection and gives its place among the idle ones. Calls that are being answered are waited
// for: that takes answerTime at most.
func (s *Server) admit(nc net.Conn) (*list.Element, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.openConnections >= s.maxConnections && !s.isClosed {
		if oldest := s.idle.Front(); oldest != nil {
			s.idle.Remove(oldest).(net.Conn).Close() // its goroutine hears of it, and leaves
		}
		s.changed.Wait()
	}
	if s.isClosed {
		return nil, false
	}
	s.openConnections++
	return s.idle.PushBack(nc), true
}

// release gives a connection's place free.
func (s *Server) release(nc net.Conn, spot *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.Remove(spot)
	nc.Close()
	s.openConnections--
	s.changed.Broadcast()
}

// claim takes a connection out of the idle ones: its call has come. False: it has just been let go.
func (s *Server) claim(nc net.Conn, spot *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.idle.Len()
	s.idle.Remove(spot)
	return s.idle.Len() < before
}

// serveConnection reads one line and answers it. Half a line is never acted on: a cut id could be another endpoint's.
func (s *Server) serveConnection(nc net.Conn, spot *list.Element) {
	defer func() { s.release(nc, spot) }()
	_ = nc.SetReadDeadline(time.Now().Add(lineTimeout))
	read := bufio.NewReaderSize(nc, maxLineBytes)
	line, err := read.ReadSlice('\n')
	for err == nil && len(bytes.TrimSpace(line)) == 0 { // the time for it goes on
		line, err = read.ReadSlice('\n')
	}
	var c Command
	var body []byte
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		err = errLineTooLong
	case err != nil:
		return
	default:
		c, body, err = s.readCommand(line[:len(line)-1], read)
	}
	if !s.claim(nc, spot) {
		return
	}
	answer := failure(err)
	if err == nil {
		answer = s.execute(c, body)
	}
	_ = nc.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := nc.Write(answer); err != nil {
		return
	}
	s.linger(nc, &spot)
}

// linger lets the caller read its answer. Whoever needs the place meanwhile gets it.
func (s *Server) linger(nc net.Conn, spot **list.Element) {
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	*spot = s.idle.PushFront(nc)
	ended := s.isClosed
	s.changed.Broadcast()
	s.mu.Unlock()
	if ended {
		return
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(nc, maxLingerBytes))
}

// readCommand reads a call, with what follows its line. The time for the line is that for all of it; half of it is never acted on.
func (s *Server) readCommand(line []byte, from io.Reader) (Command, []byte, error) {
	c, err := ParseCommand(line)
	switch {
	case err != nil:
		return c, nil, err
	case c.BodyLength > s.handlers.MaxBodyBytes:
		return c, nil, fmt.Errorf("%d bytes may follow a line at most", s.handlers.MaxBodyBytes)
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(c.BodyLength)))
	if err != nil || len(body) < c.BodyLength {
		return c, nil, fmt.Errorf("%d of %d bytes have come", len(body), c.BodyLength)
	}
	return c, body, nil
}

// execute carries a call out.
func (s *Server) execute(c Command, body []byte) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	switch c.Verb {
	case VerbCheck:
		if !s.handlers.IsReady() {
			return failure(errors.New("this process does not take clients"))
		}
		return success("this process takes clients")
	case VerbVars:
		return multiLine(func(w io.Writer) error { return s.handlers.WriteMetrics(ctx, w) })
	case VerbPeers:
		return multiLine(s.handlers.WritePeers)
	case VerbSettings:
		return multiLine(func(w io.Writer) error { return s.handlers.HandleSettings(ctx, c.Arguments, body, w) })
	case VerbVersions:
		return multiLine(s.handlers.WriteVersions)
	}
	said, err := s.handlers.SetEjected(ctx, c.EndpointID, c.Verb == VerbSetDown)
	if err != nil {
		return failure(err)
	}
	return success(said)
}

// multiLine is an answer of lines, which ends with one that says so.
func multiLine(write func(w io.Writer) error) []byte {
	var text bytes.Buffer
	if err := write(&text); err != nil {
		return failure(err)
	}
	text.WriteString("EOT\n")
	return text.Bytes()
}

func success(text string) []byte { return fmt.Appendf(nil, "SUCCESS %s\n", text) }

func failure(err error) []byte { return fmt.Appendf(nil, "FAILURE %v\n", err) }
