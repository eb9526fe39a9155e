// Package sidecar puts the decision module on real sockets: callers on one side, endpoints and discovery on
// the other. It carries out what the module decides and decides nothing itself.
package sidecar

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"tuliprock/internal/wire"
)

// What holds where the configuration gives no limits, and the least that a sidecar can work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastMemoryMB   = 16
	leastSockets    = 64
)

// Limits is what the platform grants a sidecar.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Limits    Limits
	Known     Members
	Settings  wire.Settings
}

// LoadConfig reads the file that ROUTER_CONFIG names. Variables fill what it lacks. An error names the field at
// fault.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return parseConfig(text, getenv)
}

func parseConfig(text []byte, getenv func(string) string) (Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        Limits
		Known, Settings               json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	fill := func(value, variable string) string {
		if value == "" {
			return getenv(variable)
		}
		return value
	}
	c := Config{Name: fill(file.Name, "ROUTER_NAME"), Listen: fill(file.Listen, "ROUTER_LISTEN"),
		Discovery: fill(file.Discovery, "ROUTER_DISCOVERY"), Limits: file.Limits}
	if err := checkAddress("listen", c.Listen); err != nil {
		return c, err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return c, err
	}
	if err := c.Limits.check(); err != nil {
		return c, err
	}
	if len(file.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	var err error
	if c.Settings, err = wire.ParseSettings(file.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Settings.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if len(file.Known) > 0 {
		if c.Known, err = parseMembers(file.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// check fills what is absent and refuses what nothing can run with.
func (l *Limits) check() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %v is not a number of cores", l.Cores)
	case l.MemoryMB != 0 && l.MemoryMB < leastMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is under %d", l.MemoryMB, leastMemoryMB)
	case l.Sockets != 0 && l.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, leastSockets)
	}
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	return nil
}

// checkAddress tells whether an address is host:port with a number for a port.
func checkAddress(field, addr string) error {
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
