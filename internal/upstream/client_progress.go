package upstream

import (
	"net"
	"sync"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/socketinfo"
)

// progressChecksPerWait is how often, in the time that the client's meter allows for a wait, clientProgress looks at what the client
// has received.
const progressChecksPerWait = 4

// clientProgress moves the write deadline of a client's connection while a part of a body is spliced to it. The part may take a client
// longer than one wait, although it keeps its minimum rate: the bytes that its kernel acknowledges count as they arrive, not only
// when the part has been written.
type clientProgress struct {
	conn  *net.TCPConn
	meter *body.Meter

	mu        sync.Mutex // guards the fields below, and meter until stop has returned
	timer     *time.Timer
	isStopped bool
	checkedAt time.Time // when the client's progress was last recorded
	acked     uint64    // bytes that the client's kernel had acknowledged then, since the connection began
	recorded  int64     // bytes of the part that were recorded in the meter
	deadline  time.Time // write deadline of the connection
}

// watchClientProgress sets the write deadline for a part that is spliced from now on, and keeps moving it until stop is called. Waits for
// the client are charged to it only after chargedFrom, since the part may wait for the endpoint until then.
func watchClientProgress(conn *net.TCPConn, meter *body.Meter, now, chargedFrom time.Time) (p *clientProgress, err error) {
	p = &clientProgress{conn: conn, meter: meter, checkedAt: chargedFrom, acked: bytesAcknowledged(conn)}
	if err := p.moveDeadline(now); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(p.checkInterval(), p.check)
	return p, nil
}

// moveDeadline sets the write deadline that the meter allows for a wait which begins now. p.mu is held, or nobody else knows p yet.
func (p *clientProgress) moveDeadline(now time.Time) error {
	p.deadline, _ = p.meter.Deadline(now)
	return p.conn.SetWriteDeadline(p.deadline)
}

// checkInterval returns the time until the next check.
func (p *clientProgress) checkInterval() time.Duration {
	return max(p.meter.MaxWait()/progressChecksPerWait, time.Millisecond)
}

// check records what the client has received since the last check, and moves the write deadline accordingly.
func (p *clientProgress) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopped {
		return
	}
	now := time.Now()
	acked := bytesAcknowledged(p.conn)
	received := max(int64(acked-p.acked), 0)
	p.meter.Record(int(received), max(now.Sub(p.checkedAt), 0))
	p.recorded += received
	p.acked = acked
	if now.After(p.checkedAt) {
		p.checkedAt = now
	}
	_ = p.moveDeadline(now) // fails only on a closed connection, on which the write fails too
	p.timer.Reset(p.checkInterval())
}

// stop ends the watch after n bytes of the part were written, records those that were not recorded yet, and reports whether the write
// deadline has passed. The meter may be used again when stop has returned.
func (p *clientProgress) stop(n int64) (deadlinePassed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isStopped = true
	p.timer.Stop()
	now := time.Now()
	p.meter.Record(int(max(n-p.recorded, 0)), max(now.Sub(p.checkedAt), 0))
	return !now.Before(p.deadline)
}

// bytesAcknowledged returns how many bytes the kernel of a connection's peer has acknowledged since the connection began, or 0 if that
// is not known.
func bytesAcknowledged(conn *net.TCPConn) uint64 {
	state, err := socketinfo.Read(conn)
	if err != nil {
		return 0
	}
	return state.BytesAcknowledged()
}
