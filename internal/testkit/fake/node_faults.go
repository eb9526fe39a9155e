package fake

import (
	"math"
	"sync/atomic"
)

// nodeFaults are the faults that are injected into a node, each as math.Float64bits; 0 is none.
type nodeFaults struct {
	slowdown      atomic.Uint64 // factor
	hangFraction  atomic.Uint64 // of the requests
	resetFraction atomic.Uint64 // of the requests
}

// SetSlowdown makes the node's cores slower by a factor; 1 is the usual speed.
func (n *Node) SetSlowdown(factor float64) { n.faults.slowdown.Store(math.Float64bits(factor)) }

// SetHangFraction makes the node receive this share of the requests and never answer them.
func (n *Node) SetHangFraction(share float64) { n.faults.hangFraction.Store(math.Float64bits(share)) }

// SetResetFraction makes the node reset the connection of this share of the requests after it has executed them.
func (n *Node) SetResetFraction(share float64) { n.faults.resetFraction.Store(math.Float64bits(share)) }

func loadFloat(bits *atomic.Uint64) float64 { return math.Float64frombits(bits.Load()) }

// drawFault reports whether a fault with a share hits this request.
func (n *Node) drawFault(bits *atomic.Uint64) bool {
	share := loadFloat(bits)
	return share > 0 && n.random() < share
}
