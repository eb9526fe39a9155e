// Package discovery follows the list of endpoints. It passes on what it hears and decides nothing.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"tuliprock/balance"
)

const (
	membersPath = "/catalog/members"
	maxList     = 4 << 20 // bytes of a list or a line of changes
	// A watch breathes every 2 s. What one misses that has fallen silent counts as told 6 s later, and is sent to for 0.5 s more: two
	// breaths are missed before it is given up, and two further calls in vain leave more than half a second.
	watchSilence = 4300 * time.Millisecond
	askPushed    = 400 * time.Millisecond  // for the first word of an answer: an agent on this machine answers at once, and what it
	askQueued    = 2500 * time.Millisecond // hears at its return counts at once; a service that is asked works through calls in turn
	retryLeast   = 50 * time.Millisecond   // after silence: a call that waits when discovery returns is answered at once, a gap is not
	retryMost    = 400 * time.Millisecond  // after what can't be read
	complainGap  = 10 * time.Second        // between two log lines about discovery
)

// Member is an endpoint as discovery lists it.
type Member struct {
	ID        string        `json:"id"`
	Addr      string        `json:"addr"`
	Zone      string        `json:"zone"`
	Kind      string        `json:"kind"`
	Cell      int           `json:"cell"`
	StateName string        `json:"state"`
	StartedMs int64         `json:"started_ms"`
	State     balance.State `json:"-"`
}

// ListUpdate is a message from discovery: the whole list, or what has changed.
type ListUpdate struct {
	Version *int64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

var stateNames = map[string]balance.State{"Ready": balance.Ready, "Terminating": balance.Draining, "Gone": balance.Gone}

// ParseListUpdate reads and checks a message from discovery. One bad entry spoils the message.
func ParseListUpdate(text []byte) (ListUpdate, error) {
	var m ListUpdate
	if err := json.Unmarshal(text, &m); err != nil {
		return ListUpdate{}, err
	}
	if m.Version == nil {
		return ListUpdate{}, errors.New("version: missing")
	}
	if m.Servers == nil { // must not pass for a list on which nobody is left
		return ListUpdate{}, errors.New("servers: missing")
	}
	for i := range m.Servers {
		s := &m.Servers[i]
		var ok bool
		if s.State, ok = stateNames[s.StateName]; !ok {
			return ListUpdate{}, fmt.Errorf("state: %q of %q is unknown", s.StateName, s.ID)
		}
		if s.ID == "" {
			return ListUpdate{}, errors.New("id: missing")
		}
		if s.State == balance.Gone {
			continue
		}
		if err := CheckAddress("addr", s.Addr); err != nil {
			return ListUpdate{}, err
		}
	}
	return m, nil
}

// CheckAddress tells whether an address is host:port with a number for a port. The error names the field.
func CheckAddress(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing", field)
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%s: port %q is not a number up to 65535", field, port)
	}
	return nil
}

// AgentClient follows the list of endpoints.
type AgentClient struct {
	addr    string
	onAsk   bool             // only a Subscribe starts a watch, and its end is reported
	asked   chan struct{}    // a Subscribe waits here
	moves   chan string      // the latest address to move to waits here
	version *int64           // of the latest message; nil: the whole list is wanted
	Deliver func(ListUpdate) // takes each message, in order
	Failed  func()           // takes the end of a watch, where discovery is asked
	log     *slog.Logger
	client  *http.Client
	silence time.Duration // after which a watch is given up
	patient time.Duration // how long the first word of an answer is waited for
	spokeAt time.Time
}

// NewAgentClient makes a Client of the discovery at addr. version is that of the list already known; nil: the whole list is wanted.
// Where onAsk is true discovery tells nothing unless asked. Deliver and Failed must be set before Run.
func NewAgentClient(addr string, version *int64, onAsk bool, log *slog.Logger) *AgentClient {
	d := &AgentClient{addr: addr, version: version, onAsk: onAsk, log: log, silence: watchSilence, patient: askPushed,
		asked: make(chan struct{}, 1), moves: make(chan string, 1),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if onAsk {
		d.patient = askQueued
	}
	return d
}

// SwitchAgent leaves the present address for another. It does not block; a move that waits gives way to this one. It must
// not be called by two at once.
func (d *AgentClient) SwitchAgent(addr string) {
	select {
	case <-d.moves:
	default:
	}
	d.moves <- addr
}

// Subscribe asks for a watch. It does not block.
func (d *AgentClient) Subscribe() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// Run follows discovery until ctx ends. A move ends the watch at once and asks for the whole list at the new
// address: what was missed meanwhile can't be known there. The old list stands until it comes.
func (d *AgentClient) Run(ctx context.Context) {
	due := !d.onAsk // a watch is wanted, without a further Subscribe
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		ended := make(chan bool, 1)
		go func() { ended <- d.stay(here, due) }()
		select {
		case <-ctx.Done():
			leave()
			<-ended
		case addr := <-d.moves:
			leave()
			due = <-ended
			if addr != d.addr {
				d.addr, d.version = addr, nil
			}
		}
	}
}

// stay keeps a watch at the present address until ctx ends, and tells whether one was wanted then. A watch that
// breaks leaves the old list standing; the next one asks for what has changed since.
func (d *AgentClient) stay(ctx context.Context, due bool) bool {
	gap := retryLeast
	for {
		if !due {
			select {
			case <-ctx.Done():
				return false
			case <-d.asked:
			}
		}
		heard, err := d.follow(ctx)
		if ctx.Err() != nil {
			return true
		}
		d.complain(err)
		if d.onAsk {
			due = false
			d.Failed()
			continue
		}
		if gap = min(2*gap, retryMost); heard || !errors.Is(err, errMalformed) {
			gap = retryLeast
		}
		sleep(ctx, time.Duration(float64(gap)*(0.5+rand.Float64()))) // jitter: all sidecars lose their watch together
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// errMalformed is why a message was not taken.
var errMalformed = errors.New("malformed message")

// complain logs, but not more often than of use.
func (d *AgentClient) complain(err error) {
	if time.Since(d.spokeAt) > complainGap {
		d.spokeAt = time.Now()
		d.log.Warn("discovery: watch ended", "err", err)
	}
}

// follow keeps one watch, after a whole list if one is wanted, and tells whether it brought anything. A watch begins with what
// has changed, or says within a breath that nothing has: one that opens and says nothing is not waited for as long as one that
// has spoken, unless the whole list has just come.
func (d *AgentClient) follow(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(d.patient, cancel)
	defer watchdog.Stop()
	first := d.patient
	if d.version == nil {
		if err := d.list(ctx, watchdog); err != nil {
			return false, err
		}
		heard, first = true, d.silence
		watchdog.Reset(d.patient)
	}
	body, err := d.get(ctx, "?watch=1&after="+strconv.FormatInt(*d.version, 10))
	if err != nil {
		return heard, err
	}
	defer body.Close()
	watchdog.Reset(first)
	in := &pieces{Reader: body, d: d, watchdog: watchdog}
	messages := json.NewDecoder(in)
	for {
		var text json.RawMessage
		if err = messages.Decode(&text); err != nil {
			break
		}
		in.ended(messages.Buffered())
		if err := d.take(text); err != nil {
			return true, err
		}
	}
	switch {
	case in.halfway: // what it said is not known, but it was said
		d.version = nil
		return heard || in.spoke, fmt.Errorf("watch: %w: %w", errMalformed, err)
	case !in.spoke: // whatever it would have said is asked for
		d.version = nil
	case err == io.EOF:
		err = errors.New("ended by discovery")
	}
	return heard || in.spoke, fmt.Errorf("watch: %w", err)
}

// list gets the whole list once.
func (d *AgentClient) list(ctx context.Context, watchdog *time.Timer) error {
	body, err := d.get(ctx, "")
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(&pieces{Reader: body, d: d, watchdog: watchdog})
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return d.take(text)
}

func (d *AgentClient) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+membersPath+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s%s: %s", membersPath, query, resp.Status)
	}
	return resp.Body, nil
}

// take passes on one message. After one that can't be read, or changes to a list older than ours, something may
// have been missed: the whole list is asked for anew.
func (d *AgentClient) take(text []byte) error {
	m, err := ParseListUpdate(text)
	if err == nil && !m.Full && (d.version == nil || *m.Version < *d.version) {
		err = fmt.Errorf("version: %d does not follow", *m.Version)
	}
	if err != nil {
		d.version = nil
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	d.version = m.Version
	d.Deliver(m)
	return nil
}
