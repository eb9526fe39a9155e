package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/clusterinvariant"
)

// judge checks the observations against the guarantees.
func (s *faultSchedule) judge(version uint64) {
	t := s.t
	history, err := status.Call(s.daemons[0].admin, []string{"history"}, nil, putTimeout)
	if err != nil {
		t.Fatal(err)
	}
	versions := s.versions(history)
	acts := s.acts(versions)
	v := clusterinvariant.CheckVersions(acts, maxConflict)
	for _, b := range v.Violations[:min(len(v.Violations), 5)] {
		t.Errorf("%v: %s: %s", b.At, b.Rule, b.Text)
	}
	for id := range s.requestsShed {
		if a, ok := s.requestsArrived[id]; ok {
			t.Errorf("%s was refused, and came to a node at %v", id, a.at)
		}
	}
	for _, text := range s.violations[:min(len(s.violations), 5)] {
		t.Error(text)
	}
	if v.Versions < 2 {
		t.Errorf("%d versions were acted on: nothing was put to the test", v.Versions)
	}
	if result := porcupine.CheckOperationsTimeout(flagModel, s.flagOperations, 20*time.Second); result != porcupine.Ok {
		t.Errorf("the flag's history of %d operations is linearizable: %v", len(s.flagOperations), result)
	}
	t.Logf("SCHEDULE %d versions of %d acted on in %d requests, the longest contradiction %v of %v; %d refused, "+
		"%d without an answer; %d operations on the flag; refused by trouble %v",
		v.Versions, version, len(acts), v.LongestContradiction.Round(time.Millisecond), maxConflict, len(s.requestsShed),
		s.unansweredCount, len(s.flagOperations), s.shedByFault())
}

// shedByFault counts the shed requests by the fault during or after which they were sent.
func (s *faultSchedule) shedByFault() map[string]int {
	by := map[string]int{}
	for id := range s.requestsShed {
		name := "start"
		for _, t := range s.faults {
			if t.from <= s.requestsSent[id].at {
				name = t.name
			}
		}
		by[name]++
	}
	return by
}

// versions are those of the settings texts, by mark. Each version that the response to a put named must be in the history.
func (s *faultSchedule) versions(history *status.CommandResult) map[string]uint64 {
	versions, known := map[string]uint64{}, map[uint64]string{}
	for _, c := range history.History {
		if _, twice := known[c.Version]; twice {
			s.t.Errorf("version %d is there twice", c.Version)
		}
		known[c.Version] = c.SHA256
		for digest, mark := range s.marks {
			if c.SHA256 == fmt.Sprintf("%x", digest) {
				versions[mark] = c.Version
			}
		}
	}
	for version, digest := range s.versionDigests {
		if known[version] != fmt.Sprintf("%x", digest) {
			s.t.Errorf("a put was told that it made version %d, which is another's, or lost", version)
		}
	}
	return versions
}

// acts are the requests that arrived at nodes, as acts of the daemons. One that was sent to a daemon while that was paused
// was decided after it resumed.
func (s *faultSchedule) acts(versions map[string]uint64) (acts []clusterinvariant.VersionReport) {
	for id, a := range s.requestsArrived {
		from := s.requestsSent[id]
		if a.mark == "" { // decided by the daemon's own file, before the first agreement
			continue
		}
		for _, p := range s.pauses[from.daemon] {
			if from.at > p.from && from.at < p.to {
				from.at = p.to
			}
		}
		if versions[a.mark] == 0 {
			s.t.Errorf("%s was decided by %q, which was never agreed on", id, a.mark)
		}
		acts = append(acts, clusterinvariant.VersionReport{
			RequestedAt: from.at, ReportedAt: a.at, Daemon: fmt.Sprint("s", from.daemon), Incarnation: from.incarnation,
			Version: versions[a.mark], Digest: a.mark,
		})
	}
	slices.SortFunc(acts, func(a, b clusterinvariant.VersionReport) int { return cmp.Compare(a.ReportedAt, b.ReportedAt) })
	return acts
}
