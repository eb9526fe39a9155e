package discovery

import (
	"bytes"
	"io"
)

// messages cuts a watch into its messages. One is a JSON object on a line, or on several: lists may come indented. What begins with
// anything else ends with its line. An empty line between messages is one, too: the watch breathes. It checks nothing but where an
// object ends. The zero value but for waits is ready, for one stream.
type messages struct {
	waits   func(anew bool) // is told of each piece after which a message has not ended; anew: it is the message's first
	seen    int             // bytes of the present message that were looked at: those that come in pieces are not gone through again and again
	depth   int             // braces that are open
	inText  bool            // within a string
	escaped bool            // after a backslash in one
}

// split is a bufio.SplitFunc. Half a message at the end of the stream is none.
func (m *messages) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	blank := len(data) - len(bytes.TrimLeft(data, " \t\r"))
	if m.seen == 0 && (blank == len(data) || data[blank] != '{') {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return 0, nil, nil
		}
		return end + 1, data[:end], nil
	}
	for i, c := range data[m.seen:] {
		if m.step(c) {
			at := m.seen + i + 1
			*m = messages{waits: m.waits}
			rest := data[at:]
			if line := bytes.TrimLeft(rest, " \t\r"); len(line) > 0 && line[0] == '\n' { // its own line's end is no breath
				at += len(rest) - len(line) + 1
			}
			return at, data[:at], nil
		}
	}
	anew := m.seen == 0
	if m.seen = len(data); !atEOF {
		m.waits(anew)
	}
	return 0, nil, nil
}

// halfway tells whether a message has begun and not ended.
func (m *messages) halfway() bool { return m.seen > 0 }

// step takes a byte and tells whether it ends the object.
func (m *messages) step(c byte) (ends bool) {
	switch {
	case m.escaped:
		m.escaped = false
	case m.inText:
		m.escaped, m.inText = c == '\\', c != '"'
	case c == '"':
		m.inText = true
	case c == '{':
		m.depth++
	case c == '}':
		m.depth--
		return m.depth == 0
	}
	return false
}

// inPieces tells of each piece that is read.
type inPieces struct {
	io.Reader
	came func()
}

// Read implements io.Reader.
func (p inPieces) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.came()
	}
	return n, err
}
