package swim

import "time"

// maxHealthScore is the worst local health score. With a maximum of 8 there are no fewer false failure detections than with
// this one, and the last remaining member of a cluster takes 13 s to detect the failure of all others.
const maxHealthScore = 4

// HealthScore returns the node's estimate of its own health (Lifeguard's local health multiplier): 0 is healthy, maxHealthScore
// is worst. The timeouts of the node's probes are multiplied by the score plus one.
func (n *Node) HealthScore() int { return n.healthScore }

// adjustHealthScore changes the health score by delta, which is positive if there is evidence that this node is slow.
func (n *Node) adjustHealthScore(delta int) {
	if !n.options.DisableLocalHealth {
		n.healthScore = max(0, min(n.healthScore+delta, maxHealthScore))
	}
}

// scaleByHealthScore returns a timeout multiplied by the health score plus one.
func (n *Node) scaleByHealthScore(d time.Duration) time.Duration {
	return d * time.Duration(n.healthScore+1)
}

// detectPause detects that this node's process did not run when the node's Tick was due. Responses missed during such a pause
// are not evidence against other members: probes in flight are discarded, and suspicion timeouts are extended by the length of
// the pause.
func (n *Node) detectPause(now time.Duration) {
	pause := now - n.expectedTick
	if pause <= n.options.ProbeTimeout || n.options.DisableLocalHealth {
		return
	}
	n.expectedTick = now
	n.adjustHealthScore(1)
	if len(n.probes) > 0 {
		clear(n.probes)
		n.nextProbe = now
	}
	for _, m := range n.suspects {
		m.suspicion.start += pause
	}
	if n.nextSuspicionEnd != noDeadline {
		n.nextSuspicionEnd += pause
	}
}
