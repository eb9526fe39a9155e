package discovery

import (
	"bytes"
	"fmt"
	"io"
	"time"
)

// maxMessageBytes bounds the size of one message from the agent: a complete list, or one update of a watch.
const maxMessageBytes = 4 << 20

var errMessageTooLong = fmt.Errorf("%w: longer than %d bytes", errMalformedMessage, maxMessageBytes)

// messageReader passes the agent's messages to a JSON decoder, and resets the watchdog timer, which cancels the request, whenever bytes
// arrive. Once a message has begun, no pause within it may exceed the first-byte timeout, and the whole message must arrive within the
// idle timeout. Empty lines between messages are heartbeats and are not passed on.
type messageReader struct {
	io.Reader
	client           *AgentClient
	watchdog         *time.Timer // cancels the request when it fires
	hasReceived      bool        // any byte has arrived, including heartbeats
	isMidMessage     bool        // a message has begun and not ended
	messageStartedAt time.Time   // when the first byte of the current message arrived
	messageBytes     int         // bytes of the current message that have arrived
}

// Read implements io.Reader. It returns bytes of messages only, and waits through heartbeats.
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

// extendMessage adds n bytes that have arrived to the size of the current message. If no message is in progress, the bytes begin one.
// It returns an error if the message is then larger than maxMessageBytes.
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

// endMessage ends the current message. buffered is the text after the message that the decoder has already read, which may be the
// beginning of the next message.
func (r *messageReader) endMessage(buffered io.Reader) {
	r.isMidMessage = false
	r.watchdog.Reset(r.client.idleTimeout)
	rest, _ := io.ReadAll(buffered) // reading from the decoder's buffer cannot fail
	if len(bytes.TrimSpace(rest)) > 0 {
		_ = r.extendMessage(len(rest)) // cannot fail: these bytes were counted as part of the last message, which did not exceed maxMessageBytes
	}
}
