package hotrestart

const (
	// reservedDescriptors is how many descriptors of the common limit are kept free while several processes are alive, so that
	// the processes can open more between two polls without exceeding the limit.
	reservedDescriptors = 16
	// startupDescriptors is the minimum number of descriptors that the other processes are assumed to use, since a process
	// that has only just started needs as many even if it has reported fewer.
	startupDescriptors = 48
	// supersededLimitDivisor divides the common limit: a superseded process may use at least limit/supersededLimitDivisor,
	// however many descriptors the newer processes need, as long as that many are free.
	supersededLimitDivisor = 4
)

// DescriptorLimit returns how many file descriptors a process may use of a limit that all processes of a sidecar have in
// common. v is the process's view of the others, and usedByOthers is the total that the others reported.
func DescriptorLimit(limit int, v View, usedByOthers int) int {
	switch {
	case len(v.Others) == 0:
		return limit
	case v.Superseded: // the process gives up two descriptors for each that the others use, so that it keeps fewer idle connections
		return min(limit-usedByOthers-reservedDescriptors, max(limit/supersededLimitDivisor, limit-2*(usedByOthers+reservedDescriptors)))
	}
	return limit - max(usedByOthers, startupDescriptors) - reservedDescriptors
}
