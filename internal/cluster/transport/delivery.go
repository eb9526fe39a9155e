package transport

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"tuliprock/internal/cluster/swim"
)

// Messages returns the channel of messages that other daemons sent with Send. The channel holds at most messageQueueCapacity
// messages; further messages are dropped and counted. If two processes have the same name, only messages of the process that is
// a member in this daemon's latest view are delivered; those of the other process are dropped.
func (t *Transport) Messages() <-chan Message { return t.messages }

// Send sends a message to the member with the given name. An error means that the message was not sent; it is ErrUnknownMember
// if this daemon's view of the cluster has no such member. A nil error does not mean that the message arrives: a caller that
// needs delivery must have the receiver acknowledge the message. Send does not wait for the receiver, and body may be reused
// when Send has returned.
func (t *Transport) Send(name string, kind byte, body []byte) error {
	options := t.options.Load()
	receiver, ok := t.member(name)
	if !ok {
		return fmt.Errorf("%s: %w", name, ErrUnknownMember)
	}
	m := Message{From: options.Name, Generation: t.generation, Kind: kind, Body: body}
	b := appendMessagePacket(make([]byte, streamHeaderBytes, MaxDatagramBytes), options, t.lastSequence.Add(1), &m)
	size := len(b) - streamHeaderBytes
	switch {
	case size <= MaxDatagramBytes:
		return t.sendDatagram(receiver.Addr, b[streamHeaderBytes:])
	case size > maxStreamBytes:
		return fmt.Errorf("message of %d bytes to %s: longer than %d bytes", len(body), name, maxStreamBytes)
	}
	return t.startStream(options, receiver.Addr, b)
}

// member returns the member with a name from the latest view, whose members are sorted by name.
func (t *Transport) member(name string) (swim.Member, bool) {
	members := t.View().Members
	i, ok := slices.BinarySearchFunc(members, name, func(m swim.Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return swim.Member{}, false
	}
	return members[i], true
}

// Contacts returns the names of the other members that are alive or suspect, and the number of addresses in Options.Join, other than
// this daemon's own, that no known member has.
func (t *Transport) Contacts() (names []string, unreachedCount int) {
	options := t.options.Load()
	isReached := map[netip.AddrPort]bool{options.Listen: true, options.Advertise: true}
	for _, m := range t.View().Members {
		isReached[m.Addr] = true
		if m.Name != options.Name && m.State.IsPresent() {
			names = append(names, m.Name)
		}
	}
	for _, addr := range options.Join {
		if !isReached[addr] {
			unreachedCount++
		}
	}
	return names, unreachedCount
}

// receive delivers the message in the packet b, or drops the packet, and counts the packet as received or dropped. It drops a
// message of the failure detector with more than maxUpdates updates. b may be reused when receive has returned.
func (t *Transport) receive(b []byte, maxUpdates int) {
	if err := t.deliver(b, maxUpdates); err != nil {
		t.dropped.count(err)
		return
	}
	t.received.Add(1)
}

// deliver authenticates the packet b and queues the message in it for the event loop or for the users of Messages. An
// error is the reason to drop the packet.
func (t *Transport) deliver(b []byte, maxUpdates int) error {
	p, err := openPacket(b, t.options.Load(), maxUpdates)
	if err != nil {
		return err
	}
	if !t.isFirstReceipt(p) {
		return errReplayed
	}
	if p.message == nil {
		return enqueue(t.inbox, p.swimMessage)
	}
	if m, ok := t.member(p.message.From); !ok || m.Generation != p.message.Generation {
		return errUnknownSender
	}
	return enqueue(t.messages, *p.message)
}

// isFirstReceipt records a packet in the replay filter, and reports whether the packet is received for the first time.
func (t *Transport) isFirstReceipt(p packet) bool {
	t.replayFilterMu.Lock()
	defer t.replayFilterMu.Unlock()
	return t.replayFilter.accept(p.generation, p.sequence)
}

// enqueue adds a value to a queue without waiting. It returns errQueueFull if the queue is full.
func enqueue[T any](queue chan<- T, value T) error {
	select {
	case queue <- value:
		return nil
	default:
		return errQueueFull
	}
}
