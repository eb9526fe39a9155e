// Package admin serves the operators' address: a TCP connection carries one command on one line, gets one response and
// is closed. The package parses commands and limits connections; what a command does is the business of the Handlers.
//
// A Server owns its listener and its connections. Serve runs on the caller's goroutine, and each connection on one of
// its own; all have ended when Close returns. A command is executed only if its line, and the body that it announces,
// came complete. A response follows within about two seconds, or the connection is closed.
package admin

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// lineTimeout is how long a client may take to send its command, as long as no other one needs the connection.
	lineTimeout = 10 * time.Second
	// acceptRetryDelay follows an accept that failed, for example for want of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptLogInterval is the time between two log lines about failed accepts.
	acceptLogInterval = 10 * time.Second
)

// A client has lingerTimeout to read its response and close, and may send maxLingerBytes meanwhile: a close on bytes that
// nobody has read makes the kernel send a reset, which can destroy the response.
const (
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// Server executes commands. The number of open connections is limited: at the limit, a new connection replaces the
// oldest one that has not sent a complete command.
type Server struct {
	listener       net.Listener
	handlers       Handlers
	maxConnections int
	log            *slog.Logger

	mu              sync.Mutex
	openConnections int
	changed         sync.Cond // a connection has ended, or become idle
	idle            list.List // of net.Conn that may be closed for another's sake, the first in front
	isClosed        bool
}

// connection is a client's, with its entry in the list of idle ones, which may have been removed.
type connection struct {
	net.Conn
	idleEntry *list.Element
}

// New makes a Server on a listener, which it closes in Close. At most maxConnections connections, or one, are open at
// once. Serve must be called for the Server to do anything.
func New(l net.Listener, maxConnections int, handlers Handlers, log *slog.Logger) *Server {
	s := &Server{listener: l, handlers: handlers, maxConnections: max(maxConnections, 1), log: log}
	s.changed.L = &s.mu
	return s
}

// Addr returns the address on which commands are taken.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections and returns after Close.
func (s *Server) Serve() {
	var lastLogged time.Time
	for {
		nc, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if time.Since(lastLogged) > acceptLogInterval {
				lastLogged = time.Now()
				s.log.Warn("admin accept failed", "error", err)
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		c, ok := s.admit(nc)
		if !ok {
			nc.Close()
			return
		}
		go s.serveConnection(c)
	}
}

// Close stops accepting, closes the connections on which no command is being executed, and returns when all
// connections have ended. The error is that of closing the listener.
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

// admit waits until a connection may be open and counts it as an idle one. Where there is no idle one to close it waits
// for a command that is being executed: that takes responseTimeout at most. It returns false after Close.
func (s *Server) admit(nc net.Conn) (*connection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.openConnections >= s.maxConnections && !s.isClosed {
		if oldest := s.idle.Front(); oldest != nil {
			s.idle.Remove(oldest).(net.Conn).Close() // its goroutine's read fails, and releases it
		}
		s.changed.Wait()
	}
	if s.isClosed {
		return nil, false
	}
	s.openConnections++
	return &connection{Conn: nc, idleEntry: s.idle.PushBack(nc)}, true
}

// release closes a connection and lets another one take its place.
func (s *Server) release(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.Remove(c.idleEntry)
	c.Close()
	s.openConnections--
	s.changed.Broadcast()
}

// markBusy takes a connection out of the idle ones, since its command has come. It returns false if the connection has just
// been closed for another's sake.
func (s *Server) markBusy(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.idle.Len()
	s.idle.Remove(c.idleEntry)
	return s.idle.Len() < before
}

// serveConnection reads one command and responds to it.
func (s *Server) serveConnection(c *connection) {
	defer s.release(c)
	c.SetReadDeadline(time.Now().Add(lineTimeout))
	command, body, err := s.readCommand(bufio.NewReaderSize(c, maxLineBytes))
	if errors.Is(err, errIncompleteLine) || !s.markBusy(c) {
		return
	}
	response := failureResponse(err)
	if err == nil {
		response = s.execute(command, body)
	}
	c.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := c.Write(response); err != nil {
		return
	}
	s.linger(c)
}

// errIncompleteLine is why a connection gets no response: its client has closed it, or was too slow.
var errIncompleteLine = errors.New("the line is not complete")

// readCommand reads the first line that is not empty, and the body that it announces. An incomplete line is never
// parsed: an ID that was cut could be another endpoint's. All of it must come before the connection's read deadline.
func (s *Server) readCommand(in *bufio.Reader) (Command, []byte, error) {
	line, err := in.ReadSlice('\n')
	for err == nil && len(bytes.TrimSpace(line)) == 0 {
		line, err = in.ReadSlice('\n')
	}
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return Command{}, nil, errLineTooLong
	case err != nil:
		return Command{}, nil, errIncompleteLine
	}
	c, err := ParseCommand(line[:len(line)-1])
	switch {
	case err != nil:
		return c, nil, err
	case c.BodyLength > s.handlers.MaxBodyBytes:
		return c, nil, fmt.Errorf("%d bytes may follow a line at most", s.handlers.MaxBodyBytes)
	}
	body, err := io.ReadAll(io.LimitReader(in, int64(c.BodyLength)))
	if err != nil || len(body) < c.BodyLength {
		return c, nil, fmt.Errorf("%d of %d bytes have come", len(body), c.BodyLength)
	}
	return c, body, nil
}

// linger lets the client read its response. The connection counts as idle meanwhile, and is the first to be closed for
// another's sake.
func (s *Server) linger(c *connection) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	c.idleEntry = s.idle.PushFront(c.Conn)
	isClosed := s.isClosed
	s.changed.Broadcast()
	s.mu.Unlock()
	if isClosed {
		return
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxLingerBytes)) // the command is done, whatever the client does now
}
