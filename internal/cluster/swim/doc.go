// Package swim is the failure detector of a cluster: it holds which daemons are members and which of them have failed.
// It follows SWIM (Das, Gupta, Motivala, 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey, 2018): probes
// in a shuffled round, indirect probes, suspicion that shrinks as other members confirm it, incarnations that refute,
// a local health multiplier, the buddy system, and gossip piggybacked on the protocol's own messages.
//
// The package is pure. Messages and instants come in, messages and the next instant go out. It has no I/O, no clock and
// no goroutine, and its random numbers come from a seed, so that the same code runs in the daemon and, by the thousand,
// in virtual time. One caller owns a Node and all of its state; it delivers messages to Receive, calls Tick at the
// instant that NextTick returns, and sends what TakeMessages returns.
//
// A view is an opinion. Two daemons may hold different views at the same instant, and a daemon that is called failed may
// be serving: nothing that must never happen twice may depend on a view alone.
package swim
