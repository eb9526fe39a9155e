package config

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"tuliprock/internal/discovery"
	"tuliprock/internal/route"
	"tuliprock/internal/tomlfile"
)

// fileFormat is the only value of format that an operators' file may have.
const fileFormat = 1

// File is the operators' file: what a daemon serves that is not under the platform's control. Read, ParseFile and
// WithDocuments return it with defaults applied and every section checked.
type File struct {
	Format   int        `toml:"format"` // 1
	Daemon   Daemon     `toml:"daemon"`
	Cluster  *Cluster   `toml:"fleet"` // nil: this daemon is not part of a cluster
	Listener []Listener `toml:"listener"`
	Class    []Class    `toml:"class"`
	Tenant   []Tenant   `toml:"tenant"`
	Pool     []Pool     `toml:"pool"`
	Route    []Route    `toml:"route"`
	Shared   Shared     `toml:"shared"`

	table               *route.Table
	dividesByMembership bool                // daemon.daemons and daemon.index are left to the cluster's membership
	agreedMembers       map[string][]Member // members of pools with members = "agreed", by pool
}

// Read reads and checks an operators' file. An error in its contents names file, line and field in one line; the error
// of a file that can't be read is that of os.ReadFile.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFile(path, text)
}

// ParseFile does what Read does with a text that has been read already. name stands for the file in errors.
func ParseFile(name string, text []byte) (*File, error) {
	return parse(name, text, (*File).checkNeedsConsensus)
}

// sectionCheck checks one section of a decoded file and returns its first error. The argument locates fields in it.
type sectionCheck func(*tomlfile.File) error

// parse reads and checks a complete file. consensusCheck decides whether the file may ask for something that only a
// cluster with consensus can do.
func parse(name string, text []byte, consensusCheck func(*File, *tomlfile.File) error) (*File, error) {
	f := &File{}
	at, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	f.applyDefaults(at)
	f.applyClusterDefaults(at)
	checkConsensus := func(at *tomlfile.File) error { return consensusCheck(f, at) }
	if err := runChecks(at, f.checkFormat, f.checkDaemon, f.checkListeners, f.checkCluster, f.checkShared, checkConsensus,
		f.checkClasses, f.checkTenants, f.checkPools, f.checkRoutes); err != nil {
		return nil, err
	}
	return f, nil
}

// runChecks returns the error of the first check that fails. The order of checks decides which of several errors an
// operator sees.
func runChecks(at *tomlfile.File, checks ...sectionCheck) error {
	for _, check := range checks {
		if err := check(at); err != nil {
			return err
		}
	}
	return nil
}

// Table returns the file's routes, compiled. Its rules have the indexes of Route.
func (f *File) Table() *route.Table { return f.table }

// applyDefaults fills what the file leaves out, except for the section of the cluster. A zero that the file states is
// kept, and checked later.
func (f *File) applyDefaults(at *tomlfile.File) {
	f.Daemon.applyDefaults(at)
	setIfEmpty(&f.Shared.OnIndeterminate, keepServing)
	for i := range f.Listener {
		f.Listener[i].applyDefaults(at, fmt.Sprintf("listener[%d]", i))
	}
	for i := range f.Class {
		f.Class[i].applyDefaults(at, fmt.Sprintf("class[%d]", i))
	}
	for i := range f.Pool {
		f.Pool[i].applyDefaults(at, fmt.Sprintf("pool[%d]", i))
	}
}

func (f *File) checkFormat(at *tomlfile.File) error {
	if f.Format != fileFormat {
		return at.Errorf("format", "must be 1")
	}
	return nil
}

// setDefault sets a value that the file does not state. field is its full name, as in listener[0].connections.
func setDefault[T any](at *tomlfile.File, field string, value *T, fallback T) {
	if !at.Has(field) {
		*value = fallback
	}
}

// setIfEmpty sets a text that is left out or empty.
func setIfEmpty(value *string, fallback string) { *value = cmp.Or(*value, fallback) }

// uniqueNames is the set of names that a list has used so far.
type uniqueNames map[string]bool

// add records a name. It returns false for an empty name and for one that was added before.
func (n uniqueNames) add(name string) bool {
	isNew := name != "" && !n[name]
	n[name] = true
	return isNew
}

func allMatch(list []string, matches func(string) bool) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !matches(s) })
}

// isAddress reports whether a text is host:port.
func isAddress(s string) bool { return discovery.CheckAddress("", s) == nil }
