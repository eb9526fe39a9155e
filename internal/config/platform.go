// Package config reads and checks what a sidecar is told at its start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"tuliprock/internal/discovery"
	"tuliprock/internal/hotrestart"
	"tuliprock/internal/simwire"
)

// What holds where the configuration gives no limits, and the least that a sidecar can work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
)

// Limits is what the platform grants a sidecar.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a sidecar is told at its start.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	AdminAddress string // where operators call; empty: nowhere
	Limits       Limits
	LastUpdate   discovery.ListUpdate

	ListenDescriptor int    // of the listening socket, which the platform holds and other processes may have too; 0: none
	SharedDir        string // directory that all processes of the sidecar have; empty: none

	Settings simwire.Settings
}

// Load reads the file that ROUTER_CONFIG names. Variables fill what it lacks. An error names the field at
// fault.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("ROUTER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Parse is Load on a text already read.
func Parse(text []byte, getenv func(string) string) (Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Admin                         string `json:"admin_addr"`
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
		Discovery: fill(file.Discovery, "ROUTER_DISCOVERY"), AdminAddress: fill(file.Admin, "ROUTER_ADMIN_ADDR"), Limits: file.Limits}
	if err := discovery.CheckAddress("listen", c.Listen); err != nil {
		return c, err
	}
	if err := discovery.CheckAddress("discovery", c.Discovery); err != nil {
		return c, err
	}
	c.SharedDir = getenv("TMPDIR")
	var err error
	if c.ListenDescriptor, err = hotrestart.InheritedDescriptor("ROUTER_LISTEN_FD", getenv("ROUTER_LISTEN_FD")); err != nil {
		return c, err
	}
	if c.AdminAddress != "" {
		if err := discovery.CheckAddress("admin_addr", c.AdminAddress); err != nil {
			return c, err
		}
	}
	if err := c.Limits.applyDefaultsAndCheck(); err != nil {
		return c, err
	}
	if len(file.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	if c.Settings, err = simwire.ParseSettings(file.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Settings.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if len(file.Known) > 0 {
		if c.LastUpdate, err = discovery.ParseListUpdate(file.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// applyDefaultsAndCheck fills what is absent and refuses what nothing can run with.
func (l *Limits) applyDefaultsAndCheck() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %v is not a number of cores", l.Cores)
	case l.MemoryMB != 0 && l.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets != 0 && l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, minSockets)
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
