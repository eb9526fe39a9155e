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

// join starts a process of sidecar n1; kill ends it.
func join(t *testing.T, dir string) *Directory {
	t.Helper()
	d, err := Join(dir, "n1", discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.kill() })
	return d
}

// kill ends a process as SIGKILL does: its files stay, its lock does not.
func (d *Directory) kill() { d.liveFile.Close() }

func (d *Directory) markReady(t *testing.T) {
	t.Helper()
	if err := d.SetReady(true); err != nil {
		t.Fatal(err)
	}
}

func (d *Directory) expectView(t *testing.T, isSuperseded bool, others ...int) {
	t.Helper()
	if _, v, _ := d.Poll(KeepReportedDescriptors); v.Superseded != isSuperseded || !slices.Equal(v.Others, others) {
		t.Errorf("process %d has %+v, want superseded %v, others %v", d.Number(), v, isSuperseded, others)
	}
}

func TestNewestLivingReadyProcessSupersedesTheOthers(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	a.markReady(t)
	a.expectView(t, false)
	b := join(t, dir)
	a.expectView(t, false, 2)
	b.expectView(t, false, 1)
	b.markReady(t)
	a.expectView(t, true, 2)
	b.expectView(t, false, 1)
	c := join(t, dir)
	c.markReady(t)
	a.expectView(t, true, 2, 3)
	b.expectView(t, true, 1, 3)
	c.kill()
	a.expectView(t, true, 2)
	b.expectView(t, false, 1)
	b.kill()
	a.expectView(t, false)
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	d := join(t, dir)
	d.expectView(t, false)
}

func TestProcessThatIsNoLongerReadySupersedesNone(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	b.markReady(t)
	a.expectView(t, true, 2)
	if err := b.SetReady(false); err != nil {
		t.Fatal(err)
	}
	a.expectView(t, false, 2)
}

func TestLatestEjectionOfEachEndpointReachesAllProcesses(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	at := time.Now()
	for _, call := range []struct {
		by        *Directory
		id        string
		isEjected bool
	}{{a, "s-1", true}, {b, "s-2", true}, {b, "s-1", true}, {a, "s-2", false}} {
		if err := call.by.RecordEjection(call.id, call.isEjected, at); err != nil {
			t.Fatal(err)
		}
	}
	a.kill()
	b.kill()
	for _, d := range []*Directory{b, join(t, dir)} {
		s, _, _ := d.Poll(KeepReportedDescriptors)
		if want := []Ejection{{"s-1", true, at.UnixMilli()}, {"s-2", false, at.UnixMilli()}}; !slices.Equal(s.Ejections, want) {
			t.Errorf("process %d has %v", d.Number(), s.Ejections)
		}
	}
	// A change much later removes the old return, and keeps the old ejection.
	if err := b.RecordEjection("s-3", false, at.Add(2*returnRetention)); err != nil {
		t.Fatal(err)
	}
	if s, _, _ := b.Poll(KeepReportedDescriptors); len(s.Ejections) != 2 || s.Ejections[0].ID != "s-1" {
		t.Errorf("after returnRetention: %v", s.Ejections)
	}
}

func TestConcurrentEjectionsAreAllRecorded(t *testing.T) {
	dir := t.TempDir()
	var calls sync.WaitGroup
	for p := range 4 {
		d := join(t, dir)
		for k := range 2 {
			calls.Go(func() {
				for i := range 10 {
					if err := d.RecordEjection(fmt.Sprint(p, "-", k, "-", i), true, time.Now()); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	calls.Wait()
	if s, _, _ := join(t, dir).Poll(KeepReportedDescriptors); len(s.Ejections) != 80 {
		t.Errorf("%d of 80 ejections are recorded", len(s.Ejections))
	}
}

func TestDamagedStateIsLoggedAndSetAside(t *testing.T) {
	state := State{Format: stateFormat, Name: "n1", Processes: []Process{{Number: 3}}, Ejections: []Ejection{{"s-1", true, 5}}}
	intact, err := state.encode()
	if err != nil {
		t.Fatal(err)
	}
	replaced := func(old, replacement string) string { return strings.Replace(string(intact), old, replacement, 1) }
	for name, text := range map[string]string{
		"empty":               "",
		"cut off":             string(intact[:len(intact)/2]),
		"noise":               "\x00\xff\x10",
		"another format":      replaced(`"format": 1`, `"format": 2`),
		"another sidecar":     replaced(`"n1"`, `"n2"`),
		"no id":               replaced(`"s-1"`, `""`),
		"numbers below first": replaced(`"number": 3`, `"number": -3`),
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
				t.Errorf("%v; the log: %s", s.Ejections, &log)
			}
			if aside, err := os.ReadFile(filepath.Join(dir, "tuliprock-n1.state.bad")); err != nil || string(aside) != text {
				t.Errorf("set aside: %q, %v", aside, err)
			}
		})
	}
	if s, err := Parse(intact, "n1"); err != nil || len(s.Ejections) != 1 {
		t.Errorf("the intact one: %v, %v", s, err)
	}
}

func TestDamageWhileRunningKeepsTheLastStateUntilTheNextChange(t *testing.T) {
	dir := t.TempDir()
	d := join(t, dir)
	if err := d.RecordEjection("s-1", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	d.Poll(KeepReportedDescriptors)
	if err := os.WriteFile(filepath.Join(dir, "tuliprock-n1.state"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _, _ := d.Poll(KeepReportedDescriptors); len(s.Ejections) != 1 {
		t.Errorf("after the damage: %v", s.Ejections)
	}
	if err := d.RecordEjection("s-2", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	if s, _, _ := d.Poll(KeepReportedDescriptors); len(s.Ejections) != 1 || s.Ejections[0].ID != "s-2" {
		t.Errorf("after the next change: %v", s.Ejections)
	}
}

func TestJoinFailsWithoutTheDirectory(t *testing.T) {
	if _, err := Join(filepath.Join(t.TempDir(), "nowhere"), "n1", discardLog); err == nil {
		t.Error("joined")
	}
}

func TestFileNamesOfDifferentSidecarsDiffer(t *testing.T) {
	names := map[string]string{}
	for _, name := range []string{"n1", "n/1", "n_1", "n:1", "", "..", strings.Repeat("x", 300), strings.Repeat("x", 301)} {
		file := fileNameOf(name)
		if other, isTaken := names[file]; isTaken || strings.ContainsAny(file, "/.") || len(file) > 100 {
			t.Errorf("%.20q and %.20q: %q", name, other, file)
		}
		names[file] = name
	}
}

// Processes of other builds use the same files.
func TestFileNamesAreFixed(t *testing.T) {
	for name, want := range map[string]string{"n1": "n1", "x_-9": "x_-9", "": "", "n/1": "n_1-223493192647d131"} {
		if got := fileNameOf(name); got != want {
			t.Errorf("%q: %q, want %q", name, got, want)
		}
	}
	dir := t.TempDir()
	d := join(t, dir)
	d.Poll(17)
	for file, want := range map[string]string{"tuliprock-n1.lock": "", "tuliprock-n1.1.live": "17        \n"} {
		if got, err := os.ReadFile(filepath.Join(dir, file)); err != nil || string(got) != want {
			t.Errorf("%s: %q, %v, want %q", file, got, err, want)
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "tuliprock-n1.state")); err != nil {
		t.Error(err)
	}
}

func TestPollSumsTheDescriptorsOfTheOthers(t *testing.T) {
	dir := t.TempDir()
	a, b, c := join(t, dir), join(t, dir), join(t, dir)
	b.Poll(20)
	c.Poll(300)
	b.Poll(KeepReportedDescriptors)
	if _, _, others := a.Poll(1); others != 320 {
		t.Errorf("the others use %d, want 320", others)
	}
	c.kill()
	if _, _, others := a.Poll(1); others != 20 {
		t.Errorf("after one has died the others use %d, want 20", others)
	}
}
