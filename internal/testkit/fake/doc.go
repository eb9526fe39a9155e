// Package fake provides test doubles on loopback for everything that surrounds a sidecar: the nodes of a platform, the
// discovery agent of each sidecar, a DNS server, the front layer that spreads clients over the sidecars, and the clients.
// They speak the platform's published protocol, have faults that can be injected, and record what they observe. The daemon
// does not use this package.
//
// Each fake owns its state and is safe for concurrent use. The goroutines that it starts end with its Stop or Close. The
// nodes, agents and clients of a simulation share one Recorder. Each records an event before it writes the bytes that can
// cause the next event, so that in a timeline a cause precedes its effects.
package fake
