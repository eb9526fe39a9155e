package body

import "time"

const (
	// maxClientSendBuffer is how many bytes of a body the system of a client may hold that the client has written and that have not
	// arrived yet. It is twice the largest send buffer of Linux's default settings (tcp_wmem).
	maxClientSendBuffer = 8 << 20
	// maxReadAhead is how many bytes net/http may have read from the connection that were not read from the body yet.
	maxReadAhead = 4 << 10
)

// ClientConnection tells what is known of the connection on which a client sends a body.
type ClientConnection interface {
	// WaitedUntil returns when the last read ended that had to wait for the client; zero if none had to.
	WaitedUntil() time.Time
	// UnreadBytes returns how many bytes have arrived on the connection that were not read from it yet.
	UnreadBytes() int
}

// ClientUnfinishedAt returns the latest time at which the client had certainly not written the body's last byte. The client may have
// written it right after that time, although the body has not arrived, since the systems of both sides buffer bytes that were not read:
// while an endpoint takes a body slowly, nothing shows how much the client has written. The time for which the client waits for its
// response may therefore count from then.
func (u *Upload) ClientUnfinishedAt(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isComplete && u.isCertainlyUnfinished() {
		u.unfinishedAt = now
	}
	u.recordWait()
	return u.unfinishedAt
}

// isCertainlyUnfinished reports whether the client has certainly not written the body's last byte yet. u.mu is held.
func (u *Upload) isCertainlyUnfinished() bool {
	if u.Connection == nil {
		return true
	}
	missing := u.Size - u.receivedBytes // meaningless if the size is not known
	if u.Size >= 0 && missing <= maxReadAhead && !u.isReading {
		return false
	}
	unread := int64(u.Connection.UnreadBytes())
	if unread == 0 { // all that the client has written was read
		return u.Size >= 0 || u.isReading
	}
	return u.Size >= 0 && missing-unread > maxClientSendBuffer
}

// recordWait moves unfinishedAt on to the last read that had to wait for the client. u.mu is held.
func (u *Upload) recordWait() {
	if u.Connection == nil {
		return
	}
	if waitedUntil := u.Connection.WaitedUntil(); waitedUntil.After(u.unfinishedAt) {
		u.unfinishedAt = waitedUntil
	}
}
