package clusterinvariant

import (
	"fmt"
	"time"
)

// These rules are the invariants against which CheckVersions checks the reports of daemons.
const (
	// NoContradiction: once some daemon acts on a version, no daemon acts on an earlier one for longer than
	// CheckVersions' maxContradiction.
	NoContradiction Rule = "no two daemons contradict one another for longer than is promised"
	// VersionsConsistent: a version has the same content on all daemons, and no process goes back to an earlier version.
	VersionsConsistent Rule = "a version is the same everywhere, and no daemon goes back"
)

// VersionRules lists the rules that CheckVersions checks, in the order in which they are reported.
var VersionRules = []Rule{NoContradiction, VersionsConsistent}

// VersionReport is a daemon's response to a poll, in which the daemon reports that it acts on a version under a lease. The daemon acted
// on the version at some instant from RequestedAt to ReportedAt.
type VersionReport struct {
	RequestedAt time.Duration
	ReportedAt  time.Duration
	Daemon      string
	Incarnation int    // number of the daemon's process, which changes with a restart; a new process may act on an earlier version than the previous one did
	Version     uint64 // version of the settings that the daemon acted on
	Digest      string // text that identifies the content of the version, to compare between daemons
}

// VersionVerdict holds the violations that CheckVersions found in the reports, and what it counted and measured.
type VersionVerdict struct {
	Violations           []Violation
	Reports              int           // number of reports that were checked
	Versions             int           // number of reported versions, without those that were first reported after a later version
	LongestContradiction time.Duration // longest time for which a daemon certainly acted on a version after another daemon acted on a later one
}

// CheckVersions checks reports, in order of ReportedAt, against VersionRules. From the instant at which some daemon acts on a version,
// no daemon may act on an earlier one for longer than maxContradiction. Only the part of a contradiction that is certain counts: it
// begins at the ReportedAt of the first report of the later version, and ends at the RequestedAt of a report of the earlier version.
func CheckVersions(reports []VersionReport, maxContradiction time.Duration) VersionVerdict {
	type firstReport struct {
		version uint64
		at      time.Duration
	}
	verdict := VersionVerdict{Reports: len(reports)}
	var firstReports []firstReport // first report of each version, except versions first reported after a later one; ascending in version and time
	digests := map[uint64]string{}
	type process struct {
		daemon      string
		incarnation int
	}
	type latestReport struct {
		version    uint64
		reportedAt time.Duration
	}
	latest := map[process]latestReport{}
	for _, report := range reports {
		p := process{report.Daemon, report.Incarnation}
		if previous := latest[p]; report.Version >= previous.version {
			latest[p] = latestReport{report.Version, report.ReportedAt}
		} else if report.RequestedAt > previous.reportedAt { // overlapping polls prove no step back, since the process may have answered them in the opposite order
			verdict.Violations = append(verdict.Violations, Violation{VersionsConsistent, report.ReportedAt, fmt.Sprintf("%s goes back from version %d to %d", report.Daemon, previous.version, report.Version)})
		}
		if digest, ok := digests[report.Version]; ok && digest != report.Digest {
			verdict.Violations = append(verdict.Violations, Violation{VersionsConsistent, report.ReportedAt, fmt.Sprintf("%s acts on a content of version %d that differs from an earlier report", report.Daemon, report.Version)})
		}
		digests[report.Version] = report.Digest
		for _, first := range firstReports {
			if first.version <= report.Version {
				continue
			}
			if contradiction := report.RequestedAt - first.at; contradiction > 0 {
				verdict.LongestContradiction = max(verdict.LongestContradiction, contradiction)
				if contradiction > maxContradiction {
					verdict.Violations = append(verdict.Violations, Violation{NoContradiction, report.ReportedAt, fmt.Sprintf("%s acts on version %d, %v after version %d was first acted on", report.Daemon, report.Version, contradiction, first.version)})
				}
			}
			break
		}
		if n := len(firstReports); n == 0 || report.Version > firstReports[n-1].version {
			firstReports = append(firstReports, firstReport{report.Version, report.ReportedAt})
		}
	}
	verdict.Versions = len(firstReports)
	return verdict
}
