package memusage

const (
	// bytesPerMB is a megabyte of a configured limit. A platform that counts 1,048,576 bytes as a megabyte allows more.
	bytesPerMB = 1_000_000
	// maxRuntimeFraction is the largest part of a limit that the Go runtime may use before it collects garbage more often.
	maxRuntimeFraction = 0.7
	// programReserve is what a process needs, in bytes, beside the runtime's limit and what is resident when it starts: pages of the program
	// that are used later, the C library's, and what is allocated while a garbage collection runs.
	programReserve = 3 << 20
	// minRuntimeLimit is the smallest limit of the runtime, in bytes: below it the runtime would collect garbage all the time.
	minRuntimeLimit = 8 << 20
)

// RuntimeLimit returns the soft memory limit of the Go runtime, in bytes, for each of the processes that share a limit of memoryMB.
// programBytes is what the mapped program takes of each process's resident set (Usage.Shared): the limit of the runtime does not include
// it, but that of the platform does.
func RuntimeLimit(memoryMB, processes int, programBytes int64) int64 {
	total := LimitBytes(memoryMB, processes)
	limit := min(total-programBytes-programReserve, int64(maxRuntimeFraction*float64(total)))
	return max(limit, minRuntimeLimit)
}
