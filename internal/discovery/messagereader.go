package discovery

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// pieces is what comes from discovery, on its way to who reads its messages. It keeps the watchdog: a message that has begun must go
// on as soon as a first word has to come, and end as soon as a watch has to breathe. Empty lines between messages are breaths, and go
// no further.
type pieces struct {
	io.Reader
	d        *AgentClient
	watchdog *time.Timer
	spoke    bool      // something has come
	halfway  bool      // a message has begun and not ended
	began    time.Time // the present message
	size     int       // bytes of it
}

var errTooLong = fmt.Errorf("%w: it is too long", errMalformed)

// Read implements io.Reader.
func (p *pieces) Read(b []byte) (int, error) {
	for {
		n, err := p.Reader.Read(b)
		p.spoke = p.spoke || n > 0
		switch {
		case p.halfway || len(bytes.TrimSpace(b[:n])) > 0:
			if long := p.goesOn(n); long != nil {
				return n, long
			}
			return n, err
		case err != nil:
			return 0, err
		}
		p.watchdog.Reset(p.d.silence)
	}
}

// goesOn takes note of so many bytes more of a message.
func (p *pieces) goesOn(n int) error {
	if !p.halfway {
		p.halfway, p.began, p.size = true, time.Now(), 0
	}
	if p.size += n; p.size > maxList {
		return errTooLong
	}
	if n > 0 {
		p.watchdog.Reset(min(p.d.patient, p.d.silence-time.Since(p.began)))
	}
	return nil
}

// ended takes note of a message's end, and of what came behind it.
func (p *pieces) ended(behind io.Reader) {
	p.halfway = false
	p.watchdog.Reset(p.d.silence)
	if rest, _ := io.ReadAll(behind); len(bytes.TrimSpace(rest)) > 0 { // a buffer's reader has no other error
		_ = p.goesOn(len(rest)) // it has been read, so it is bounded
	}
}
