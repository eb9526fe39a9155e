// Package simwire implements the line protocol between the fleet simulator and a host of balancers: the simulator sends batches
// of events, and the host sends one reply per batch. The package also decodes the settings object, which the platform's
// configuration has in the same form.
//
// The package translates and validates messages; it makes no balancing decision. A Reader decodes the batches and calls a
// Handler, which owns the balancers. A Reply collects and encodes the actions of the balancers. Neither is safe for concurrent
// use, and the package starts no goroutine: the goroutine that calls Reader.Run makes all calls of the Handler.
//
// Some terms of the protocol differ from those of the code. The line that decodes or encodes such a term shows both: a Sidecar,
// which is a simulated sidecar, is an instance, a Band a class, a Team a tenant, a BELL a timer.
package simwire
