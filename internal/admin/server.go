// Package admin serves the admin address, to which operators send commands. Each TCP connection carries one command on one line,
// gets one response and is closed. The package parses commands and limits the number of connections; Handlers execute the commands.
//
// A Server owns its listener and its connections. Serve runs on the goroutine of its caller, and each connection on a goroutine
// of its own; all connections have ended when Close returns. A command is executed only if its complete line, and its complete
// body if it has one, were received. The response follows within about two seconds of their receipt, or the
// connection is closed.
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
	// commandTimeout is the maximum time for a client to send its command, including the body. At the limit of open connections, a
	// connection may be closed earlier in favor of a new one.
	commandTimeout = 10 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when the process has no file descriptors left.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts.
	acceptLogInterval = 10 * time.Second
)

// After the response, the server waits for the client to close the connection and discards what the client still sends. Closing
// a connection with unread bytes makes the kernel send a reset, which can destroy the response before the client reads it.
const (
	lingerTimeout  = 200 * time.Millisecond // maximum time after the response to wait until the client closes the connection
	maxLingerBytes = 64 << 10               // maximum number of bytes that are read from the client after the response and discarded
)

// Server accepts connections and executes their commands. The number of open connections is limited: at the limit, a new
// connection replaces the oldest one that has not sent a complete command.
type Server struct {
	listener       net.Listener
	handlers       Handlers
	maxConnections int
	log            *slog.Logger

	mu                 sync.Mutex
	openCount          int
	connectionsChanged sync.Cond // wakes admit and Close when a connection has ended, or may be closed in favor of a new one
	idle               list.List // connections (net.Conn) that may be closed in favor of new ones; the first element is closed first
	isClosed           bool
}

// connection is a client's connection, for one command.
type connection struct {
	net.Conn
	idleEntry *list.Element // the connection's entry in Server.idle; not in the list while the command is executed, or after an eviction
}

// New returns a Server for a listener, which Close closes. At most maxConnections connections, but at least one, can be open at
// the same time. The Server does nothing until Serve is called.
func New(l net.Listener, maxConnections int, handlers Handlers, log *slog.Logger) *Server {
	s := &Server{listener: l, handlers: handlers, maxConnections: max(maxConnections, 1), log: log}
	s.connectionsChanged.L = &s.mu
	return s
}

// Addr returns the address on which the Server accepts connections.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections and handles each on a goroutine of its own. It returns after Close was called.
func (s *Server) Serve() {
	var lastLoggedAt time.Time
	for {
		nc, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if time.Since(lastLoggedAt) > acceptLogInterval {
				lastLoggedAt = time.Now()
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

// Close closes the listener and the connections on which no command is being executed, and returns when all connections have
// ended. It returns the error of closing the listener.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isClosed = true
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(net.Conn).Close()
	}
	for s.openCount > 0 {
		s.connectionsChanged.Wait()
	}
	return err
}

// admit waits until one more connection may be open, and adds nc to the idle ones. At the limit it closes the first idle
// connection; if there is none, it waits for the end of a command, whose execution takes at most responseTimeout. It returns
// false after Close.
func (s *Server) admit(nc net.Conn) (*connection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.openCount >= s.maxConnections && !s.isClosed {
		if oldest := s.idle.Front(); oldest != nil {
			s.idle.Remove(oldest).(net.Conn).Close() // the read of the connection's goroutine then fails, and the goroutine calls release
		}
		s.connectionsChanged.Wait()
	}
	if s.isClosed {
		return nil, false
	}
	s.openCount++
	return &connection{Conn: nc, idleEntry: s.idle.PushBack(nc)}, true
}

// release closes a connection, so that the method admit may accept another one.
func (s *Server) release(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.Remove(c.idleEntry)
	c.Close()
	s.openCount--
	s.connectionsChanged.Broadcast()
}

// markBusy removes a connection whose command was received from the idle connections. It returns false if the connection has just
// been closed in favor of a new one.
func (s *Server) markBusy(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idleCountBefore := s.idle.Len()
	s.idle.Remove(c.idleEntry)
	return s.idle.Len() < idleCountBefore
}

// serveConnection reads one command, executes it and writes the response.
func (s *Server) serveConnection(c *connection) {
	defer s.release(c)
	c.SetReadDeadline(time.Now().Add(commandTimeout))
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

// maxEmptyLines is the maximum number of empty lines before a command. A client that sends them at full speed would keep the only
// processor busy.
const maxEmptyLines = 16

var errTooManyEmptyLines = fmt.Errorf("more than %d empty lines come before the command", maxEmptyLines)

// errIncompleteLine means that the client has closed the connection or was too slow. Such a connection gets no response.
var errIncompleteLine = errors.New("the line is not complete")

// readCommand reads the first line that is not empty and, if the command has one, the body that follows. The connection's read
// deadline limits both. An incomplete line is never parsed, since a truncated ID could be that of another endpoint.
func (s *Server) readCommand(in *bufio.Reader) (Command, []byte, error) {
	line, err := in.ReadSlice('\n')
	for emptyLines := 0; err == nil && len(bytes.TrimSpace(line)) == 0; emptyLines++ {
		if emptyLines == maxEmptyLines {
			return Command{}, nil, errTooManyEmptyLines
		}
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
		return c, nil, fmt.Errorf("%d of %d body bytes were received", len(body), c.BodyLength)
	}
	return c, body, nil
}

// linger waits for the client to read its response and close the connection. Until then the connection counts as idle, and is the
// first to be closed in favor of a new one.
func (s *Server) linger(c *connection) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	s.mu.Lock()
	c.idleEntry = s.idle.PushFront(c.Conn)
	isClosed := s.isClosed
	s.connectionsChanged.Broadcast()
	s.mu.Unlock()
	if isClosed {
		return
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c, maxLingerBytes)) // an error is ignored, since the command was executed and its response was written
}
