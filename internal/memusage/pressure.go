package memusage

// Pressure says how close the resident set is to the memory limit.
type Pressure int

// Values of Pressure, ordered by how much memory is in use.
const (
	Relaxed  Pressure = iota // nothing has to be done
	Watchful                 // the resident set has to be read more often
	Tight                    // garbage has to be collected and returned to the system
	Critical                 // nothing new may be taken on
)

// Parts of the memory limit, in percent, from which the resident set counts as watchful, tight or critical. Between tightPercent and the
// limit is the memory that is taken on while the resident set is being read and garbage is being collected.
const (
	watchfulPercent = 75
	tightPercent    = 92
	criticalPercent = 95
)

// PressureOf returns the pressure of a resident set under a limit, both in bytes. A limit of 0 means that there is none.
func PressureOf(resident, limit int64) Pressure {
	switch percent := resident * 100 / max(limit, 1); {
	case limit <= 0:
		return Relaxed
	case percent >= criticalPercent:
		return Critical
	case percent >= tightPercent:
		return Tight
	case percent >= watchfulPercent:
		return Watchful
	}
	return Relaxed
}

// LimitBytes returns the memory limit of each of the processes that share a limit of memoryMB, in bytes; 0 if there is none.
func LimitBytes(memoryMB, processes int) int64 {
	return int64(memoryMB) * bytesPerMB / int64(processes)
}
