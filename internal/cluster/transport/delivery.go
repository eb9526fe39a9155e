package transport

import (
	"fmt"
	"slices"
	"strings"

	"tuliprock/internal/cluster/swim"
)

// Messages returns the channel of messages that other daemons sent with Send. At most messageQueueCapacity wait in it; what
// arrives beyond that is dropped and counted. A message is delivered only if the view has its sender's very process as
// the member of that name: a second process of the same name is ignored.
func (t *Transport) Messages() <-chan Message { return t.messages }

// Send sends a message to the member of a name. An error means that it was not sent, ErrUnknownMember that the view has no
// such member. No error does not mean that it arrives: a sender who needs to know must have it acknowledged. Send does not
// wait for the receiver, and body may be reused when it has returned.
func (t *Transport) Send(name string, kind byte, body []byte) error {
	options := t.options.Load()
	receiver, ok := t.member(name)
	if !ok {
		return fmt.Errorf("%s: %w", name, ErrUnknownMember)
	}
	m := Message{From: options.Name, RunID: t.generation, Kind: kind, Body: body}
	b := appendMessagePacket(make([]byte, streamHeaderBytes, MaxDatagramBytes), options, t.sequence.Add(1), &m)
	size := len(b) - streamHeaderBytes
	switch {
	case size <= MaxDatagramBytes:
		return t.sendDatagram(receiver.Addr, b[streamHeaderBytes:])
	case size > maxStreamBytes:
		return fmt.Errorf("message of %d bytes to %s: longer than %d bytes", len(body), name, maxStreamBytes)
	}
	return t.startStream(options, receiver.Addr, b)
}

// member looks up a name in the latest view.
func (t *Transport) member(name string) (swim.Member, bool) {
	members := t.View().Members
	i, ok := slices.BinarySearchFunc(members, name, func(m swim.Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return swim.Member{}, false
	}
	return members[i], true
}

// receive counts a packet and delivers what it carries, or drops it. b may be reused when it has returned.
func (t *Transport) receive(b []byte, maxUpdates int) {
	if err := t.deliver(b, maxUpdates); err != nil {
		t.dropped.count(err)
		return
	}
	t.received.Add(1)
}

// deliver authenticates a packet and queues what it carries. The error is the reason to drop it.
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
	if m, ok := t.member(p.message.From); !ok || m.Generation != p.message.RunID {
		return errUnknownSender
	}
	return enqueue(t.messages, *p.message)
}

// isFirstReceipt notes a packet and reports whether it had not been received before.
func (t *Transport) isFirstReceipt(p packet) bool {
	t.replaysMu.Lock()
	defer t.replaysMu.Unlock()
	return t.replays.accept(p.generation, p.sequence)
}

// enqueue puts a value in a queue without waiting.
func enqueue[T any](queue chan<- T, value T) error {
	select {
	case queue <- value:
		return nil
	default:
		return errQueueFull
	}
}
