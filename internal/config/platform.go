package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"tuliprock/internal/discovery"
	"tuliprock/internal/hotrestart"
	"tuliprock/internal/simwire"
)

// Config is the platform's configuration of a sidecar: the file that ROUTER_CONFIG names, completed by environment
// variables. Load and Parse return it checked, with default limits applied.
type Config struct {
	Name         string
	Listen       string // host:port for clients
	Discovery    string // host:port of the platform's discovery
	AdminAddress string // host:port for operators' commands; empty: none is opened
	Limits       Limits
	LastUpdate   discovery.ListUpdate // the last update that discovery sent before this process started; the zero value: none

	ListenDescriptor int    // of the listening socket, inherited from the platform and perhaps shared with others; 0: none
	SharedDir        string // directory that all processes of the sidecar have; empty: none

	Settings simwire.Settings
}

// Limits is what the platform grants a sidecar.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Limits where the platform states none, and the least that a sidecar can work with.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
)

// platformFile is the platform's file. Its fields are matched without regard to case. It has no name and no tags of its
// own because the errors of encoding/json quote both.
type platformFile = struct {
	Name, Listen, Discovery string
	Seed                    string // 64 bits in hexadecimal
	AdminAddress            string `json:"admin_addr"`
	Limits                  Limits
	Known, Settings         json.RawMessage
}

// Load reads and checks the file that the variable ROUTER_CONFIG names. Other variables stand in for fields that the
// file leaves out. An error begins with the name of the field or variable at fault.
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

// Parse does what Load does with a text that has been read already.
func Parse(text []byte, getenv func(string) string) (Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c := Config{
		Name:         cmp.Or(file.Name, getenv("ROUTER_NAME")),
		Listen:       cmp.Or(file.Listen, getenv("ROUTER_LISTEN")),
		Discovery:    cmp.Or(file.Discovery, getenv("ROUTER_DISCOVERY")),
		AdminAddress: cmp.Or(file.AdminAddress, getenv("ROUTER_ADMIN_ADDR")),
		Limits:       file.Limits,
		SharedDir:    getenv("TMPDIR"),
	}
	if err := c.readAddresses(getenv); err != nil {
		return Config{}, err
	}
	if err := c.Limits.check(); err != nil {
		return Config{}, err
	}
	c.Limits.applyDefaults()
	if err := c.readSettings(file); err != nil {
		return Config{}, err
	}
	return c, nil
}

// readAddresses checks the addresses, and reads the descriptor of a socket that listens at one of them already.
func (c *Config) readAddresses(getenv func(string) string) error {
	if err := discovery.CheckAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := discovery.CheckAddress("discovery", c.Discovery); err != nil {
		return err
	}
	var err error
	if c.ListenDescriptor, err = hotrestart.InheritedDescriptor("ROUTER_LISTEN_FD", getenv("ROUTER_LISTEN_FD")); err != nil {
		return err
	}
	if c.AdminAddress == "" {
		return nil
	}
	return discovery.CheckAddress("admin_addr", c.AdminAddress)
}

// readSettings decodes the parts of the file that other packages define.
func (c *Config) readSettings(file platformFile) (err error) {
	if len(file.Settings) == 0 {
		return errors.New("settings: missing")
	}
	if c.Settings, err = simwire.ParseSettings(file.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Settings.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if len(file.Known) == 0 {
		return nil
	}
	if c.LastUpdate, err = discovery.ParseListUpdate(file.Known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// WithReloadable returns the configuration with what a running sidecar takes over from a later one: the address of
// discovery. Everything else changes with a restart only. The list of endpoints and all that was measured of them stay.
func (c Config) WithReloadable(later Config) Config {
	c.Discovery = later.Discovery
	return c
}

// check rejects limits that no sidecar can work with. Zero stands for a limit that is not stated.
func (l *Limits) check() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %v is not a number of cores", l.Cores)
	case l.MemoryMB != 0 && l.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets != 0 && l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return nil
}

func (l *Limits) applyDefaults() {
	l.Cores = cmp.Or(l.Cores, defaultCores)
	l.MemoryMB = cmp.Or(l.MemoryMB, defaultMemoryMB)
	l.Sockets = cmp.Or(l.Sockets, defaultSockets)
}
