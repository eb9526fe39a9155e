package config

import (
	"fmt"
	"time"

	"tuliprock/internal/tomlfile"
)

// Default values and bounds of the fields of the section [daemon].
const (
	defaultName         = "tuliprock"
	defaultBodyMemoryMB = 16
	defaultDrainTimeout = 30 * time.Second

	maxDaemons      = 100_000
	maxBodyMemoryMB = 1 << 20 // upper bound of Daemon.BodyMemoryMB: 1 TiB, written in MiB
	maxDrainTimeout = time.Hour
)

// Daemon is the section [daemon] of an operators' file: settings of the process as a whole.
type Daemon struct {
	Name        string  `toml:"name"`
	DaemonCount int     `toml:"daemons"`   // number of daemons that share the pools, including this one
	Index       int     `toml:"index"`     // index of this daemon among those that share the pools, from 0
	Seed        uint64  `toml:"seed"`      // seed of the balancer's random choices; 0 to draw one at the start
	Cores       float64 `toml:"cores"`     // CPU cores to use; 0 for as many as the system provides
	MemoryMB    int     `toml:"memory_mb"` // memory limit in MiB; 0 for no limit

	AdminAddr string `toml:"admin_addr"` // host:port to listen on for operators' commands; empty for none

	BodyMemoryMB int           `toml:"body_memory_mb"` // memory budget in MiB for all request bodies and for streaming response bodies
	DrainTimeout time.Duration `toml:"drain_timeout"`  // time from SIGTERM until bodies that are still streaming are aborted
}

func (d *Daemon) applyDefaults(tomlFile *tomlfile.File) {
	setIfEmpty(&d.Name, defaultName)
	setDefault(tomlFile, "daemon.body_memory_mb", &d.BodyMemoryMB, defaultBodyMemoryMB)
	setDefault(tomlFile, "daemon.drain_timeout", &d.DrainTimeout, defaultDrainTimeout)
	setDefault(tomlFile, "daemon.daemons", &d.DaemonCount, 1)
}

func (f *File) checkDaemon(tomlFile *tomlfile.File) error {
	d := f.Daemon
	return tomlFile.Check("daemon", []tomlfile.Requirement{
		tomlfile.Require("name", isHeaderName(d.Name), "letters, digits and dashes"),
		tomlfile.Require("daemons", d.DaemonCount >= 1 && d.DaemonCount <= maxDaemons, "from 1 to 100000"),
		tomlfile.Require("index", d.Index >= 0 && d.Index < d.DaemonCount, "from 0, and under daemons"),
		tomlfile.Require("cores", d.Cores >= 0, "0 or more"),
		tomlfile.Require("body_memory_mb", d.BodyMemoryMB >= 1 && d.BodyMemoryMB <= maxBodyMemoryMB,
			fmt.Sprintf("from 1 to %d", maxBodyMemoryMB)),
		tomlfile.Require("drain_timeout", d.DrainTimeout >= 0 && d.DrainTimeout <= maxDrainTimeout, "from 0s to 1h"),
		tomlfile.Require("admin_addr", d.AdminAddr == "" || isAddress(d.AdminAddr), "host:port"),
		tomlfile.Require("memory_mb", d.MemoryMB == 0 || d.MemoryMB >= minMemoryMB,
			fmt.Sprintf("0 (no limit) or %d at least", minMemoryMB)),
	})
}
