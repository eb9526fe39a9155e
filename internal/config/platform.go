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

// Config is the platform's configuration of a sidecar: the file that ROUTER_CONFIG names, with environment variables for
// fields that the file leaves out. Load and Parse return it checked, with default limits applied.
type Config struct {
	Name         string               // name of the sidecar, from the platform's file or else from ROUTER_NAME
	Listen       string               // host:port to listen on for clients
	Discovery    string               // host:port of the platform's discovery agent
	AdminAddress string               // host:port to listen on for operators' commands; empty for none
	Limits       Limits               // CPU, memory and sockets that the sidecar may use
	LastUpdate   discovery.ListUpdate // last update that the agent sent before this process started; zero if there was none

	ListenDescriptor int    // descriptor of an inherited listening socket, which other processes may share; 0 to open a socket
	SharedDir        string // directory shared by all processes of the sidecar; empty for none

	Settings simwire.Settings // balancer's settings, including its random seed, and the timeouts of connections and clients
}

// Limits are the resources that a sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // number of CPU cores that the sidecar may use
	MemoryMB int     `json:"memory_mb"` // memory that the sidecar may use, in MiB
	Sockets  int     `json:"sockets"`   // number of files and connections that the sidecar may have open
}

// Limits that apply if the platform's file leaves them out, and the smallest ones that a sidecar can work with.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
)

// platformFile is the contents of the platform's file. Names of JSON keys are matched case-insensitively. Errors of encoding/json quote
// the names of types and fields. So the type is an alias of an unnamed struct, which adds no type name to the errors, and most fields
// have no tag, so that errors have their Go names.
type platformFile = struct {
	Name, Listen, Discovery string
	Seed                    string // random seed of 64 bits, in hexadecimal
	AdminAddress            string `json:"admin_addr"`
	Limits                  Limits
	Known                   json.RawMessage // last update of the discovery agent, in the JSON form of discovery.ListUpdate
	Settings                json.RawMessage // settings of the balancer, in the JSON form of simwire.Settings
}

// Load reads and checks the file that the environment variable ROUTER_CONFIG names. Other environment variables replace fields that
// the file leaves out. An error begins with the name of the invalid field or variable.
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

// Parse parses and checks the text of a platform file, and takes the fields that it leaves out from the environment, like Load.
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

// readAddresses checks the addresses, and reads the descriptor of the listening socket from the environment if the platform
// passes one on.
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

// readSettings decodes the random seed, the balancer's settings and the last update of the discovery agent.
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

// WithAgentAddressOf returns the configuration with the address of the discovery agent from a later one. A running sidecar can adopt
// that address, and keeps its endpoint list and all measurements of endpoints. Any other change needs a restart.
func (c Config) WithAgentAddressOf(later Config) Config {
	c.Discovery = later.Discovery
	return c
}

// check rejects limits that are too small for a sidecar. A limit of 0 is allowed: it is replaced by the default.
func (l *Limits) check() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("limits.cores: %v is negative", l.Cores)
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
