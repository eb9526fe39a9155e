// Package swim is the failure detector of a cluster: it keeps the list of member daemons and decides which of them have
// failed. It follows SWIM (Das, Gupta, Motivala, 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey, 2018):
// probes in a shuffled round-robin order, indirect probes, suspicion timeouts that shrink as other members confirm the
// suspicion, incarnations that refute a suspicion, a local health multiplier, the buddy system, and gossip piggybacked on
// the protocol's own messages.
//
// The package is pure: it takes messages and instants as input, and its output is messages to send and the instant of the
// next tick. It has no I/O, no clock and no goroutine, and its random numbers come from a seed, so that the same code runs
// in the daemon and in simulations of thousands of nodes in virtual time. One caller owns a Node and all of its state; it
// delivers messages to Receive, calls Tick at the instant that NextTick returns, and sends what TakeMessages returns.
//
// A view is an estimate. Two daemons may have different views at the same instant, and a daemon that a view marks as
// failed may still be serving requests: an action that must never happen twice must not depend on a view alone.
package swim
