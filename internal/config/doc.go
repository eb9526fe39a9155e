// Package config reads and checks a daemon's configuration, which comes from one of two sources: the JSON file that the platform
// names in ROUTER_CONFIG (Config), or the operators' TOML file (File). Both are converted to a Service, from which the rest of
// the daemon is built.
//
// The package starts no goroutines and has no global state. A Config, File or Service that it returns is complete and checked,
// and does not change afterwards, so it may be read concurrently. A reload produces new ones.
//
// Every error is a single line. It names the invalid field, and for an operators' file also the file and the line.
//
// Source files are named after the section of the operators' file that they read: daemon.go, listener.go, class.go (classes and
// tenants), pool.go, route.go and cluster.go. documents.go reads the documents that daemons agree on through consensus.
package config
