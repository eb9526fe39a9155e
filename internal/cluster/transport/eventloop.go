package transport

import (
	"time"

	"tuliprock/internal/cluster/swim"
)

const (
	// minViewInterval is between two views in a cluster of smallClusterMembers and more, where each view is a copy of many
	// members. Smaller ones publish each change at once.
	minViewInterval     = time.Second / 10
	smallClusterMembers = 100
	// maxSleep bounds a timer for which the detector has nothing due.
	maxSleep = time.Hour
	// noContactWarningDelay is after the start, while none of the addresses to join has answered.
	noContactWarningDelay = 10 * time.Second
	// maxChangeLogLines bounds the log lines about members in each changeLogInterval.
	maxChangeLogLines = 20
	changeLogInterval = time.Second
)

// eventLoop is the state of the goroutine that owns the failure detector. Nothing else may use its fields.
type eventLoop struct {
	transport    *Transport
	node         *swim.Node
	publishedAt  time.Duration // when the latest view was published
	packetBuffer []byte        // reused for each datagram

	logWindowStart     time.Duration // start of the running changeLogInterval
	changesInLogWindow int           // since then, those left out included
	hasWarnedNoContact bool
	loggedConflict     swim.Peer // the latest holder of this daemon's name that was logged
}

// runEventLoop feeds the failure detector messages, calls and ticks, until the transport ends.
func (t *Transport) runEventLoop(node *swim.Node) {
	o := &eventLoop{transport: t, node: node, packetBuffer: make([]byte, 0, MaxDatagramBytes)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-t.inbox:
			node.Receive(t.Now(), m)
		case call := <-t.eventLoopCalls:
			call(t.Now(), node)
		case <-timer.C:
			if now := t.Now(); now >= node.NextTick() {
				node.Tick(now)
			}
		}
		o.handleOutput(t.Now())
		timer.Reset(o.sleepTime(t.Now()))
	}
}

// callOnEventLoop runs a function on the owner's goroutine. It returns when that is done, or the transport has ended.
func (t *Transport) callOnEventLoop(call func(now time.Duration, node *swim.Node)) {
	done := make(chan struct{})
	select {
	case t.eventLoopCalls <- func(now time.Duration, node *swim.Node) { call(now, node); close(done) }:
		<-done
	case <-t.ctx.Done():
	}
}

// publish makes the detector's view the one that View returns.
func (t *Transport) publish(node *swim.Node) {
	view := node.View()
	t.view.Store(&view)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// sleepTime returns for how long the owner has nothing to do, unless a message or a call arrives.
func (o *eventLoop) sleepTime(now time.Duration) time.Duration {
	next := o.node.NextTick()
	if o.hasUnpublishedView() {
		next = min(next, o.publishedAt+minViewInterval)
	}
	return min(max(next-now, 0), maxSleep)
}

func (o *eventLoop) hasUnpublishedView() bool {
	return o.node.ViewNumber() != o.transport.View().Number
}

// handleOutput sends, logs and publishes what the detector's latest step resulted in.
func (o *eventLoop) handleOutput(now time.Duration) {
	for _, e := range o.node.TakeMessages() {
		o.send(&e)
	}
	for _, c := range o.node.TakeChanges() {
		o.logChange(now, c)
	}
	isDue := now-o.publishedAt >= minViewInterval || len(o.transport.View().Members) < smallClusterMembers
	if o.hasUnpublishedView() && isDue {
		o.publishedAt = now
		o.transport.publish(o.node)
	}
	o.logNameConflict()
	o.warnNoContact(now)
}

// send sends a message of the detector, in a datagram where it fits.
func (o *eventLoop) send(e *swim.Envelope) {
	t, options := o.transport, o.transport.options.Load()
	if !e.Stream || len(e.Message.Updates) <= swim.MaxPiggyback {
		o.packetBuffer = appendSwimPacket(o.packetBuffer[:0], options, t.sequence.Add(1), e.Message)
		if len(o.packetBuffer) <= MaxDatagramBytes {
			_ = t.sendDatagram(e.To, o.packetBuffer) // the detector notices what is lost
			return
		}
	}
	b := appendSwimPacket(make([]byte, streamHeaderBytes, 4096), options, t.sequence.Add(1), e.Message)
	_ = t.startStream(options, e.To, b) // likewise
}

// logChange logs a member's change of state, within maxChangeLogLines.
func (o *eventLoop) logChange(now time.Duration, c swim.Change) {
	log := o.transport.options.Load().Log
	if now-o.logWindowStart >= changeLogInterval {
		if o.changesInLogWindow > maxChangeLogLines {
			log.Warn("member state changes left out of the log", "count", o.changesInLogWindow-maxChangeLogLines)
		}
		o.logWindowStart, o.changesInLogWindow = now, 0
	}
	if o.changesInLogWindow++; o.changesInLogWindow > maxChangeLogLines {
		return
	}
	was := c.From.String()
	if c.IsNew {
		was = "unknown"
	}
	log.Info("member state changed", "member", c.Name, "address", c.Addr, "from", was, "to", c.To.String(),
		"incarnation", c.Incarnation)
}

// logNameConflict logs another process that uses this daemon's name, once for each.
func (o *eventLoop) logNameConflict() {
	other, answers, yields := o.node.NameConflict()
	if !answers || other == o.loggedConflict {
		return
	}
	o.loggedConflict = other
	log := o.transport.options.Load().Log.With("address", other.Addr)
	if yields {
		log.Error("an elder daemon of this name is in the fleet: this one stays out of it until that one has gone")
	} else {
		log.Error("a younger daemon of this name is about: it is to stay out of the fleet")
	}
}

// warnNoContact logs once that none of the addresses to join has answered.
func (o *eventLoop) warnNoContact(now time.Duration) {
	options := o.transport.options.Load()
	if !o.hasWarnedNoContact && !o.node.HasContact() && len(options.Join) > 0 && now-clockOrigin >= noContactWarningDelay {
		o.hasWarnedNoContact = true
		options.Log.Warn("nobody of the fleet answers", "join", options.Join)
	}
}
