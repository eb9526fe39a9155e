package discovery

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// maxMessageBytes bounds a message of the agent: a complete list, or one update of a watch.
const maxMessageBytes = 4 << 20

var errMessageTooLong = fmt.Errorf("%w: it is too long", errMalformed)

// messageReader reads a response of the agent for the decoder of its messages, and resets the watchdog that cancels the request. A
// message that has begun must make progress within the first byte timeout and end within the idle timeout. Empty lines between
// messages are heartbeats, and are not passed to the decoder.
type messageReader struct {
	io.Reader
	client           *AgentClient
	watchdog         *time.Timer
	hasReceived      bool // a byte, be it of a heartbeat
	isMidMessage     bool
	messageStartedAt time.Time
	messageBytes     int // of the present message, so far
}

// Read implements io.Reader.
func (r *messageReader) Read(b []byte) (int, error) {
	for {
		n, err := r.Reader.Read(b)
		r.hasReceived = r.hasReceived || n > 0
		switch {
		case r.isMidMessage || len(bytes.TrimSpace(b[:n])) > 0:
			if err := r.extendMessage(n); err != nil {
				return n, err
			}
			return n, err
		case err != nil:
			return 0, err
		}
		r.watchdog.Reset(r.client.idleTimeout)
	}
}

// extendMessage counts n further bytes of the present message, or the first ones of the next.
func (r *messageReader) extendMessage(n int) error {
	if !r.isMidMessage {
		r.isMidMessage, r.messageStartedAt, r.messageBytes = true, time.Now(), 0
	}
	if r.messageBytes += n; r.messageBytes > maxMessageBytes {
		return errMessageTooLong
	}
	if n > 0 {
		r.watchdog.Reset(min(r.client.firstByteTimeout, r.client.idleTimeout-time.Since(r.messageStartedAt)))
	}
	return nil
}

// endMessage notes the end of a message. buffered is what the decoder has read beyond it: it may begin the next message.
func (r *messageReader) endMessage(buffered io.Reader) {
	r.isMidMessage = false
	r.watchdog.Reset(r.client.idleTimeout)
	rest, _ := io.ReadAll(buffered) // reading from the decoder's buffer cannot fail
	if len(bytes.TrimSpace(rest)) > 0 {
		_ = r.extendMessage(len(rest)) // cannot exceed the bound: the buffer's bytes were counted when they were read
	}
}
