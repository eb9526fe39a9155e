package hotrestart

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var discardLog = slog.New(slog.DiscardHandler)

// joinSidecar simulates a new process that joins the sidecar n1, whose files are in dir. The simulated process is killed at the
// end of the test, unless the test has killed it before.
func joinSidecar(t *testing.T, dir string) *Directory {
	t.Helper()
	d, err := Join(dir, "n1", discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.simulateKill() })
	return d
}

// simulateKill has the effect on the directory that SIGKILL of the process has: the live file stays, and its lock is released.
func (d *Directory) simulateKill() { d.liveFile.Close() }

// mustSetReady records that the process accepts connections, and fails the test if that is not possible.
func (d *Directory) mustSetReady(t *testing.T) {
	t.Helper()
	if err := d.SetReady(true); err != nil {
		t.Fatal(err)
	}
}

// expectView polls, and fails the test unless the resulting View has the given values: isSuperseded says whether a newer
// process has taken over, and others are the numbers of the other live processes.
func (d *Directory) expectView(t *testing.T, isSuperseded bool, others ...int) {
	t.Helper()
	if _, v, _ := d.Poll(KeepReportedDescriptors); v.Superseded != isSuperseded || !slices.Equal(v.Others, others) {
		t.Errorf("process %d has the view %+v, want superseded %v and others %v", d.Number(), v, isSuperseded, others)
	}
}

func TestNewestLivingReadyProcessSupersedesTheOthers(t *testing.T) {
	dir := t.TempDir()
	a := joinSidecar(t, dir)
	a.mustSetReady(t)
	a.expectView(t, false)
	b := joinSidecar(t, dir)
	a.expectView(t, false, 2)
	b.expectView(t, false, 1)
	b.mustSetReady(t)
	a.expectView(t, true, 2)
	b.expectView(t, false, 1)
	c := joinSidecar(t, dir)
	c.mustSetReady(t)
	a.expectView(t, true, 2, 3)
	b.expectView(t, true, 1, 3)
	c.simulateKill()
	a.expectView(t, true, 2)
	b.expectView(t, false, 1)
	b.simulateKill()
	a.expectView(t, false)
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	d := joinSidecar(t, dir)
	d.expectView(t, false)
}

func TestProcessThatIsNoLongerReadySupersedesNone(t *testing.T) {
	dir := t.TempDir()
	a, b := joinSidecar(t, dir), joinSidecar(t, dir)
	b.mustSetReady(t)
	a.expectView(t, true, 2)
	if err := b.SetReady(false); err != nil {
		t.Fatal(err)
	}
	a.expectView(t, false, 2)
}

func TestLatestEjectionOfEachEndpointReachesAllProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := joinSidecar(t, dir), joinSidecar(t, dir)
	at := time.Now()
	for _, call := range []struct {
		process   *Directory
		id        string
		isEjected bool
	}{{a, "s-1", true}, {b, "s-2", true}, {b, "s-1", true}, {a, "s-2", false}} {
		if err := call.process.RecordEjection(call.id, call.isEjected, at); err != nil {
			t.Fatal(err)
		}
	}
	a.simulateKill()
	b.simulateKill()
	for _, d := range []*Directory{b, joinSidecar(t, dir)} {
		s, _, _ := d.Poll(KeepReportedDescriptors)
		if want := []Ejection{{"s-1", true, at.UnixMilli()}, {"s-2", false, at.UnixMilli()}}; !slices.Equal(s.Ejections, want) {
			t.Errorf("process %d has the ejections %v, want %v", d.Number(), s.Ejections, want)
		}
	}
	// Recording that s-3 is restored, more than restoredEntryRetention later, removes the entry of the restored endpoint s-2, and
	// keeps that of the ejected s-1.
	if err := b.RecordEjection("s-3", false, at.Add(2*restoredEntryRetention)); err != nil {
		t.Fatal(err)
	}
	if s, _, _ := b.Poll(KeepReportedDescriptors); len(s.Ejections) != 2 || s.Ejections[0].ID != "s-1" {
		t.Errorf("after restoredEntryRetention: ejections %v, want those of s-1 and s-3", s.Ejections)
	}
}

func TestConcurrentEjectionsAreAllRecorded(t *testing.T) {
	dir := t.TempDir()
	var calls sync.WaitGroup
	for process := range 4 {
		d := joinSidecar(t, dir)
		for caller := range 2 {
			calls.Go(func() {
				for i := range 10 {
					if err := d.RecordEjection(fmt.Sprint(process, "-", caller, "-", i), true, time.Now()); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	calls.Wait()
	if s, _, _ := joinSidecar(t, dir).Poll(KeepReportedDescriptors); len(s.Ejections) != 80 {
		t.Errorf("%d ejections are recorded, want 80", len(s.Ejections))
	}
}

func TestDamagedStateIsLoggedAndSetAside(t *testing.T) {
	state := State{Format: stateFormat, Name: "n1", Processes: []Process{{Number: 3}}, Ejections: []Ejection{{"s-1", true, 5}}}
	intactText, err := state.encode()
	if err != nil {
		t.Fatal(err)
	}
	withReplacement := func(old, replacement string) string { return strings.Replace(string(intactText), old, replacement, 1) }
	for name, text := range map[string]string{
		"empty":                   "",
		"truncated":               string(intactText[:len(intactText)/2]),
		"random bytes":            "\x00\xff\x10",
		"another format":          withReplacement(`"format": 1`, `"format": 2`),
		"another sidecar":         withReplacement(`"n1"`, `"n2"`),
		"no id":                   withReplacement(`"s-1"`, `""`),
		"negative process number": withReplacement(`"number": 3`, `"number": -3`),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "tuliprock-n1.state"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			var log bytes.Buffer
			d, err := Join(dir, "n1", slog.New(slog.NewTextHandler(&log, nil)))
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			s, _, _ := d.Poll(KeepReportedDescriptors)
			if len(s.Ejections) != 0 || !strings.Contains(log.String(), "set aside") {
				t.Errorf("ejections %v, log %q; want none and a log line with \"set aside\"", s.Ejections, &log)
			}
			if badText, err := os.ReadFile(filepath.Join(dir, "tuliprock-n1.state.bad")); err != nil || string(badText) != text {
				t.Errorf("the .bad state file has %q, error %v; want %q", badText, err, text)
			}
		})
	}
	if s, err := ParseState(intactText, "n1"); err != nil || len(s.Ejections) != 1 {
		t.Errorf("the intact state is parsed as %v with error %v, want 1 ejection", s, err)
	}
}

// damageState replaces the state file by one that can't be parsed, or removes it.
func damageState(t *testing.T, dir string, isRemoved bool) {
	t.Helper()
	path := filepath.Join(dir, "tuliprock-n1.state")
	err := os.WriteFile(path, []byte("{"), 0o600)
	if isRemoved {
		err = os.Remove(path)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// A running process knows the state, so a damaged file loses nothing: the process restores it with its next poll, and a process that
// joins meanwhile gets a number of its own.
func TestRunningProcessRestoresDamagedState(t *testing.T) {
	for name, isRemoved := range map[string]bool{"truncated": false, "removed": true} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			d := joinSidecar(t, dir)
			for _, id := range []string{"s-1", "s-2"} {
				if err := d.RecordEjection(id, true, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
			if err := d.SetReady(true); err != nil {
				t.Fatal(err)
			}
			damageState(t, dir, isRemoved)
			if s, _, _ := d.Poll(KeepReportedDescriptors); len(s.Ejections) != 2 {
				t.Errorf("after the damage: ejections %v, want those of s-1 and s-2", s.Ejections)
			}
			next := joinSidecar(t, dir)
			if s, v, _ := next.Poll(KeepReportedDescriptors); len(s.Ejections) != 2 || len(v.Others) != 1 || !s.Processes[0].Ready || next.Number() != 2 {
				t.Errorf("process %d joins state %+v and sees the others %v, want number 2, both ejections and process 1, which is ready", next.Number(), s, v.Others)
			}
			damageState(t, dir, isRemoved)
			if err := d.RecordEjection("s-3", true, time.Now()); err != nil {
				t.Fatal(err)
			}
			if s, _, _ := next.Poll(KeepReportedDescriptors); len(s.Ejections) != 3 {
				t.Errorf("after damage and the next change: ejections %v, want those of s-1, s-2 and s-3", s.Ejections)
			}
		})
	}
}

// A process that joins before a running one has restored the state must not take that one's number: it could not lock its live file,
// and would go on without hot restart and without the ejections.
func TestProcessJoinsDamagedStateBesideRunningOne(t *testing.T) {
	for name, isRemoved := range map[string]bool{"truncated": false, "removed": true} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			first := joinSidecar(t, dir)
			second := joinSidecar(t, dir)
			if err := first.Close(); err != nil {
				t.Fatal(err)
			}
			if err := second.SetReady(true); err != nil {
				t.Fatal(err)
			}
			damageState(t, dir, isRemoved)
			third := joinSidecar(t, dir)
			if _, v, _ := third.Poll(KeepReportedDescriptors); third.Number() != 3 || len(v.Others) != 1 || v.Others[0] != 2 {
				t.Errorf("process %d sees the others %v, want number 3 and process 2", third.Number(), v.Others)
			}
			if _, v, _ := second.Poll(KeepReportedDescriptors); v.IsReady || len(v.Others) != 1 {
				t.Errorf("process 2 is shown the view %+v, want process 3, and that its readiness is to be recorded again", v)
			}
		})
	}
}

func TestJoinFailsWithoutTheDirectory(t *testing.T) {
	if _, err := Join(filepath.Join(t.TempDir(), "missing"), "n1", discardLog); err == nil {
		t.Error("Join succeeded in a directory that does not exist, want an error")
	}
}

func TestFileNamesOfDifferentSidecarsDiffer(t *testing.T) {
	sidecarByNamePart := map[string]string{}
	for _, name := range []string{"n1", "n/1", "n_1", "n:1", "", "..", strings.Repeat("x", 300), strings.Repeat("x", 301)} {
		namePart := fileNamePart(name)
		if other, isTaken := sidecarByNamePart[namePart]; isTaken || strings.ContainsAny(namePart, "/.") || len(namePart) > 100 {
			t.Errorf("sidecar %.20q gets the file name part %q (taken by sidecar %.20q: %v); want a unique one without / and . of at most 100 bytes", name, namePart, other, isTaken)
		}
		sidecarByNamePart[namePart] = name
	}
}

// Processes of other builds use the same files, so the names and the format of live files must not change.
func TestFileNamesAreFixed(t *testing.T) {
	for name, want := range map[string]string{"n1": "n1", "x_-9": "x_-9", "": "", "n/1": "n_1-223493192647d131"} {
		if got := fileNamePart(name); got != want {
			t.Errorf("sidecar %q gets the file name part %q, want %q", name, got, want)
		}
	}
	dir := t.TempDir()
	d := joinSidecar(t, dir)
	d.Poll(17)
	for file, want := range map[string]string{"tuliprock-n1.lock": "", "tuliprock-n1.1.live": "17        \n"} {
		if got, err := os.ReadFile(filepath.Join(dir, file)); err != nil || string(got) != want {
			t.Errorf("%s has %q, error %v; want %q", file, got, err, want)
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "tuliprock-n1.state")); err != nil {
		t.Error(err)
	}
}

func TestPollSumsTheDescriptorsOfTheOthers(t *testing.T) {
	dir := t.TempDir()
	a, b, c := joinSidecar(t, dir), joinSidecar(t, dir), joinSidecar(t, dir)
	b.Poll(20)
	c.Poll(300)
	b.Poll(KeepReportedDescriptors)
	if _, _, othersDescriptors := a.Poll(1); othersDescriptors != 320 {
		t.Errorf("the other processes use %d descriptors, want 320", othersDescriptors)
	}
	c.simulateKill()
	if _, _, othersDescriptors := a.Poll(1); othersDescriptors != 20 {
		t.Errorf("after one process has died, the others use %d descriptors, want 20", othersDescriptors)
	}
}
