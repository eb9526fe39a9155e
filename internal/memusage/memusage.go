// Package memusage reads how much memory the process uses: what the system counts against its limit, and what the Go runtime holds.
package memusage

import (
	"fmt"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Usage is the memory of the process at one moment, in bytes.
type Usage struct {
	Resident   int64 // resident set, mapped files included; 0 if the system does not tell
	Shared     int64 // part of Resident that files back, such as the program itself
	LiveHeap   int64 // objects that the latest garbage collection found in use
	Runtime    int64 // memory that the Go runtime has mapped and not returned to the system
	Stacks     int64 // stacks of goroutines
	Goroutines int64
}

// Names of the runtime's metrics that Read reads (package runtime/metrics).
const (
	liveHeapMetric   = "/gc/heap/live:bytes"
	totalMetric      = "/memory/classes/total:bytes"
	releasedMetric   = "/memory/classes/heap/released:bytes"
	stacksMetric     = "/memory/classes/heap/stacks:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
)

// Read returns the present usage. It costs some microseconds and does not stop other goroutines.
func Read() Usage {
	samples := []metrics.Sample{{Name: liveHeapMetric}, {Name: totalMetric}, {Name: releasedMetric}, {Name: stacksMetric}, {Name: goroutinesMetric}}
	metrics.Read(samples)
	value := func(i int) int64 { return int64(samples[i].Value.Uint64()) }
	u := Usage{LiveHeap: value(0), Runtime: value(1) - value(2), Stacks: value(3), Goroutines: value(4)}
	u.Resident, u.Shared = readStatm()
	return u
}

// InUse returns the memory that the process takes for its work: the resident set, without what tools add to it that the runtime does not
// know of, such as the race detector's shadow memory.
func (u Usage) InUse() int64 { return min(u.Resident, u.Runtime+u.Shared) }

// readStatm returns the resident and the shared memory in bytes; 0 if the system does not tell.
func readStatm() (resident, shared int64) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, 0
	}
	if resident, shared, err = parseStatm(string(text)); err != nil {
		return 0, 0
	}
	return resident, shared
}

// parseStatm returns the resident and the shared memory in bytes from the text of /proc/PID/statm (proc(5)), which has pages.
func parseStatm(text string) (resident, shared int64, err error) {
	fields := strings.Fields(text)
	if len(fields) < 3 {
		return 0, 0, fmt.Errorf("statm has %d fields, want 3 at least", len(fields))
	}
	residentPages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("statm: resident: %w", err)
	}
	sharedPages, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("statm: shared: %w", err)
	}
	pageSize := int64(os.Getpagesize())
	return residentPages * pageSize, sharedPages * pageSize, nil
}
