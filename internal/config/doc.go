// Package config reads and checks the two sources of a daemon's configuration: the JSON file that the platform names in
// ROUTER_CONFIG (Config) and the operators' TOML file (File). Both become one Service, which the rest of the daemon is
// built from.
//
// The package has no goroutines and keeps no state. Config, File and Service are complete and checked when they are
// returned; nothing in the package changes them afterwards, so that they may be shared for reading. A reload produces
// new ones.
//
// Every error fits on one line. It names the field at fault, and for an operators' file also the file and the line.
//
// Files are named for the section that they read: daemon.go, listener.go, class.go (classes and tenants), pool.go,
// route.go and cluster.go. documents.go holds what daemons agree on through consensus.
package config
