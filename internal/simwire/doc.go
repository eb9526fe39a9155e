// Package simwire implements the line protocol between the fleet simulator and a host of balancers: batches of events come
// in, and one reply per batch goes out. It also reads the settings object, which the platform's configuration has in the
// same form.
//
// The package translates and validates; it makes no decision. A Reader decodes the batches and calls a Handler, which owns
// the balancers. A Reply collects what the balancers ask for and encodes it. Neither is safe for concurrent use, and the
// package starts no goroutine: all calls of a Handler are made by the goroutine that calls Reader.Run.
//
// Where the protocol's terms differ from those of the code, the line that decodes or encodes them shows both: a Sidecar is
// an instance, a Band a class, a Team a tenant, a BELL a timer.
package simwire
