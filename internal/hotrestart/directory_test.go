package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

var quiet = slog.New(slog.DiscardHandler)

func join(t *testing.T, dir string) *Directory {
	t.Helper()
	d, err := Join(dir, "n1", quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.liveFile.Close() })
	return d
}

// kill ends a process as SIGKILL does: its files stay, its lock does not.
func (d *Directory) kill() { d.liveFile.Close() }

func (d *Directory) ready(t *testing.T) {
	t.Helper()
	if err := d.SetReady(true); err != nil {
		t.Fatal(err)
	}
}

func (d *Directory) expect(t *testing.T, superseded bool, others ...int) {
	t.Helper()
	if _, v, _ := d.Poll(ReadOnly); v.Superseded != superseded || !slices.Equal(v.Others, others) {
		t.Errorf("process %d sees %+v, want superseded %v, others %v", d.Number(), v, superseded, others)
	}
}

// The newest that lives and is ready takes callers; one that dies hands back by dying.
func TestTheNewestThatIsReadyTakesCallers(t *testing.T) {
	dir := t.TempDir()
	a := join(t, dir)
	a.ready(t)
	a.expect(t, false)
	b := join(t, dir)
	a.expect(t, false, 2)
	b.expect(t, false, 1)
	b.ready(t)
	a.expect(t, true, 2)
	b.expect(t, false, 1)
	c := join(t, dir)
	c.ready(t)
	a.expect(t, true, 2, 3)
	b.expect(t, true, 1, 3)
	c.kill()
	a.expect(t, true, 2)
	b.expect(t, false, 1)
	b.kill()
	a.expect(t, false)
	if err := a.Close(); err != nil {
		t.Error(err)
	}
	d := join(t, dir)
	d.expect(t, false)
}

// One that is ready no more is no heir.
func TestReadyCanBeTakenBack(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	b.ready(t)
	a.expect(t, true, 2)
	if err := b.SetReady(false); err != nil {
		t.Fatal(err)
	}
	a.expect(t, false, 2)
}

// What one process was called all know, those that begin later too, and a call back wins over an earlier call out.
func TestBarsAreKnownToAll(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	at := time.Now()
	for _, call := range []struct {
		by  *Directory
		id  string
		out bool
	}{{a, "s-1", true}, {b, "s-2", true}, {b, "s-1", true}, {a, "s-2", false}} {
		if err := call.by.RecordEjection(call.id, call.out, at); err != nil {
			t.Fatal(err)
		}
	}
	a.kill()
	b.kill()
	for _, d := range []*Directory{b, join(t, dir)} {
		s, _, _ := d.Poll(ReadOnly)
		if want := []Ejection{{"s-1", true, at.UnixMilli()}, {"s-2", false, at.UnixMilli()}}; !slices.Equal(s.Ejections, want) {
			t.Errorf("process %d: %v", d.Number(), s.Ejections)
		}
	}
	if err := b.RecordEjection("s-3", false, at.Add(2*returnRetention)); err != nil { // what was given back long ago is forgotten, what is out is not
		t.Fatal(err)
	}
	if s, _, _ := b.Poll(ReadOnly); len(s.Ejections) != 2 || s.Ejections[0].ID != "s-1" {
		t.Errorf("%v", s.Ejections)
	}
}

// Calls of many processes at once: none is lost.
func TestCallsAtOnceAreAllKept(t *testing.T) {
	dir := t.TempDir()
	var all sync.WaitGroup
	for p := range 4 {
		d := join(t, dir)
		for k := range 2 {
			all.Go(func() {
				for i := range 10 {
					if err := d.RecordEjection(fmt.Sprint(p, "-", k, "-", i), true, time.Now()); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	all.Wait()
	if s, _, _ := join(t, dir).Poll(ReadOnly); len(s.Ejections) != 80 {
		t.Errorf("%d of 80 calls are known", len(s.Ejections))
	}
}

// What is damaged, or another's, is set aside with a word in the log, and is never a reason not to start.
func TestDamageIsSetAside(t *testing.T) {
	whole, _ := State{Format: stateFormat, Name: "n1", Processes: []Process{{Number: 3}}, Ejections: []Ejection{{"s-1", true, 5}}}.encode()
	for name, text := range map[string]string{
		"empty": "", "cut": string(whole[:len(whole)/2]), "noise": "\x00\xff\x10", "another format": strings.Replace(string(whole), `"format": 1`, `"format": 2`, 1),
		"another sidecar": strings.Replace(string(whole), `"n1"`, `"n2"`, 1), "no id": strings.Replace(string(whole), `"s-1"`, `""`, 1),
		"numbers": strings.Replace(string(whole), `"number": 3`, `"number": -3`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "tuliprock-n1.state"), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			var said bytes.Buffer
			d, err := Join(dir, "n1", slog.New(slog.NewTextHandler(&said, nil)))
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			s, _, _ := d.Poll(ReadOnly)
			if len(s.Ejections) != 0 || !strings.Contains(said.String(), "set aside") {
				t.Errorf("%v; the log: %s", s.Ejections, &said)
			}
			if aside, err := os.ReadFile(filepath.Join(dir, "tuliprock-n1.state.bad")); err != nil || string(aside) != text {
				t.Errorf("set aside: %q, %v", aside, err)
			}
		})
	}
	if s, err := Parse(whole, "n1"); err != nil || len(s.Ejections) != 1 {
		t.Errorf("the whole one: %v, %v", s, err)
	}
}

// Damage under a process that runs changes nothing that it knows, and its next call mends the file.
func TestDamageWhileItRuns(t *testing.T) {
	dir := t.TempDir()
	d := join(t, dir)
	_ = d.RecordEjection("s-1", true, time.Now())
	d.Poll(ReadOnly)
	if err := os.WriteFile(filepath.Join(dir, "tuliprock-n1.state"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, _, _ := d.Poll(ReadOnly); len(s.Ejections) != 1 {
		t.Errorf("%v", s.Ejections)
	}
	if err := d.RecordEjection("s-2", true, time.Now()); err != nil {
		t.Fatal(err)
	}
	if s, _, _ := d.Poll(ReadOnly); len(s.Ejections) != 1 || s.Ejections[0].ID != "s-2" {
		t.Errorf("%v", s.Ejections)
	}
}

func TestADirectoryThatCannotBeUsed(t *testing.T) {
	if _, err := Join(filepath.Join(t.TempDir(), "nowhere"), "n1", quiet); err == nil {
		t.Error("joined")
	}
}

func TestNamesOfFilesDiffer(t *testing.T) {
	seen := map[string]string{}
	for _, name := range []string{"n1", "n/1", "n_1", "n:1", "", "..", strings.Repeat("x", 300), strings.Repeat("x", 301)} {
		file := fileNameOf(name)
		if other, ok := seen[file]; ok || strings.ContainsAny(file, "/.") || len(file) > 100 {
			t.Errorf("%.20q and %.20q: %q", name, other, file)
		}
		seen[file] = name
	}
}

// A process that begins long after a call back must not take the endpoint for cold once more.
func TestCallsBackGrowOld(t *testing.T) {
	now := time.Now()
	for _, row := range []struct {
		out  bool
		age  time.Duration
		want bool
	}{{false, 0, true}, {false, returnRetention / 2, true}, {false, 2 * returnRetention, false}, {false, -2 * returnRetention, false}, {true, 0, false}} {
		if b := (Ejection{"s-1", row.out, now.Add(-row.age).UnixMilli()}); b.IsRecentReturn(now) != row.want {
			t.Errorf("out %v, %v old: %v", row.out, row.age, !row.want)
		}
	}
}

func TestBarsAreBounded(t *testing.T) {
	var s State
	for i := range 3 * MaxEjections {
		at := int64(i)
		if ok := s.recordEjection(Ejection{fmt.Sprint("o", i), true, at}); ok != (i < MaxEjections) {
			t.Fatalf("call %d: %v", i, ok)
		}
		s.recordEjection(Ejection{fmt.Sprint("b", i), false, at})
	}
	if n := len(s.Ejections); n > MaxEjections+maxReturns {
		t.Errorf("%d are kept", n)
	}
	text, err := State{Format: stateFormat, Name: "n", Ejections: s.Ejections}.encode()
	if _, bad := Parse(text, "n"); err != nil || bad != nil || len(text) > maxStateBytes {
		t.Errorf("%v, %v, %d bytes", err, bad, len(text))
	}
}

// The shares of two that are in the middle of a hand-over never come to more than there is, once each has seen the other's.
func TestSharesFitTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(256, 4096).Draw(t, "limit")
		older := View{Others: []int{2}, Superseded: rapid.Bool().Draw(t, "ready")}
		usedByOlder := rapid.IntRange(20, limit-startupDescriptors-reservedDescriptors).Draw(t, "used by the older")
		share := DescriptorLimit(limit, View{Others: []int{1}}, usedByOlder)
		if share+usedByOlder > limit {
			t.Fatalf("the newer one may use %d beside %d of %d", share, usedByOlder, limit)
		}
		usedByNewer := rapid.IntRange(0, max(share, 0)).Draw(t, "used by the newer")
		if older := DescriptorLimit(limit, older, usedByNewer); older+usedByNewer > limit {
			t.Fatalf("the older one may use %d beside %d of %d", older, usedByNewer, limit)
		}
		if DescriptorLimit(limit, View{}, 0) != limit {
			t.Fatal("one that is alone has less than all")
		}
	})
	if got := DescriptorLimit(1024, View{Others: []int{2}, Superseded: true}, 500); got != 256 {
		t.Errorf("where the newer one needs half, the older one keeps %d", got)
	}
}

func TestParts(t *testing.T) {
	alone, beside, over := View{}, View{Others: []int{1}}, View{Others: []int{2}, Superseded: true}
	type look struct {
		at      time.Duration
		v       View
		listed  bool
		callers int
		want    Phase
	}
	const s = time.Second
	for name, looks := range map[string][]look{
		"alone":            {{0, alone, false, 0, Serving}, {s, alone, true, 5, Serving}},
		"a newcomer":       {{0, beside, true, 0, Starting}, {successorNoticeTime, beside, true, 0, Serving}, {s, beside, true, 9, Serving}},
		"a silent list":    {{s, beside, false, 0, Starting}, {endpointListTimeout, beside, false, 0, Serving}},
		"the others die":   {{0, beside, false, 0, Starting}, {1, alone, false, 0, Serving}},
		"it is taken over": {{0, alone, true, 5, Serving}, {s, over, true, 5, Draining}, {9 * s, over, true, 1, Draining}, {10 * s, over, true, 0, Finished}},
		"no haste":         {{0, alone, true, 0, Serving}, {s, over, true, 0, Draining}, {s + minDrainTime - 1, over, true, 0, Draining}, {s + minDrainTime, over, true, 0, Finished}},
		"the heir dies":    {{0, alone, true, 5, Serving}, {s, over, true, 5, Draining}, {2 * s, alone, true, 0, Serving}, {3 * s, over, true, 0, Draining}},
	} {
		p := NewLifecycle(0)
		for i, l := range looks {
			was := p.Phase()
			if changed := p.Update(l.at, l.v, l.listed, l.callers); p.Phase() != l.want || changed != (was != l.want) {
				t.Errorf("%s, look %d: phase %d, changed %v, want %d", name, i, p.Phase(), changed, l.want)
			}
		}
	}
}

func TestDescriptor(t *testing.T) {
	for value, want := range map[string]int{"": 0, "5": 5, "3": 3} {
		if fd, err := InheritedDescriptor("ROUTER_LISTEN_FD", value); err != nil || fd != want {
			t.Errorf("%q: %d, %v", value, fd, err)
		}
	}
	for _, value := range []string{"five", "-1", "0", "2", "5x"} {
		if _, err := InheritedDescriptor("ROUTER_LISTEN_FD", value); err == nil || !strings.Contains(err.Error(), "ROUTER_LISTEN_FD") {
			t.Errorf("%q: %v", value, err)
		}
	}
}

// inherited is a descriptor of a socket, as a platform hands it on.
func inherited(t *testing.T, l *net.TCPListener) int {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	if err := raw.Control(func(of uintptr) { fd, err = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) }); err != nil || fd < 0 {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	return fd
}

func TestTheSocketIsChecked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	raw, _ := u.(*net.UDPConn).SyscallConn()
	udp := -1
	_ = raw.Control(func(of uintptr) { udp, _ = unix.FcntlInt(of, unix.F_DUPFD_CLOEXEC, 0) })
	defer unix.Close(udp)
	bound, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(bound)
	file, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, here := inherited(t, l.(*net.TCPListener)), l.Addr().String()
	for _, row := range []struct {
		fd      int
		address string
		want    string
	}{{fd, here, ""}, {fd, "0.0.0.0:" + here[strings.LastIndex(here, ":")+1:], ""}, {fd, "127.0.0.1:1", "not at 127.0.0.1:1"}, {fd, "127.0.0.2" + here[strings.LastIndex(here, ":"):], "not at"},
		{udp, here, "no TCP socket"}, {bound, here, "does not listen"}, {int(file.Fd()), here, "no socket"}, {9999, here, "no socket"}} {
		got, err := InheritedListener(row.fd, row.address)
		if row.want == "" {
			if err != nil {
				t.Errorf("%s: %v", row.address, err)
				continue
			}
			got.Close()
		} else if err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("descriptor %d at %s: %v, want %q", row.fd, row.address, err, row.want)
		}
	}
}

// A listener that closes leaves the socket to the others: callers in its queue are theirs.
func TestClosingLeavesTheSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fd, here := inherited(t, l.(*net.TCPListener)), l.Addr().String()
	first, err := InheritedListener(fd, here)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	nc, err := net.Dial("tcp", here)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	first.Close()
	second, err := InheritedListener(fd, here)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	_ = second.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := second.Accept(); err != nil {
		t.Errorf("who waited in the queue is lost: %v", err)
	}
}

// Seen in the test of two processes: os/exec sets a socket blocking that it hands on. An accept of the process that has
// it already must not hang on it, or that one could never end.
func TestAnAcceptDoesNotHangOnABlockingSocket(t *testing.T) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // where accept heeds the socket's limit of time
	l, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fd := inherited(t, l.(*net.TCPListener))
	own, err := InheritedListener(fd, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(fd, false); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := own.Accept()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // it sleeps in the system, or is about to
	_ = own.SetDeadline(time.Unix(1, 0))
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("it hangs")
		if nc, err := net.Dial("tcp", l.Addr().String()); err == nil {
			nc.Close()
		}
	}
	own.Close()
}

func FuzzParse(f *testing.F) {
	whole, _ := State{Format: stateFormat, Name: "n1", Processes: []Process{{1, true}}, Ejections: []Ejection{{"s-1", true, 5}}}.encode()
	f.Add(whole)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text, "n1")
		if err != nil {
			return
		}
		s.addProcess(func(int) bool { return true })
		s.recordEjection(Ejection{"x", true, 1})
		again, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(again, "n1"); err != nil {
			t.Errorf("%s becomes %s: %v", text, again, err)
		}
	})
}
