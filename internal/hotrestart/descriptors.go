package hotrestart

const (
	// reservedDescriptors of the common limit are used by no process: the others may open as many between two polls.
	reservedDescriptors = 16
	// startupDescriptors are left to a process that has only just started.
	startupDescriptors = 48
	// drainingLimitDivisor is the part of the limit that a superseded process may use, whatever the newer ones need.
	drainingLimitDivisor = 4
)

// DescriptorLimit returns how many descriptors a process may use of a limit that all processes of a sidecar have in common.
// v is its view, othersUse how many descriptors the others reported together.
func DescriptorLimit(limit int, v View, othersUse int) int {
	switch {
	case len(v.Others) == 0:
		return limit
	case v.Superseded: // the more the newer ones need, the fewer idle connections it keeps
		return min(limit-othersUse-reservedDescriptors, max(limit/drainingLimitDivisor, limit-2*(othersUse+reservedDescriptors)))
	}
	return limit - max(othersUse, startupDescriptors) - reservedDescriptors
}
