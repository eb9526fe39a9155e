// Package simwire reads and writes the simulator's line protocol: batches of events in, one reply a batch
// out. It translates and checks; it decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"tuliprock/balance"
)

// Handler receives the events of the batches, in order. Its methods may return an error to stop reading.
type Handler interface {
	Start(instance int, s balance.Settings) error
	Stop(instance int) error
	// Instance gives the receiver of one event.
	Instance(instance int) (balance.Events, error)
	// EndBatch is called when a batch has been read whole and its reply is due.
	EndBatch() error
}

const mostNames = 1 << 16 // kept for reuse

const maxLists = 16 // list numbers on the wire run from 0 to 15

// A Reader decodes batches.
type Reader struct {
	in    *bufio.Reader
	buf   []byte // holds a line that does not fit the reader's own buffer
	line  int
	parts []part // of the line in hand
	names map[string]string

	open     bool // within a batch
	now      time.Duration
	instance int
	started  bool // an instance was named in this batch
	lists    [maxLists]*[]balance.Endpoint
	filling  *[]balance.Endpoint
	missing  int // entries still to come for the list being filled

}

type part struct{ key, value []byte }

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), names: map[string]string{}}
}

// Run reads until the end of input, which it reports as nil, or the first error.
func (r *Reader) Run(h Handler) error {
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			if r.open {
				return fmt.Errorf("line %d: input ends within a batch", r.line)
			}
			return nil
		}
		if err == nil {
			err = r.handle(line, h)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
	}
}

// readLine returns the next line without its end. The bytes are good until the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.line++
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.buf = append(r.buf[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.buf = append(r.buf, line...)
		}
		line = r.buf
	}
	if err == io.EOF && len(line) > 0 {
		return nil, errors.New("the last line has no end")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

func (r *Reader) handle(line []byte, h Handler) error {
	name, rest, _ := bytes.Cut(line, []byte("\t"))
	if len(name) == 0 {
		if len(line) > 0 {
			return errors.New("a line without a message name")
		}
		return nil
	}
	if err := r.split(rest, string(name)); err != nil {
		return err
	}
	if r.missing > 0 && string(name) != "ENDPOINT" {
		return fmt.Errorf("%s where %d more ENDPOINT lines are due", name, r.missing)
	}
	if string(name) == "CLOCK" {
		if r.open {
			return errors.New("CLOCK within a batch")
		}
		now, err := r.micros("AtTimeUs", true)
		if err == nil && now < r.now {
			err = errors.New("CLOCK runs backwards")
		}
		r.open, r.started, r.now = true, false, now
		return err
	}
	if !r.open {
		return fmt.Errorf("%s outside a batch", name)
	}
	return r.message(name, h)
}

func (r *Reader) message(name []byte, h Handler) (err error) {
	switch string(name) {
	case "GO":
		r.open = false
		return h.EndBatch()
	case "SWITCH_TO":
		r.instance, err = r.integer("Sidecar", true)
		r.started = true
		return err
	case "LEDGER":
		return r.ledger()
	case "ENDPOINT":
		return r.endpoint()
	case "START", "SHUTDOWN", "REGISTRY", "CALL", "FLOWING", "ATTEMPT_END", "LEFT", "BELL", "CHECKED", "MESSAGE":
		if !r.started {
			return fmt.Errorf("%s before any SWITCH_TO", name)
		}
	default:
		return nil // a message of a later wire
	}
	switch string(name) {
	case "START":
		seed, err := r.unsigned("RandomSeed", true)
		if err != nil {
			return err
		}
		config, ok := r.get("Config")
		if !ok {
			return errors.New("START without Config")
		}
		s, err := ParseSettings(config)
		if err != nil {
			return err
		}
		s.Seed = seed
		return h.Start(r.instance, s.Settings)
	case "SHUTDOWN":
		return h.Stop(r.instance)
	}
	to, err := h.Instance(r.instance)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return r.event(string(name), to)
}

func (r *Reader) event(name string, to balance.Events) error {
	var p fields
	p.r = r
	switch name {
	case "REGISTRY":
		l := balance.List{}
		mode := p.text("Mode", true)
		p.integer("Gen", false)
		switch mode {
		case "X":
			l.Failed = true
		case "C", "F", "D":
			l.Complete = mode != "D"
			ref := p.integer("Ref", true)
			if p.err == nil && (ref < 0 || ref >= maxLists || r.lists[ref] == nil) {
				p.err = fmt.Errorf("REGISTRY names list %d, which was never given", ref)
			}
			if p.err == nil {
				l.Entries = *r.lists[ref]
			}
		default:
			p.fail("REGISTRY has an unknown Mode %q", mode)
		}
		if p.err == nil {
			to.EndpointList(r.now, l)
		}
	case "CALL":
		q := balance.Request{ID: p.requestID(), Class: p.word("Band", true), Tenant: p.word("Team", false),
			Deadline: p.micros("ValidUntilUs", true)}
		flags := p.integer("Attrs", false)
		q.Repeat = flags&2 != 0
		if p.err == nil {
			to.Request(r.now, q)
		}
	case "FLOWING":
		id, n := p.requestID(), p.integer("N", true)
		if p.err == nil {
			to.StreamStarted(r.now, id, n)
		}
	case "ATTEMPT_END":
		o := balance.Outcome{ID: p.requestID(), Attempt: p.integer("N", true), Endpoint: p.word("Endpoint", true),
			Result: p.result(), Took: p.micros("SpentUs", true), Final: p.integer("DoneFlag", false) != 0}
		if p.err == nil {
			to.Outcome(r.now, o)
		}
	case "LEFT":
		if id := p.requestID(); p.err == nil {
			to.ClientLeft(r.now, id)
		}
	case "BELL":
		p.integer("Mark", true)
		if p.err == nil {
			to.Timer(r.now)
		}
	case "CHECKED":
		o := balance.ProbeResult{Endpoint: p.word("Endpoint", true), Result: p.result(), Load: p.load()}
		if p.err == nil {
			to.Probed(r.now, o)
		}
	}
	return p.err
}

func (r *Reader) ledger() error {
	ref, err := r.integer("Ref", true)
	if err != nil {
		return err
	}
	n, err := r.integer("Hosts", true)
	if err != nil {
		return err
	}
	if ref < 0 || ref >= maxLists || n < 0 {
		return errors.New("LEDGER with a number out of range")
	}
	list := []balance.Endpoint{}
	r.lists[ref], r.filling, r.missing = &list, &list, n
	return nil
}

func (r *Reader) endpoint() error {
	if r.missing == 0 {
		return errors.New("ENDPOINT without a LEDGER that counts it")
	}
	p := fields{r: r}
	e := balance.Endpoint{ID: p.word("Endpoint", true), Zone: p.word("Zone", false), Kind: p.word("Sku", false), Cell: p.integer("Pack", false),
		Started: p.micros("LastStartUs", false)}
	switch phase := p.text("Phase", true); phase {
	case "ready":
		e.State = balance.Ready
	case "draining":
		e.State = balance.Draining
	case "gone":
		e.State = balance.Gone
	default:
		p.fail("ENDPOINT has an unknown Phase %q", phase)
	}
	r.missing--
	*r.filling = append(*r.filling, e)
	return p.err
}

// split cuts the rest of a line into its parts. Text fields run to the end of the line, tabs included.
func (r *Reader) split(rest []byte, name string) error {
	r.parts = r.parts[:0]
	for len(rest) > 0 {
		key, after, ok := bytes.Cut(rest, []byte("="))
		if !ok || len(key) == 0 || bytes.IndexByte(key, '\t') >= 0 {
			return fmt.Errorf("%s has a part that is not name=value", name)
		}
		value := after
		if name == "START" && string(key) == "Config" {
			rest = nil
		} else {
			value, rest, _ = bytes.Cut(after, []byte("\t"))
		}
		r.parts = append(r.parts, part{key, value})
	}
	return nil
}

func (r *Reader) get(key string) ([]byte, bool) {
	for i := range r.parts {
		if string(r.parts[i].key) == key {
			return r.parts[i].value, true
		}
	}
	return nil, false
}

func (r *Reader) unsigned(key string, required bool) (uint64, error) {
	v, ok := r.get(key)
	if !ok {
		if required {
			return 0, fmt.Errorf("%s is missing", key)
		}
		return 0, nil
	}
	if len(v) == 0 || len(v) > 20 {
		return 0, fmt.Errorf("%s=%.40q is not a number", key, v)
	}
	n := uint64(0)
	for _, c := range v {
		if c < '0' || c > '9' || n > (1<<64-1-uint64(c-'0'))/10 {
			return 0, fmt.Errorf("%s=%.40q is not a number", key, v)
		}
		n = n*10 + uint64(c-'0')
	}
	return n, nil
}

const maxMicros = int64(1<<63-1) / int64(time.Microsecond) // what a time.Duration can hold

func (r *Reader) micros(key string, required bool) (time.Duration, error) {
	n, err := r.unsigned(key, required)
	if err == nil && n > uint64(maxMicros) {
		err = fmt.Errorf("%s is too large a time", key)
	}
	return time.Duration(n) * time.Microsecond, err
}

func (r *Reader) integer(key string, required bool) (int, error) {
	n, err := r.unsigned(key, required)
	if err == nil && n > 1<<63-1 {
		err = fmt.Errorf("%s is too large", key)
	}
	return int(n), err
}

// fields reads several values of the line in hand and keeps the first error.
type fields struct {
	r   *Reader
	err error
}

func (p *fields) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

func (p *fields) keep(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *fields) integer(key string, required bool) int {
	n, err := p.r.integer(key, required)
	p.keep(err)
	return n
}

func (p *fields) micros(key string, required bool) time.Duration {
	d, err := p.r.micros(key, required)
	p.keep(err)
	return d
}

func (p *fields) bytes(key string, required bool) []byte {
	v, ok := p.r.get(key)
	if required && len(v) == 0 {
		if ok {
			p.fail("%s is empty", key)
		} else {
			p.fail("%s is missing", key)
		}
	}
	return v
}

func (p *fields) text(key string, required bool) string { return string(p.bytes(key, required)) }

func (p *fields) requestID() string { return p.text("Rid", true) }

// word reads a value from a small vocabulary, such as a class or an endpoint, without a new string each time.
func (p *fields) word(key string, required bool) string {
	v := p.bytes(key, required)
	if s, ok := p.r.names[string(v)]; ok {
		return s
	}
	s := string(v)
	if len(p.r.names) < mostNames {
		p.r.names[s] = s
	}
	return s
}

func (p *fields) result() balance.Result {
	switch v := p.bytes("StateCode", true); string(v) {
	case "Ok":
		return balance.OK
	case "Failed":
		return balance.Errored
	case "QueueFull":
		return balance.Full
	case "TimedOut":
		return balance.TimedOut
	case "ConnectError":
		return balance.ConnectFailed
	case "ResetByPeer":
		return balance.Reset
	case "Canceled":
		return balance.Canceled
	case "Ignored":
		return balance.NotSent
	default:
		p.fail("unknown StateCode %q", v)
		return balance.Errored
	}
}

// load reads a load report. The requests that an endpoint holds are its "active" figure, the waiting ones
// included.
func (p *fields) load() (l balance.Load) {
	rest := p.bytes("Load", false)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte(":"))
		x, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil {
			p.fail("Load has a part %.40q that is not name:value", pair)
			return balance.Load{}
		}
		if string(name) == "active" {
			l.Known, l.Held = true, x
		}
	}
	return l
}

// Now is the clock of the batch being read.
func (r *Reader) Now() time.Duration { return r.now }
