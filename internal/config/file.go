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

// fileFormat is the only format version of operators' files that is supported.
const fileFormat = 1

// File is an operators' file, which configures a daemon that the platform does not control. Read, ParseFile and
// WithDocuments return it with defaults applied and every section checked.
type File struct {
	Format   int        `toml:"format"` // format version; must be fileFormat
	Daemon   Daemon     `toml:"daemon"`
	Cluster  *Cluster   `toml:"fleet"` // settings of the cluster; nil if this daemon is not part of one
	Listener []Listener `toml:"listener"`
	Class    []Class    `toml:"class"`
	Tenant   []Tenant   `toml:"tenant"`
	Pool     []Pool     `toml:"pool"`
	Route    []Route    `toml:"route"`
	Shared   Shared     `toml:"shared"`

	table              *route.Table        // routes compiled from the sections [[route]], in the order of the file
	sharesByMembership bool                // the cluster's membership determines daemon.daemons and daemon.index
	agreedMembers      map[string][]Member // member lists that the cluster agreed on, for pools with members = "agreed", by the pool's name
}

// Read reads and checks an operators' file. If the file can't be read, the error is that of os.ReadFile; an error in its
// contents names the file, the line and the field.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFile(path, text)
}

// ParseFile parses and checks the text of an operators' file. name is the file's name in errors.
func ParseFile(name string, text []byte) (*File, error) {
	return parse(name, text, (*File).checkNeedsConsensus)
}

// sectionCheck checks one section of a decoded file and returns the first error. The argument locates fields in the file's text.
type sectionCheck func(*tomlfile.File) error

// parse parses and checks a complete file. consensusCheck checks settings that are valid only in a cluster with consensus.
func parse(name string, text []byte, consensusCheck func(*File, *tomlfile.File) error) (*File, error) {
	f := &File{}
	tomlFile, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	f.applyDefaults(tomlFile)
	f.applyClusterDefaults(tomlFile)
	boundConsensusCheck := func(tomlFile *tomlfile.File) error { return consensusCheck(f, tomlFile) }
	if err := runChecks(tomlFile, f.checkFormat, f.checkDaemon, f.checkListeners, f.checkCluster, f.checkSharedSection, boundConsensusCheck,
		f.checkClasses, f.checkTenants, f.checkPools, f.checkRoutes); err != nil {
		return nil, err
	}
	return f, nil
}

// runChecks runs the checks in order and returns the first error, so their order decides which of several errors an operator sees.
func runChecks(tomlFile *tomlfile.File, checks ...sectionCheck) error {
	for _, check := range checks {
		if err := check(tomlFile); err != nil {
			return err
		}
	}
	return nil
}

// Table returns the file's compiled routes. Each rule of the table has the same index as the section [[route]] that it is compiled from.
func (f *File) Table() *route.Table { return f.table }

// applyDefaults sets the default values of fields that the file leaves out, except in the section [fleet]. A zero that is
// written in the file is kept, and checked later.
func (f *File) applyDefaults(tomlFile *tomlfile.File) {
	f.Daemon.applyDefaults(tomlFile)
	setIfEmpty(&f.Shared.OnIndeterminate, keepServing)
	for i := range f.Listener {
		f.Listener[i].applyDefaults(tomlFile, fmt.Sprintf("listener[%d]", i))
	}
	for i := range f.Class {
		f.Class[i].applyDefaults(tomlFile, fmt.Sprintf("class[%d]", i))
	}
	for i := range f.Pool {
		f.Pool[i].applyDefaults(tomlFile, fmt.Sprintf("pool[%d]", i))
	}
}

func (f *File) checkFormat(tomlFile *tomlfile.File) error {
	if f.Format != fileFormat {
		return tomlFile.Errorf("format", "must be %d", fileFormat)
	}
	return nil
}

// setDefault sets a value to its default if the file leaves out the field. field is the full name, as in listener[0].connections.
func setDefault[T any](tomlFile *tomlfile.File, field string, value *T, fallback T) {
	if !tomlFile.Has(field) {
		*value = fallback
	}
}

// setIfEmpty sets a string to its default if it is empty. A field that the file leaves out is empty, too.
func setIfEmpty(value *string, fallback string) { *value = cmp.Or(*value, fallback) }

// uniqueNames is the set of names used so far in a list whose names must be unique.
type uniqueNames map[string]bool

// add adds a name to the set. It returns false if the name is empty or was already in the set.
func (n uniqueNames) add(name string) bool {
	isNew := name != "" && !n[name]
	n[name] = true
	return isNew
}

func allMatch(list []string, matches func(string) bool) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !matches(s) })
}

// isAddress reports whether s has the form host:port.
func isAddress(s string) bool { return discovery.CheckAddress("", s) == nil }
