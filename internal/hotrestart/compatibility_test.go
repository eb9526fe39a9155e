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

// earlierState is what the files in testdata/build-94b9de8 were written for (testdata/README.md): two processes that accepted
// connections, s-1 ejected, s-2 ejected and returned.
var earlierState = State{
	Format:    1,
	Name:      "n1",
	Processes: []Process{{Number: 1, Ready: true}, {Number: 2, Ready: true}},
	Ejections: []Ejection{{ID: "s-1", Ejected: true, AtMs: 1796191831441}, {ID: "s-2", Ejected: false, AtMs: 1796191831448}},
}

// copyEarlierDirectory copies the directory that processes of an earlier build have left.
func copyEarlierDirectory(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "shared")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "build-94b9de8"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// lockLiveFile locks a live file until the test ends, as the process does that it stands for.
func lockLiveFile(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() }) // it was only read, and its lock ends with it
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		t.Fatal(err)
	}
}

// The state of an earlier build is parsed as it was meant, and written by this build byte by byte as it was.
func TestStateOfEarlierBuildIsParsed(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(copyEarlierDirectory(t), "tuliprock-n1.state"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(text, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, earlierState) {
		t.Errorf("parsed as %+v, want %+v", s, earlierState)
	}
	if written, err := s.encode(); err != nil || string(written) != string(text) {
		t.Errorf("written as %s, %v; it was %s", written, err, text)
	}
}

// A process of this build joins the ones of an earlier build, which are dead here: it has the next number, and the ejections.
func TestProcessJoinsDirectoryOfEarlierBuild(t *testing.T) {
	dir := copyEarlierDirectory(t)
	d := join(t, dir)
	if d.Number() != 3 {
		t.Errorf("number %d, want 3", d.Number())
	}
	for number := 1; number <= 2; number++ {
		if _, err := os.Stat(d.liveFilePath(number)); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("the live file of dead process %d: %v", number, err)
		}
	}
	if _, err := os.Stat(d.statePath() + ".bad"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("the state was set aside: %v", err)
	}
	d.markReady(t)
	want := earlierState
	want.Processes = []Process{{Number: 3, Ready: true}}
	s, v, others := d.Poll(KeepReportedDescriptors)
	if !reflect.DeepEqual(s, want) || v.Superseded || len(v.Others) > 0 || others != 0 {
		t.Errorf("%+v, %+v, %d descriptors of others; want %+v and no others", s, v, others, want)
	}
}

// Processes of an earlier build that live are seen by one of this build: which of them accept connections, and how many
// descriptors they use. Their locks are taken here as their processes took them.
func TestLiveProcessesOfEarlierBuildAreSeen(t *testing.T) {
	dir := copyEarlierDirectory(t)
	for _, name := range []string{"tuliprock-n1.1.live", "tuliprock-n1.2.live"} {
		lockLiveFile(t, filepath.Join(dir, name))
	}
	d := join(t, dir)
	s, v, others := d.Poll(KeepReportedDescriptors)
	want := earlierState
	want.Processes = []Process{{Number: 1, Ready: true}, {Number: 2, Ready: true}, {Number: 3}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("%+v, want %+v", s, want)
	}
	if !reflect.DeepEqual(v, View{Others: []int{1, 2}}) || others != 56+56 {
		t.Errorf("%+v, %d descriptors of others; want 1 and 2 with 112", v, others)
	}
}
