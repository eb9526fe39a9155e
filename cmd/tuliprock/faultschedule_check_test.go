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

// checkGuarantees checks the recorded observations: daemons act on different versions for no longer than maxVersionConflict,
// shed requests never reach a node, no agreed put is lost, and operations on the document flagName are linearizable. lastVersion is the
// version that the last put made.
func (s *faultSchedule) checkGuarantees(lastVersion uint64) {
	t := s.t
	history, err := status.SendCommand(s.daemons[0].adminAddr, []string{"history"}, nil, putTimeout)
	if err != nil {
		t.Fatal(err)
	}
	versionsByMark := s.findVersionsByMark(history)
	reports := s.buildVersionReports(versionsByMark)
	verdict := clusterinvariant.CheckVersions(reports, maxVersionConflict)
	for _, b := range verdict.Violations[:min(len(verdict.Violations), 5)] {
		t.Errorf("%v: %s: %s", b.At, b.Rule, b.Text)
	}
	for id := range s.requestsShed {
		if a, ok := s.requestsArrived[id]; ok {
			t.Errorf("request %s was shed, but arrived at a node at %v", id, a.arrivedAt)
		}
	}
	for _, text := range s.violations[:min(len(s.violations), 5)] {
		t.Error(text)
	}
	if verdict.Versions < 2 {
		t.Errorf("the daemons acted on %d versions, want at least 2: nothing was tested", verdict.Versions)
	}
	if result := porcupine.CheckOperationsTimeout(flagModel, s.flagOperations, 20*time.Second); result != porcupine.Ok {
		t.Errorf("check of the %d operations on the flag for linearizability: %v, want %v", len(s.flagOperations), result, porcupine.Ok)
	}
	t.Logf("daemons acted on %d of %d versions in %d requests; daemons conflicted for at most %v, %v allowed; %d requests shed, "+
		"%d without a response; %d operations on the flag; requests shed by fault: %v",
		verdict.Versions, lastVersion, len(reports), verdict.LongestContradiction.Round(time.Millisecond), maxVersionConflict, len(s.requestsShed),
		s.unansweredCount, len(s.flagOperations), s.countShedByFault())
}

// countShedByFault returns the number of shed requests by kind of fault. A request counts for the last fault that started before
// the request was sent, and under "start" if it was sent before the first fault.
func (s *faultSchedule) countShedByFault() map[string]int {
	counts := map[string]int{}
	for id := range s.requestsShed {
		name := "start"
		for _, fault := range s.faults {
			if fault.startedAt <= s.requestsSent[id].sentAt {
				name = fault.kind
			}
		}
		counts[name]++
	}
	return counts
}

// findVersionsByMark returns the version of each settings text in the history, by the text's mark, which is the value that the text
// sets for settingsMarkHeader. It checks that the history has no version twice, and that it has the text of each successful put at
// the version that the response to the put named.
func (s *faultSchedule) findVersionsByMark(history *status.CommandResult) map[string]uint64 {
	versions := map[string]uint64{}
	digests := map[uint64]string{} // SHA-256 digest, in hexadecimal, of the change that made each version, by the version
	for _, c := range history.History {
		if _, isDuplicate := digests[c.Version]; isDuplicate {
			s.t.Errorf("the history has version %d twice, want it once", c.Version)
		}
		digests[c.Version] = c.SHA256
		for digest, mark := range s.markByDigest {
			if c.SHA256 == fmt.Sprintf("%x", digest) {
				versions[mark] = c.Version
			}
		}
	}
	for version, digest := range s.digestByVersion {
		if digests[version] != fmt.Sprintf("%x", digest) {
			s.t.Errorf("the response to a put named version %d, but the history lacks that version or has another change for it", version)
		}
	}
	return versions
}

// buildVersionReports returns a report for each request that arrived at a node with settingsMarkHeader. The report says that the
// daemon that forwarded the request acted on a version of the settings at some time between the sending and the arrival of the
// request; versionsByMark gives the version for the header's value. For a request that was sent while the daemon was paused, the
// report gives the time when the daemon resumed instead of the time of sending.
func (s *faultSchedule) buildVersionReports(versionsByMark map[string]uint64) (reports []clusterinvariant.VersionReport) {
	for id, a := range s.requestsArrived {
		sent := s.requestsSent[id]
		if a.mark == "" { // the daemon forwarded the request as its operators' file says, since no settings had been agreed on yet
			continue
		}
		for _, p := range s.pausesByDaemon[sent.daemon] {
			if sent.sentAt > p.from && sent.sentAt < p.to {
				sent.sentAt = p.to
			}
		}
		if versionsByMark[a.mark] == 0 {
			s.t.Errorf("request %s has the mark %q, whose settings were never agreed on", id, a.mark)
		}
		reports = append(reports, clusterinvariant.VersionReport{
			RequestedAt: sent.sentAt, ReportedAt: a.arrivedAt, Daemon: fmt.Sprint("s", sent.daemon), Incarnation: sent.incarnation,
			Version: versionsByMark[a.mark], Digest: a.mark,
		})
	}
	slices.SortFunc(reports, func(a, b clusterinvariant.VersionReport) int { return cmp.Compare(a.ReportedAt, b.ReportedAt) })
	return reports
}
