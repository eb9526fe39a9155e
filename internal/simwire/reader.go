package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"tuliprock/balance"
)

// Handler receives the decoded messages of a Reader in the order of the input. If a method returns an error, Reader.Run
// ends with that error.
type Handler interface {
	// Start creates the balancer of an instance, which is a simulated sidecar, with the settings s.
	Start(instance int, s balance.Settings) error
	// Stop ends the balancer of an instance (a simulated sidecar).
	Stop(instance int) error
	// Instance returns the balancer that receives the events for an instance (a simulated sidecar).
	Instance(instance int) (balance.Events, error)
	// EndBatch is called after the last message of a batch, when the simulator expects the reply.
	EndBatch() error
}

// readBufferBytes is the size of the input buffer. Longer lines, such as a START message with its settings, are copied to longLine.
const readBufferBytes = 1 << 16

// Reader decodes batches of events and calls a Handler. It is not safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	longLine   []byte  // copy of the last line longer than readBufferBytes
	lineNumber int     // number of the last line read, from 1
	message    message // parsed form of the last line read

	isBatchOpen bool          // whether the batch that the last CLOCK message began has not ended yet
	now         time.Duration // simulated time in the last CLOCK message
	instance    int           // number of the simulated sidecar in the last SWITCH_TO message, which gets the events that follow
	hasInstance bool          // whether the current batch has had a SWITCH_TO message
	lists       endpointLists
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferBytes), message: message{interned: map[string]string{}}}
}

// Now returns the simulated time of the last batch begun, which its CLOCK message gives; 0 before the first batch.
func (r *Reader) Now() time.Duration { return r.now }

// Run reads batches and calls h until the input ends. It returns nil if the input ends after a complete batch, and otherwise
// the first error with its line number.
func (r *Reader) Run(h Handler) error {
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			if r.isBatchOpen {
				return fmt.Errorf("line %d: input ends within a batch", r.lineNumber)
			}
			return nil
		}
		if err == nil {
			err = r.handleLine(line, h)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
	}
}

// readLine returns the next line without its line break. The bytes are valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.lineNumber++
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	if err == io.EOF && len(line) > 0 {
		return nil, errors.New("the last line does not end with a line break")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// handleLine parses a line, checks that its message is allowed at this point, and handles it. Empty lines are ignored.
func (r *Reader) handleLine(line []byte, h Handler) error {
	m := &r.message
	if err := m.parse(line); err != nil || len(m.name) == 0 {
		return err
	}
	if r.lists.entriesDue > 0 && string(m.name) != "ENDPOINT" {
		return fmt.Errorf("%s where %d more ENDPOINT lines are due", m.name, r.lists.entriesDue)
	}
	if string(m.name) == "CLOCK" {
		return r.beginBatch()
	}
	if !r.isBatchOpen {
		return fmt.Errorf("%s outside a batch", m.name)
	}
	return r.handleMessage(h)
}

// beginBatch handles a CLOCK message, which begins a batch and gives the batch's simulated time.
func (r *Reader) beginBatch() error {
	if r.isBatchOpen {
		return errors.New("CLOCK within a batch")
	}
	now := r.message.microseconds("AtTimeUs", required)
	if now < r.now {
		r.message.fail("CLOCK runs backwards")
	}
	r.isBatchOpen, r.hasInstance, r.now = true, false, now
	return r.message.err
}

// handleMessage handles a message within a batch. Unknown messages are ignored, since a later version of the protocol may have
// them.
func (r *Reader) handleMessage(h Handler) error {
	m := &r.message
	switch string(m.name) {
	case "GO":
		r.isBatchOpen = false
		return h.EndBatch()
	case "SWITCH_TO":
		r.instance, r.hasInstance = m.integer("Sidecar", required), true
		return m.err
	case "LEDGER":
		return r.lists.beginList(m)
	case "ENDPOINT":
		return r.lists.addEntry(m)
	}
	decode, isEvent := eventDecoders[string(m.name)]
	isStart, isStop := string(m.name) == "START", string(m.name) == "SHUTDOWN"
	if !isEvent && !isStart && !isStop {
		return nil
	}
	if !r.hasInstance {
		return fmt.Errorf("%s before any SWITCH_TO", m.name)
	}
	switch {
	case isStart:
		return r.startInstance(h)
	case isStop:
		return h.Stop(r.instance)
	}
	receiver, err := h.Instance(r.instance)
	if err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	decode(r, receiver)
	return m.err
}

// startInstance handles a START message: the Handler creates the balancer of a simulated sidecar from the message's settings.
func (r *Reader) startInstance(h Handler) error {
	seed := r.message.unsigned("RandomSeed", required)
	if r.message.err != nil {
		return r.message.err
	}
	config, ok := r.message.lookup("Config")
	if !ok {
		return errors.New("START without Config")
	}
	s, err := ParseSettings(config)
	if err != nil {
		return err
	}
	s.Seed = seed
	return h.Start(r.instance, s.Settings)
}
