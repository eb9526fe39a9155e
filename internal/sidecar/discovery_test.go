package sidecar

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

func members(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

func member(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":3,"state":%q,"weight":1.0,"started_ms":0}`, id, addr, state)
}

// script answers each call to discovery with its next step and reports the call.
type script struct {
	steps []string // lines; "SILENT" at the end holds the connection open
	calls chan string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls <- r.URL.RawQuery
	if len(s.steps) == 0 {
		<-r.Context().Done()
		return
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	text, silent := strings.CutSuffix(step, "SILENT")
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
	if silent {
		<-r.Context().Done()
	}
}

type followed struct {
	*discovery
	got      chan Members
	failures chan bool
	calls    chan string
}

func follow(t *testing.T, version int64, change func(*discovery), steps ...string) *followed {
	s := &script{steps: steps, calls: make(chan string, 100)}
	addr := serveDiscovery(t, s)
	f := &followed{got: make(chan Members, 100), failures: make(chan bool, 100), calls: s.calls}
	f.discovery = newDiscovery(addr, &version, false, slog.New(slog.DiscardHandler))
	f.deliver, f.failed = func(m Members) { f.got <- m }, func() { f.failures <- true }
	f.silence, f.patient = patience, patience
	if change != nil {
		change(f.discovery)
	}
	ctx := ctxFor(t, 2*patience)
	go f.run(ctx)
	return f
}

func (f *followed) expectCalls(t *testing.T, queries ...string) {
	t.Helper()
	for _, want := range queries {
		select {
		case got := <-f.calls:
			if got != want {
				t.Errorf("asked %q, want %q", got, want)
			}
		case <-time.After(patience):
			t.Fatalf("never asked %q", want)
		}
	}
}

func (f *followed) expectVersions(t *testing.T, versions ...int64) {
	t.Helper()
	for _, want := range versions {
		select {
		case m := <-f.got:
			if *m.Version != want {
				t.Errorf("version %d, want %d", *m.Version, want)
			}
		case <-time.After(patience):
			t.Fatalf("version %d never came", want)
		}
	}
}

func TestALostWatchIsResumed(t *testing.T) {
	f := follow(t, 41, nil,
		"\n"+members(43, false, member("a", "127.0.0.1:1", "Terminating"))+"\n\n"+members(44, false)+"\n",
		members(50, true, member("b", "127.0.0.1:2", "Ready"))+"\nSILENT")
	f.expectVersions(t, 43, 44, 50)
	f.expectCalls(t, "watch=1&after=41", "watch=1&after=44")
}

func TestASilentWatchIsGivenUp(t *testing.T) {
	f := follow(t, 7, func(d *discovery) { d.silence = 200 * time.Millisecond },
		"\nSILENT", members(8, false)+"\nSILENT")
	f.expectCalls(t, "watch=1&after=7", "watch=1&after=7")
	f.expectVersions(t, 8)
}

// After what can't be read something may be missing: the whole list is asked for, and the old one stands.
func TestAMalformedLineStartsAnew(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":          "{nonsense",
		"no entries":       `{"version":42,"full":true}`,
		"no version":       `{"full":false,"servers":[]}`,
		"an unknown state": members(42, false, member("a", "127.0.0.1:1", "Asleep")),
		"no address":       members(42, false, member("a", "", "Ready")),
		"a bad address":    members(42, false, member("a", "127.0.0.1:http", "Ready")),
		"no id":            members(42, false, member("", "127.0.0.1:1", "Ready")),
		"an older version": members(40, false),
	} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, 41, nil, line+"\n", members(60, true), members(61, false)+"\nSILENT")
			f.expectVersions(t, 60, 61)
			f.expectCalls(t, "watch=1&after=41", "", "watch=1&after=60")
		})
	}
}

func TestWhereDiscoveryIsAskedItsEndIsReported(t *testing.T) {
	f := follow(t, 41, func(d *discovery) { d.onAsk = true }, members(42, false)+"\n", members(43, false)+"\nSILENT")
	f.subscribe()
	f.expectVersions(t, 42)
	<-f.failures
	f.subscribe()
	f.expectVersions(t, 43)
	f.expectCalls(t, "watch=1&after=41", "watch=1&after=42")
}

func TestEntriesAreRead(t *testing.T) {
	m, err := parseMembers([]byte(members(3, true, member("a", "127.0.0.1:1", "Ready"), member("b", "", "Gone"))))
	if err != nil {
		t.Fatal(err)
	}
	a := m.Servers[0]
	if *m.Version != 3 || !m.Full || a.ID != "a" || a.Addr != "127.0.0.1:1" || a.Zone != "z" || a.Kind != "k" || a.Cell != 3 ||
		a.State != balance.Ready || m.Servers[1].State != balance.Gone {
		t.Errorf("%+v", m)
	}
}

// another is a further discovery to move to.
func another(t *testing.T, steps ...string) (addr string, calls chan string) {
	s := &script{steps: steps, calls: make(chan string, 100)}
	return serveDiscovery(t, s), s.calls
}

func serveDiscovery(t *testing.T, h http.Handler) (addr string) {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections() // a watch may still be open
		server.Close()
	})
	return server.Listener.Addr().String()
}

// The old watch must end at once, and the new address be asked for all: its versions say nothing of what was missed.
func TestAMoveAsksForTheWholeListElsewhere(t *testing.T) {
	for name, onAsk := range map[string]bool{"pushed": false, "asked": true} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, 41, func(d *discovery) { d.onAsk = onAsk; d.subscribe() }, members(42, false)+"\nSILENT")
			f.expectVersions(t, 42)
			addr, calls := another(t, members(7, true), members(8, false)+"\nSILENT")
			f.move(addr)
			f.expectVersions(t, 7, 8)
			f.calls = calls
			f.expectCalls(t, "", "watch=1&after=7")
			if len(f.failures) > 0 {
				t.Error("a move passed for a failure")
			}
		})
	}
}

// Moves may come before the last one is done, to an address that says nothing, or to the same.
func TestTheLastOfManyMovesCounts(t *testing.T) {
	f := follow(t, 41, nil, members(42, false)+"\nSILENT")
	f.expectVersions(t, 42)
	mute, heard := another(t)
	f.move(mute)
	<-heard
	watched := make(chan bool, 100)
	addr := serveDiscovery(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			io.WriteString(w, members(7, true))
			return
		}
		watched <- true
		<-r.Context().Done()
	}))
	for range 3 {
		f.move(mute)
		f.move(addr)
	}
	f.expectVersions(t, 7)
	<-watched
	f.move(addr)
	<-watched
}

// All has to be told again within 4 s of a move, though the first call meets silence.
func TestACallThatMeetsSilenceIsMadeAgain(t *testing.T) {
	f := follow(t, 41, func(d *discovery) { d.patient = 200 * time.Millisecond }, "SILENT")
	mute, calls := another(t)
	f.move(mute)
	<-calls
	<-calls
	if 2*askPushed+retryLeast > 3*time.Second {
		t.Errorf("two calls in vain take %v each", askPushed)
	}
}
