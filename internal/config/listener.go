package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/tomlfile"
)

// Listener is a section [[listener]] of an operators' file: an address that clients connect to, and the limits of connections to it.
type Listener struct {
	Name             string        `toml:"name"`
	Address          string        `toml:"address"`       // host:port to listen on
	MaxConnections   int           `toml:"connections"`   // maximum number of open client connections
	MaxHeadBytes     int           `toml:"head_bytes"`    // maximum size in bytes of a request line with its headers
	MaxBodyBytes     int64         `toml:"body_bytes"`    // maximum size in bytes of a request body
	HeadTimeout      time.Duration `toml:"head_timeout"`  // time limit for the arrival of a request's head
	BodyTimeout      time.Duration `toml:"body_timeout"`  // time limit for the arrival of a buffered body, after the head
	IdleTimeout      time.Duration `toml:"idle_timeout"`  // maximum time between two requests on a connection
	WriteTimeout     time.Duration `toml:"write_timeout"` // time limit for sending a response
	Forwarded        string        `toml:"forwarded"`     // handling of forwarding headers: "set", "append", "drop" or "leave"
	RetryAfterFormat string        `toml:"retry_after"`   // format of the Retry-After header: "seconds" (whole seconds, RFC 9110) or "fraction" (with decimals)

	StreamIdleTimeout time.Duration `toml:"flow_idle"` // longest wait for the client's next byte while a body streams
	MinStreamRate     int64         `toml:"flow_rate"` // minimum rate of a client's streaming body in bytes per second; 0 for no minimum

	// UploadIdleTimeout is the longest wait for the client's next byte while it sends a streaming body; 0 means StreamIdleTimeout.
	UploadIdleTimeout time.Duration `toml:"-"`

	// HeadMemoryBytes is the memory for heads of over 4 KiB, of all connections together; 0 means no limit.
	HeadMemoryBytes int `toml:"-"`

	Descriptor int `toml:"-"` // descriptor of a listening socket inherited from the platform; 0 to open a socket

	// UsesRawTargets is whether request targets are matched and forwarded without normalization. If it is set, Content-Type is the only
	// header of an endpoint's response that is forwarded to the client. It is set only in the listener from the platform's
	// configuration: the platform requires it.
	UsesRawTargets bool
}

// Default values and bounds of the fields of a Listener. The listener from the platform's configuration has these defaults too, except
// for the fields that platformListener sets.
const (
	defaultConnections = 500
	defaultHeadBytes   = 16 << 10
	defaultBodyBytes   = 64 << 10

	maxConnections = 1_000_000
	minHeadBytes   = 1 << 10
	maxHeadBytes   = 1 << 20
	maxBodyBytes   = 1 << 40
)

// Defaults for streaming bodies. The idle timeout is enough for a peer to retransmit lost segments several times (RFC 6298
// starts with 1 s and doubles it). The minimum rate of a body is below the rate of the slowest links in use (GPRS, about 20 kbit/s).
const (
	defaultStreamIdleTimeout = 10 * time.Second
	defaultMinStreamRate     = 1 << 10 // bytes per second, for a peer that sends or receives a body
)

// Values of the fields forwarded (forwarding headers are set, appended to, dropped or left unchanged) and retry_after (the
// Retry-After header is written in whole seconds, or in seconds with decimals).
const (
	forwardedModeSet                  = "set"
	forwardedModeAppend               = "append"
	forwardedModeDrop                 = "drop"
	forwardedModeLeave                = "leave"
	retryAfterFormatWholeSeconds      = "seconds"
	retryAfterFormatFractionalSeconds = "fraction"
)

// defaultListener returns a listener with default limits and without a name and an address. The limits of streaming bodies
// are not set, since the platform has other defaults.
func defaultListener() Listener {
	return Listener{
		MaxConnections: defaultConnections, MaxHeadBytes: defaultHeadBytes, MaxBodyBytes: defaultBodyBytes,
		HeadTimeout: 1500 * time.Millisecond, BodyTimeout: time.Second,
		IdleTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		Forwarded: forwardedModeSet, RetryAfterFormat: retryAfterFormatWholeSeconds,
	}
}

func (l *Listener) applyDefaults(tomlFile *tomlfile.File, table string) {
	defaults := defaultListener()
	setDefault(tomlFile, table+".connections", &l.MaxConnections, defaults.MaxConnections)
	setDefault(tomlFile, table+".head_bytes", &l.MaxHeadBytes, defaults.MaxHeadBytes)
	setDefault(tomlFile, table+".body_bytes", &l.MaxBodyBytes, defaults.MaxBodyBytes)
	setDefault(tomlFile, table+".head_timeout", &l.HeadTimeout, defaults.HeadTimeout)
	setDefault(tomlFile, table+".body_timeout", &l.BodyTimeout, defaults.BodyTimeout)
	setDefault(tomlFile, table+".idle_timeout", &l.IdleTimeout, defaults.IdleTimeout)
	setDefault(tomlFile, table+".write_timeout", &l.WriteTimeout, defaults.WriteTimeout)
	setDefault(tomlFile, table+".flow_idle", &l.StreamIdleTimeout, defaultStreamIdleTimeout)
	setDefault(tomlFile, table+".flow_rate", &l.MinStreamRate, defaultMinStreamRate)
	setIfEmpty(&l.Forwarded, defaults.Forwarded)
	setIfEmpty(&l.RetryAfterFormat, defaults.RetryAfterFormat)
}

func (f *File) checkListeners(tomlFile *tomlfile.File) error {
	if len(f.Listener) == 0 {
		return tomlFile.Errorf("listener", "must be given")
	}
	names, addresses := uniqueNames{}, uniqueNames{}
	for i := range f.Listener {
		if err := f.Listener[i].check(tomlFile, fmt.Sprintf("listener[%d]", i), names, addresses); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for the first invalid field of the listener. table is the full name of its section, for errors. names and
// addresses are sets with the names and addresses of the listeners that were checked before; check adds those of this listener. Port
// 0 stands for any free port, so several listeners may have the same address with port 0.
func (l *Listener) check(tomlFile *tomlfile.File, table string, names, addresses uniqueNames) error {
	forwardedModes := []string{forwardedModeSet, forwardedModeAppend, forwardedModeDrop, forwardedModeLeave}
	isUniqueAddress := strings.HasSuffix(l.Address, ":0") || addresses.add(l.Address)
	return tomlFile.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", names.add(l.Name), "a unique name"),
		tomlfile.Require("address", isAddress(l.Address), "host:port"),
		tomlfile.Require("address", isUniqueAddress, "an address that no other listener has"),
		tomlfile.Require("connections", l.MaxConnections >= 1 && l.MaxConnections <= maxConnections, "from 1 to 1000000"),
		tomlfile.Require("head_bytes", l.MaxHeadBytes >= minHeadBytes && l.MaxHeadBytes <= maxHeadBytes, "from 1024 to 1048576"),
		tomlfile.Require("body_bytes", l.MaxBodyBytes >= 0 && l.MaxBodyBytes <= maxBodyBytes, fmt.Sprintf("from 0 to %d", maxBodyBytes)),
		tomlfile.Require("head_timeout", l.HeadTimeout > 0, "over 0"),
		tomlfile.Require("body_timeout", l.BodyTimeout > 0, "over 0"),
		tomlfile.Require("idle_timeout", l.IdleTimeout > 0, "over 0"),
		tomlfile.Require("write_timeout", l.WriteTimeout > 0, "over 0"),
		tomlfile.Require("flow_idle", l.StreamIdleTimeout > 0, "over 0"),
		tomlfile.Require("flow_rate", l.MinStreamRate >= 0, "0 or more"),
		tomlfile.Require("forwarded", slices.Contains(forwardedModes, l.Forwarded), `"set", "append", "drop" or "leave"`),
		tomlfile.Require("retry_after", l.RetryAfterFormat == retryAfterFormatWholeSeconds || l.RetryAfterFormat == retryAfterFormatFractionalSeconds,
			`"seconds" or "fraction"`),
	})
}
