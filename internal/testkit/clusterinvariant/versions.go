package clusterinvariant

import (
	"fmt"
	"time"
)

// The rules of what is agreed on.
const (
	NoContradiction    Rule = "no two daemons contradict one another for longer than is promised"
	VersionsConsistent Rule = "a version is the same everywhere, and no daemon goes back"
)

// VersionRules are all of them.
var VersionRules = []Rule{NoContradiction, VersionsConsistent}

// VersionReport is a daemon's word that it acts on a version, under a lease: at some instant from Asked to Said.
type VersionReport struct {
	RequestedAt, ReportedAt time.Duration
	Daemon                  string
	Incarnation             int // of its process: a new one may begin at an earlier version, but not act on it for longer than is promised
	Version                 uint64
	Digest                  string // of all that the version says
}

// VersionVerdict is what JudgeVersions finds.
type VersionVerdict struct {
	Violations           []Violation
	Reports              int
	Versions             int
	LongestContradiction time.Duration // the longest contradiction that is certain
}

// CheckVersions holds acts, in order of Said, against the promise that from the moment at which some daemon acts on a version
// nobody acts on an earlier one for longer than within. What can't be told for sure is no breach: the first act on a version lies
// at Said at the latest, the last one on another at Asked at the earliest.
func CheckVersions(acts []VersionReport, within time.Duration) VersionVerdict {
	type began struct {
		version uint64
		at      time.Duration
	}
	v := VersionVerdict{Reports: len(acts)}
	var first []began // ascending in both
	digests := map[uint64]string{}
	type life struct {
		by   string
		life int
	}
	type held struct {
		version uint64
		said    time.Duration
	}
	holds := map[life]held{}
	for _, a := range acts {
		who := life{a.Daemon, a.Incarnation}
		if was := holds[who]; a.Version >= was.version {
			holds[who] = held{a.Version, a.ReportedAt}
		} else if a.RequestedAt > was.said { // else the two may have crossed
			v.Violations = append(v.Violations, Violation{VersionsConsistent, a.ReportedAt, fmt.Sprintf("%s goes back from version %d to %d", a.Daemon, was.version, a.Version)})
		}
		if was, ok := digests[a.Version]; ok && was != a.Digest {
			v.Violations = append(v.Violations, Violation{VersionsConsistent, a.ReportedAt, fmt.Sprintf("%s acts on another version %d than others", a.Daemon, a.Version)})
		}
		digests[a.Version] = a.Digest
		for _, b := range first {
			if b.version <= a.Version {
				continue
			}
			if over := a.RequestedAt - b.at; over > 0 {
				v.LongestContradiction = max(v.LongestContradiction, over)
				if over > within {
					v.Violations = append(v.Violations, Violation{NoContradiction, a.ReportedAt, fmt.Sprintf("%s acts on version %d, %v after somebody acted on version %d", a.Daemon, a.Version, over, b.version)})
				}
			}
			break
		}
		if n := len(first); n == 0 || a.Version > first[n-1].version {
			first = append(first, began{a.Version, a.ReportedAt})
		}
	}
	v.Versions = len(first)
	return v
}
