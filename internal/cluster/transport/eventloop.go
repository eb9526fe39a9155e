package transport

import (
	"time"

	"tuliprock/internal/cluster/swim"
)

const (
	// minViewInterval is the minimum time between two views that the event loop publishes for View in a cluster of
	// largeClusterMembers or more members, because building a view copies all members. In a smaller cluster each change is
	// published at once.
	minViewInterval     = time.Second / 10
	largeClusterMembers = 100 // minimum number of members of a cluster in which minViewInterval applies
	// maxSleep is the longest time for which the event loop waits for a message or a function to call before it handles the
	// output of the failure detector again.
	maxSleep = time.Hour
	// noContactWarningDelay is the time after the start at which a warning is logged if no message of another daemon has
	// been received.
	noContactWarningDelay = 10 * time.Second
	// maxChangeLogLines is the maximum number of log lines about member state changes in each changeLogInterval.
	maxChangeLogLines = 20
	changeLogInterval = time.Second // window of time in which at most maxChangeLogLines lines about member state changes are logged
)

// eventLoop is the state of the goroutine that owns the failure detector. No other goroutine may use its fields.
type eventLoop struct {
	transport    *Transport    // transport to which the event loop belongs
	node         *swim.Node    // failure detector, which only the event loop may use
	publishedAt  time.Duration // instant at which the event loop last stored a view for Transport.View
	packetBuffer []byte        // buffer in which each packet to be sent in a datagram is encoded

	logWindowStart     time.Duration // instant at which the current changeLogInterval began
	changesInLogWindow int           // member state changes since logWindowStart, whether logged or not
	hasWarnedNoContact bool          // whether the warning that no daemon of the cluster responds was logged
	loggedConflict     swim.Peer     // other process with this daemon's name that was logged last; zero value: none was logged
}

// runEventLoop passes received messages to the failure detector, runs the functions of callOnEventLoop, and calls the failure
// detector's Tick when it is due. After each of these it handles the failure detector's output. It returns when the transport
// ends.
func (t *Transport) runEventLoop(node *swim.Node) {
	l := &eventLoop{transport: t, node: node, packetBuffer: make([]byte, 0, MaxDatagramBytes)}
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
		l.handleOutput(t.Now())
		timer.Reset(l.sleepTime(t.Now()))
	}
}

// callOnEventLoop runs a function on the event loop's goroutine. It returns when the function has returned. If
// the transport has ended, it returns without running the function.
func (t *Transport) callOnEventLoop(call func(now time.Duration, node *swim.Node)) {
	done := make(chan struct{})
	select {
	case t.eventLoopCalls <- func(now time.Duration, node *swim.Node) { call(now, node); close(done) }:
		<-done
	case <-t.ctx.Done():
	}
}

// publish makes the failure detector's current view the one that View returns, and signals the change on the channel that
// ViewChanged returns.
func (t *Transport) publish(node *swim.Node) {
	view := node.View()
	t.view.Store(&view)
	select {
	case t.viewChanged <- struct{}{}:
	default:
	}
}

// sleepTime returns how long the event loop may wait for a message or a function to call, before a Tick is due or a view is to
// be published.
func (l *eventLoop) sleepTime(now time.Duration) time.Duration {
	next := l.node.NextTick()
	if l.hasUnpublishedView() {
		next = min(next, l.publishedAt+minViewInterval)
	}
	return min(max(next-now, 0), maxSleep)
}

// hasUnpublishedView reports whether the failure detector's view has changed since the last publish.
func (l *eventLoop) hasUnpublishedView() bool {
	return l.node.ViewNumber() != l.transport.View().Number
}

// handleOutput sends the messages that the failure detector has for other nodes, logs its member state changes, and
// publishes its view if that has changed and minViewInterval allows it.
func (l *eventLoop) handleOutput(now time.Duration) {
	for _, e := range l.node.TakeMessages() {
		l.send(&e)
	}
	for _, c := range l.node.TakeChanges() {
		l.logChange(now, c)
	}
	mayPublish := now-l.publishedAt >= minViewInterval || len(l.transport.View().Members) < largeClusterMembers
	if l.hasUnpublishedView() && mayPublish {
		l.publishedAt = now
		l.transport.publish(l.node)
	}
	l.logNameConflict()
	l.warnNoContact(now)
}

// send sends a message of the failure detector, in a datagram if the message fits and otherwise in a stream.
func (l *eventLoop) send(e *swim.Envelope) {
	t, options := l.transport, l.transport.options.Load()
	if !e.NeedsStream || len(e.Message.Updates) <= swim.MaxPiggybackedUpdates {
		l.packetBuffer = appendSwimPacket(l.packetBuffer[:0], options, t.lastSequence.Add(1), e.Message)
		if len(l.packetBuffer) <= MaxDatagramBytes {
			_ = t.sendDatagram(e.To, l.packetBuffer) // the failure detector tolerates lost messages
			return
		}
	}
	b := appendSwimPacket(make([]byte, streamHeaderBytes, 4096), options, t.lastSequence.Add(1), e.Message)
	_ = t.startStream(options, e.To, b) // the failure detector tolerates lost messages
}

// logChange logs a member state change, unless maxChangeLogLines have been logged in this changeLogInterval.
func (l *eventLoop) logChange(now time.Duration, c swim.Change) {
	log := l.transport.options.Load().Log
	if now-l.logWindowStart >= changeLogInterval {
		if l.changesInLogWindow > maxChangeLogLines {
			log.Warn("member state changes omitted from the log", "count", l.changesInLogWindow-maxChangeLogLines)
		}
		l.logWindowStart, l.changesInLogWindow = now, 0
	}
	if l.changesInLogWindow++; l.changesInLogWindow > maxChangeLogLines {
		return
	}
	previousState := c.From.String()
	if c.IsNew {
		previousState = "unknown"
	}
	log.Info("member state changed", "member", c.Name, "address", c.Addr, "from", previousState, "to", c.To.String(),
		"incarnation", c.Incarnation)
}

// logNameConflict logs that another process uses this daemon's name, unless it is the process that was logged last.
func (l *eventLoop) logNameConflict() {
	other, responds, yields := l.node.NameConflict()
	if !responds || other == l.loggedConflict {
		return
	}
	l.loggedConflict = other
	log := l.transport.options.Load().Log.With("address", other.Addr)
	if yields {
		log.Error("a daemon of this name that started earlier is in the fleet; this daemon stays out of the fleet until the other one is gone")
	} else {
		log.Error("a daemon of this name that started later tried to join the fleet; it has to stay out of the fleet")
	}
}

// warnNoContact logs a warning if noContactWarningDelay has passed since the start and no other daemon of the cluster has sent
// a message. It logs the warning only once.
func (l *eventLoop) warnNoContact(now time.Duration) {
	options := l.transport.options.Load()
	if !l.hasWarnedNoContact && !l.node.HasContact() && len(options.Join) > 0 && now-clockOrigin >= noContactWarningDelay {
		l.hasWarnedNoContact = true
		options.Log.Warn("no member of the fleet responds", "join", options.Join)
	}
}
