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
	answerTime = 900 * time.Millisecond // an answer is owed within 1 s
	lineTime   = 10 * time.Second       // a caller may take for its line, where there is room
	lingerTime = 200 * time.Millisecond // a caller has to read its answer and close: a close on bytes that nobody read would take the answer with it
	lingerMost = 64 << 10               // bytes read of it meanwhile
	acceptRest = 5 * time.Millisecond   // after an accept that failed
	complain   = 10 * time.Second       // between two log lines about that
)

// Daemon is what the calls are passed on to. Each must return when ctx ends; they are called by many goroutines at once.
type Daemon struct {
	Ready    func() bool                                                            // clients are taken
	Vars     func(ctx context.Context, w io.Writer) error                           // writes the figures
	Peers    func(w io.Writer) error                                                // writes who of the fleet is there
	Versions func(w io.Writer) error                                                // writes which version of what is agreed on is acted on
	Settings func(ctx context.Context, more string, body []byte, w io.Writer) error // carries out what follows settings, and writes what came of it
	MostBody int                                                                    // bytes that may follow a line; 0: none
	Bar      func(ctx context.Context, id string, out bool) (string, error)         // takes an endpoint out, or back; says what became of it
}

// Server answers calls. No more than a stated number of connections are open at once: where there is no room, the oldest
// that has sent no whole call goes.
type Server struct {
	l    net.Listener
	d    Daemon
	most int
	log  *slog.Logger

	mu    sync.Mutex
	open  int
	left  sync.Cond // of a place that is free, or can be had
	idle  list.List // of net.Conn: no whole call has come, or it was answered; the oldest in front
	ended bool
}

// New makes a Server of a listener, which it will close. most is how many connections may be open at once.
func New(l net.Listener, most int, d Daemon, log *slog.Logger) *Server {
	s := &Server{l: l, d: d, most: max(most, 1), log: log}
	s.left.L = &s.mu
	return s
}

// Addr is where operators call.
func (s *Server) Addr() net.Addr { return s.l.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() {
	var spoke time.Time
	for {
		nc, err := s.l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if time.Since(spoke) > complain {
				spoke = time.Now()
				s.log.Warn("operators' address", "err", err)
			}
			time.Sleep(acceptRest)
			continue
		}
		spot, ok := s.enter(nc)
		if !ok {
			nc.Close()
			return
		}
		go s.serve(nc, spot)
	}
}

// Close ends the server, and the connections on which no call is being answered. It returns when all have ended.
func (s *Server) Close() error {
	err := s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	for s.open > 0 {
		s.left.Wait()
	}
	return err
}

// enter makes room for a connection and gives its place among the idle ones. Calls that are being answered are waited
// for: that takes answerTime at most.
func (s *Server) enter(nc net.Conn) (*list.Element, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open >= s.most && !s.ended {
		if oldest := s.idle.Front(); oldest != nil {
			s.idle.Remove(oldest).(net.Conn).Close() // its goroutine hears of it, and leaves
		}
		s.left.Wait()
	}
	if s.ended {
		return nil, false
	}
	s.open++
	return s.idle.PushBack(nc), true
}

// leave gives a connection's place free.
func (s *Server) leave(nc net.Conn, spot *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.Remove(spot)
	nc.Close()
	s.open--
	s.left.Broadcast()
}

// busy takes a connection out of the idle ones: its call has come. False: it has just been let go.
func (s *Server) busy(nc net.Conn, spot *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.idle.Len()
	s.idle.Remove(spot)
	return s.idle.Len() < before
}

// serve reads one line and answers it. Half a line is never acted on: a cut id could be another endpoint's.
func (s *Server) serve(nc net.Conn, spot *list.Element) {
	defer func() { s.leave(nc, spot) }()
	_ = nc.SetReadDeadline(time.Now().Add(lineTime))
	read := bufio.NewReaderSize(nc, maxLine)
	line, err := read.ReadSlice('\n')
	for err == nil && len(bytes.TrimSpace(line)) == 0 { // the time for it goes on
		line, err = read.ReadSlice('\n')
	}
	var c Call
	var body []byte
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		err = errTooLong
	case err != nil:
		return
	default:
		c, body, err = s.read(line[:len(line)-1], read)
	}
	if !s.busy(nc, spot) {
		return
	}
	answer := failure(err)
	if err == nil {
		answer = s.answer(c, body)
	}
	_ = nc.SetWriteDeadline(time.Now().Add(answerTime))
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
	ended := s.ended
	s.left.Broadcast()
	s.mu.Unlock()
	if ended {
		return
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(nc, lingerMost))
}

// read reads a call, with what follows its line. The time for the line is that for all of it; half of it is never acted on.
func (s *Server) read(line []byte, from io.Reader) (Call, []byte, error) {
	c, err := Parse(line)
	switch {
	case err != nil:
		return c, nil, err
	case c.Body > s.d.MostBody:
		return c, nil, fmt.Errorf("%d bytes may follow a line at most", s.d.MostBody)
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(c.Body)))
	if err != nil || len(body) < c.Body {
		return c, nil, fmt.Errorf("%d of %d bytes have come", len(body), c.Body)
	}
	return c, body, nil
}

// answer carries a call out.
func (s *Server) answer(c Call, body []byte) []byte {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	switch c.Word {
	case Check:
		if !s.d.Ready() {
			return failure(errors.New("this process does not take clients"))
		}
		return success("this process takes clients")
	case Vars:
		return lines(func(w io.Writer) error { return s.d.Vars(ctx, w) })
	case Peers:
		return lines(s.d.Peers)
	case Settings:
		return lines(func(w io.Writer) error { return s.d.Settings(ctx, c.More, body, w) })
	case Versions:
		return lines(s.d.Versions)
	}
	said, err := s.d.Bar(ctx, c.ID, c.Word == SetDown)
	if err != nil {
		return failure(err)
	}
	return success(said)
}

// lines is an answer of lines, which ends with one that says so.
func lines(write func(w io.Writer) error) []byte {
	var text bytes.Buffer
	if err := write(&text); err != nil {
		return failure(err)
	}
	text.WriteString("EOT\n")
	return text.Bytes()
}

func success(text string) []byte { return fmt.Appendf(nil, "SUCCESS %s\n", text) }

func failure(err error) []byte { return fmt.Appendf(nil, "FAILURE %v\n", err) }
