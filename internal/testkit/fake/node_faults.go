package fake

import (
	"math"
	"sync/atomic"
)

// nodeFaults holds the faults that are injected into a node. Each value is a float64 that math.Float64bits has encoded; 0: no
// fault.
type nodeFaults struct {
	slowdown      atomic.Uint64 // factor by which the node's cores are slower
	hangFraction  atomic.Uint64 // fraction of the requests that the node never answers
	resetFraction atomic.Uint64 // fraction of the requests after whose execution the node resets the connection
}

// SetSlowdown makes the node's cores slower by a factor; 1 restores their usual speed.
func (n *Node) SetSlowdown(factor float64) { n.faults.slowdown.Store(math.Float64bits(factor)) }

// SetHangFraction makes the node receive the given fraction of the requests without ever responding to them.
func (n *Node) SetHangFraction(fraction float64) {
	n.faults.hangFraction.Store(math.Float64bits(fraction))
}

// SetResetFraction makes the node execute the given fraction of the requests and then reset their connections instead of
// responding.
func (n *Node) SetResetFraction(fraction float64) {
	n.faults.resetFraction.Store(math.Float64bits(fraction))
}

// loadFloat returns the float64 that is stored in bits in the encoding of math.Float64bits.
func loadFloat(bits *atomic.Uint64) float64 { return math.Float64frombits(bits.Load()) }

// drawFault decides at random whether a fault hits a request. bits holds the encoded fraction of the requests that the fault
// hits.
func (n *Node) drawFault(bits *atomic.Uint64) bool {
	fraction := loadFloat(bits)
	return fraction > 0 && n.random() < fraction
}
