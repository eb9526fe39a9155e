package config

import (
	"fmt"
	"time"

	"tuliprock/internal/tomlfile"
)

// Bounds and defaults of the daemon's section.
const (
	defaultName         = "tuliprock"
	defaultBodyMemoryMB = 16
	defaultDrainTimeout = 30 * time.Second

	maxDaemons      = 100_000
	maxBodyMemoryMB = 1 << 20 // 1 TiB
	maxDrainTimeout = time.Hour
)

// Daemon is the section [daemon]: what concerns the process as a whole.
type Daemon struct {
	Name     string  `toml:"name"`
	Count    int     `toml:"daemons"` // daemons that share the pools, this one included
	Index    int     `toml:"index"`   // of this daemon among them, from 0
	Seed     uint64  `toml:"seed"`    // of the balancer's random choices; 0: drawn at the start
	Cores    float64 `toml:"cores"`   // 0: as many as the system provides
	MemoryMB int     `toml:"memory_mb"`

	AdminAddr string `toml:"admin_addr"` // address for operators' commands; empty: none is opened

	BodyMemoryMB int           `toml:"body_memory_mb"` // memory budget for request bodies and for all streaming bodies
	DrainTimeout time.Duration `toml:"drain_timeout"`  // from SIGTERM until bodies that still stream are cut off
}

func (d *Daemon) applyDefaults(at *tomlfile.File) {
	setIfEmpty(&d.Name, defaultName)
	setDefault(at, "daemon.body_memory_mb", &d.BodyMemoryMB, defaultBodyMemoryMB)
	setDefault(at, "daemon.drain_timeout", &d.DrainTimeout, defaultDrainTimeout)
	setDefault(at, "daemon.daemons", &d.Count, 1)
}

func (f *File) checkDaemon(at *tomlfile.File) error {
	d := f.Daemon
	return at.Check("daemon", []tomlfile.Requirement{
		tomlfile.Require("name", isHeaderName(d.Name), "letters, digits and dashes"),
		tomlfile.Require("daemons", d.Count >= 1 && d.Count <= maxDaemons, "from 1 to 100000"),
		tomlfile.Require("index", d.Index >= 0 && d.Index < d.Count, "from 0, and under daemons"),
		tomlfile.Require("cores", d.Cores >= 0, "0 or more"),
		tomlfile.Require("body_memory_mb", d.BodyMemoryMB >= 1 && d.BodyMemoryMB <= maxBodyMemoryMB,
			fmt.Sprintf("from 1 to %d", maxBodyMemoryMB)),
		tomlfile.Require("drain_timeout", d.DrainTimeout >= 0 && d.DrainTimeout <= maxDrainTimeout, "from 0s to 1h"),
		tomlfile.Require("admin_addr", d.AdminAddr == "" || isAddress(d.AdminAddr), "host:port"),
		tomlfile.Require("memory_mb", d.MemoryMB == 0 || d.MemoryMB >= minMemoryMB,
			fmt.Sprintf("0 (no limit) or %d at least", minMemoryMB)),
	})
}
