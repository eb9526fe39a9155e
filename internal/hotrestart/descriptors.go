package hotrestart

const (
	// reservedDescriptors is how many descriptors of the processes' common limit are kept free while several processes are alive.
	// They are for what the processes open before the next Directory.Poll tells each how many the others use.
	reservedDescriptors = 16
	// startupDescriptors is the minimum total that DescriptorLimit assumes for the other processes of the sidecar, unless a newer
	// one has taken over. A process that has only just started needs that many, even if it has reported fewer.
	startupDescriptors = 48
	// supersededLimitDivisor divides the common limit: a process from which a newer one has taken over may use at least
	// limit/supersededLimitDivisor, however many descriptors the newer processes need, as long as that many are free.
	supersededLimitDivisor = 4
)

// DescriptorLimit returns how many file descriptors a process may use of a limit that all processes of a sidecar have in
// common. v is the process's view of the others, and usedByOthers is the total that the others reported.
func DescriptorLimit(limit int, v View, usedByOthers int) int {
	switch {
	case len(v.Others) == 0:
		return limit
	case v.Superseded: // the limit falls by two for each descriptor that the other processes use, so that this process keeps fewer idle connections
		return min(limit-usedByOthers-reservedDescriptors, max(limit/supersededLimitDivisor, limit-2*(usedByOthers+reservedDescriptors)))
	}
	return limit - max(usedByOthers, startupDescriptors) - reservedDescriptors
}
