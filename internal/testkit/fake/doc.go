// Package fake has servers and clients that stand in on loopback for what surrounds a sidecar: the nodes of a platform,
// the discovery agent of each sidecar, a name server, the front layer and the clients. They speak the protocol in its
// published form, have faults that can be injected, and record what they observe. The daemon never imports it.
//
// Each fake owns its state, is safe for concurrent use and starts goroutines that end with its Stop or Close. All of them
// record into one Recorder, each event before the bytes that can cause the next one, so that the order of a timeline is an
// order of cause.
package fake
