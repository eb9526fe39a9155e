package hotrestart

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"golang.org/x/sys/unix"
)

// stateOfEarlierBuild is the state in the files of testdata/build-94b9de8, which an earlier build wrote (testdata/README.md): two
// processes accepted connections, an operator ejected the endpoints s-1 and s-2, and then restored s-2 to service.
var stateOfEarlierBuild = State{
	Format:    1,
	Name:      "n1",
	Processes: []Process{{Number: 1, Ready: true}, {Number: 2, Ready: true}},
	Ejections: []Ejection{{ID: "s-1", Ejected: true, AtMs: 1796191831441}, {ID: "s-2", Ejected: false, AtMs: 1796191831448}},
}

// copyEarlierDirectory returns the path of a copy of the directory that two processes of the earlier build left behind.
func copyEarlierDirectory(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "shared")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "build-94b9de8"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// lockLiveFile locks the live file of a process until the test ends. As long as this file is locked, the process counts as alive.
func lockLiveFile(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() }) // the file was only read; closing it releases the lock
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		t.Fatal(err)
	}
}

// The state file of an earlier build is parsed correctly, and this build encodes the parsed state to the same bytes.
func TestStateOfEarlierBuildIsParsed(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(copyEarlierDirectory(t), "tuliprock-n1.state"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseState(text, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, stateOfEarlierBuild) {
		t.Errorf("parsed as %+v, want %+v", s, stateOfEarlierBuild)
	}
	if written, err := s.encode(); err != nil || string(written) != string(text) {
		t.Errorf("encoded as %s with error %v, want %s", written, err, text)
	}
}

// A process of this build joins a directory of dead processes of an earlier build: it gets the next number, takes over the
// ejections, and removes the live files of the dead processes.
func TestProcessJoinsDirectoryOfEarlierBuild(t *testing.T) {
	dir := copyEarlierDirectory(t)
	d := joinSidecar(t, dir)
	if d.Number() != 3 {
		t.Errorf("the process has number %d, want 3", d.Number())
	}
	for number := 1; number <= 2; number++ {
		if _, err := os.Stat(d.liveFilePath(number)); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("stat of the live file of dead process %d: %v, want %v", number, err, fs.ErrNotExist)
		}
	}
	if _, err := os.Stat(d.statePath() + ".bad"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("stat of the .bad state file: %v, want %v", err, fs.ErrNotExist)
	}
	d.mustSetReady(t)
	want := stateOfEarlierBuild
	want.Processes = []Process{{Number: 3, Ready: true}}
	s, v, othersDescriptors := d.Poll(KeepReportedDescriptors)
	if !reflect.DeepEqual(s, want) || v.Superseded || len(v.Others) > 0 || othersDescriptors != 0 {
		t.Errorf("state %+v, view %+v, %d descriptors of other processes; want state %+v and no other processes", s, v, othersDescriptors, want)
	}
}

// A process of this build detects live processes of an earlier build, whether they accept connections, and how many descriptors
// they use. The test itself holds the locks on their live files.
func TestLiveProcessesOfEarlierBuildAreDetected(t *testing.T) {
	dir := copyEarlierDirectory(t)
	for _, name := range []string{"tuliprock-n1.1.live", "tuliprock-n1.2.live"} {
		lockLiveFile(t, filepath.Join(dir, name))
	}
	d := joinSidecar(t, dir)
	s, v, othersDescriptors := d.Poll(KeepReportedDescriptors)
	want := stateOfEarlierBuild
	want.Processes = []Process{{Number: 1, Ready: true}, {Number: 2, Ready: true}, {Number: 3}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("state %+v, want %+v", s, want)
	}
	if !reflect.DeepEqual(v, View{Others: []int{1, 2}}) || othersDescriptors != 56+56 {
		t.Errorf("view %+v with %d descriptors of other processes; want the others 1 and 2 with 112 descriptors", v, othersDescriptors)
	}
}
