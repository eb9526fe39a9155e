package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/tomlfile"
)

// Listener is a section [[listener]]: an address that clients connect to, and what a connection there may use.
type Listener struct {
	Name         string        `toml:"name"`
	Address      string        `toml:"address"`
	Connections  int           `toml:"connections"`  // open at a time at most
	HeadBytes    int           `toml:"head_bytes"`   // of a request line with its headers, at most
	BodyBytes    int64         `toml:"body_bytes"`   // of a request's body, at most
	HeadTimeout  time.Duration `toml:"head_timeout"` // until the head has arrived
	BodyTimeout  time.Duration `toml:"body_timeout"` // from then on until a buffered body has
	IdleTimeout  time.Duration `toml:"idle_timeout"` // between two requests
	WriteTimeout time.Duration `toml:"write_timeout"`
	Forwarded    string        `toml:"forwarded"`   // what becomes of forwarding headers: "set", "append", "drop" or "leave"
	RetryAfter   string        `toml:"retry_after"` // form of that header: "seconds" (RFC 9110) or "fraction"

	// flow_idle and flow_rate in the file: the longest wait for the client's next byte while a body streams, and the
	// bytes a second that the client must keep up (0: no minimum).
	StreamIdleTimeout time.Duration `toml:"flow_idle"`
	MinStreamRate     int64         `toml:"flow_rate"`

	Descriptor int `toml:"-"` // of a listening socket inherited from the platform; 0: the socket is opened

	RawTargets bool // targets are matched and forwarded unnormalized: the platform's contract, which no file can ask for
}

// Bounds and defaults of a listener. Times and sizes are those that the daemon was measured with on the platform.
const (
	defaultConnections = 500
	defaultHeadBytes   = 16 << 10
	defaultBodyBytes   = 64 << 10

	maxConnections = 1_000_000
	minHeadBytes   = 1 << 10
	maxHeadBytes   = 1 << 20
	maxBodyBytes   = 1 << 40
)

// Defaults for bodies that stream. The wait is that of a connection whose peer has to retransmit lost segments several
// times (RFC 6298 doubles 1 s); the rate is below that of the slowest links in service (GPRS, some 20 kbit/s).
const (
	defaultStreamIdleTimeout = 10 * time.Second
	defaultMinStreamRate     = 1 << 10 // bytes a second
)

// Values of forwarded and retry_after.
const (
	forwardedSet       = "set"
	forwardedAppend    = "append"
	forwardedDrop      = "drop"
	forwardedLeave     = "leave"
	retryAfterSeconds  = "seconds"
	retryAfterFraction = "fraction"
)

// defaultListener is a listener without name and address, with the limits of one that names none. Those of streaming
// bodies are not among them: the platform has its own.
func defaultListener() Listener {
	return Listener{
		Connections: defaultConnections, HeadBytes: defaultHeadBytes, BodyBytes: defaultBodyBytes,
		HeadTimeout: 1500 * time.Millisecond, BodyTimeout: time.Second,
		IdleTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		Forwarded: forwardedSet, RetryAfter: retryAfterSeconds,
	}
}

func (l *Listener) applyDefaults(at *tomlfile.File, table string) {
	fallback := defaultListener()
	setDefault(at, table+".connections", &l.Connections, fallback.Connections)
	setDefault(at, table+".head_bytes", &l.HeadBytes, fallback.HeadBytes)
	setDefault(at, table+".body_bytes", &l.BodyBytes, fallback.BodyBytes)
	setDefault(at, table+".head_timeout", &l.HeadTimeout, fallback.HeadTimeout)
	setDefault(at, table+".body_timeout", &l.BodyTimeout, fallback.BodyTimeout)
	setDefault(at, table+".idle_timeout", &l.IdleTimeout, fallback.IdleTimeout)
	setDefault(at, table+".write_timeout", &l.WriteTimeout, fallback.WriteTimeout)
	setDefault(at, table+".flow_idle", &l.StreamIdleTimeout, defaultStreamIdleTimeout)
	setDefault(at, table+".flow_rate", &l.MinStreamRate, defaultMinStreamRate)
	setIfEmpty(&l.Forwarded, fallback.Forwarded)
	setIfEmpty(&l.RetryAfter, fallback.RetryAfter)
}

func (f *File) checkListeners(at *tomlfile.File) error {
	if len(f.Listener) == 0 {
		return at.Errorf("listener", "must be given")
	}
	names, addresses := uniqueNames{}, uniqueNames{}
	for i := range f.Listener {
		if err := f.Listener[i].check(at, fmt.Sprintf("listener[%d]", i), names, addresses); err != nil {
			return err
		}
	}
	return nil
}

// check adds the listener's name and address to those of the listeners before it. Port 0 stands for any free port, so
// that several listeners may have it.
func (l *Listener) check(at *tomlfile.File, table string, names, addresses uniqueNames) error {
	forms := []string{forwardedSet, forwardedAppend, forwardedDrop, forwardedLeave}
	isOwnAddress := strings.HasSuffix(l.Address, ":0") || addresses.add(l.Address)
	return at.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", names.add(l.Name), "a name of its own"),
		tomlfile.Require("address", isAddress(l.Address), "host:port"),
		tomlfile.Require("address", isOwnAddress, "an address of its own"),
		tomlfile.Require("connections", l.Connections >= 1 && l.Connections <= maxConnections, "from 1 to 1000000"),
		tomlfile.Require("head_bytes", l.HeadBytes >= minHeadBytes && l.HeadBytes <= maxHeadBytes, "from 1024 to 1048576"),
		tomlfile.Require("body_bytes", l.BodyBytes >= 0 && l.BodyBytes <= maxBodyBytes, fmt.Sprintf("from 0 to %d", maxBodyBytes)),
		tomlfile.Require("head_timeout", l.HeadTimeout > 0, "over 0"),
		tomlfile.Require("body_timeout", l.BodyTimeout > 0, "over 0"),
		tomlfile.Require("idle_timeout", l.IdleTimeout > 0, "over 0"),
		tomlfile.Require("write_timeout", l.WriteTimeout > 0, "over 0"),
		tomlfile.Require("flow_idle", l.StreamIdleTimeout > 0, "over 0"),
		tomlfile.Require("flow_rate", l.MinStreamRate >= 0, "0 or more"),
		tomlfile.Require("forwarded", slices.Contains(forms, l.Forwarded), `"set", "append", "drop" or "leave"`),
		tomlfile.Require("retry_after", l.RetryAfter == retryAfterSeconds || l.RetryAfter == retryAfterFraction,
			`"seconds" or "fraction"`),
	})
}
