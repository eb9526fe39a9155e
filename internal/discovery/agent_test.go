package discovery

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/testpeer"
)

type followed struct {
	*AgentClient
	got      chan ListUpdate
	failures chan bool
	calls    chan string
}

func follow(t *testing.T, version int64, change func(*AgentClient), steps ...string) *followed {
	s := &testpeer.Discovery{Steps: steps, Calls: make(chan string, 100)}
	addr := serveDiscovery(t, s)
	f := &followed{got: make(chan ListUpdate, 100), failures: make(chan bool, 100), calls: s.Calls}
	f.AgentClient = NewAgentClient(addr, &version, false, slog.New(slog.DiscardHandler))
	f.Deliver, f.Failed = func(m ListUpdate) { f.got <- m }, func() { f.failures <- true }
	f.idleTimeout, f.firstByteTimeout = testpeer.Patience, testpeer.Patience
	if change != nil {
		change(f.AgentClient)
	}
	ctx := t.Context()
	go f.Run(ctx)
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
		case <-time.After(testpeer.Patience):
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
		case <-time.After(testpeer.Patience):
			t.Fatalf("version %d never came", want)
		}
	}
}

func TestLostWatchResumesAfterLastVersion(t *testing.T) {
	f := follow(t, 41, nil,
		"\n"+testpeer.Members(43, false, testpeer.Member("a", "127.0.0.1:1", "Terminating"))+"\n\n"+testpeer.Members(44, false)+"\n",
		testpeer.Members(50, true, testpeer.Member("b", "127.0.0.1:2", "Ready"))+"\nSILENT")
	f.expectVersions(t, 43, 44, 50)
	f.expectCalls(t, "watch=1&after=41", "watch=1&after=44")
}

func TestSilentWatchIsReopened(t *testing.T) {
	f := follow(t, 7, func(d *AgentClient) { d.idleTimeout = 200 * time.Millisecond },
		"\nSILENT", testpeer.Members(8, false)+"\nSILENT")
	f.expectCalls(t, "watch=1&after=7", "watch=1&after=7")
	f.expectVersions(t, 8)
}

// After what can't be read something may be missing: the whole list is asked for, and the old one stands.
func TestMalformedMessageRefetchesList(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":          "{nonsense",
		"no entries":       `{"version":42,"full":true}`,
		"no version":       `{"full":false,"servers":[]}`,
		"an unknown state": testpeer.Members(42, false, testpeer.Member("a", "127.0.0.1:1", "Asleep")),
		"no address":       testpeer.Members(42, false, testpeer.Member("a", "", "Ready")),
		"a bad address":    testpeer.Members(42, false, testpeer.Member("a", "127.0.0.1:http", "Ready")),
		"no id":            testpeer.Members(42, false, testpeer.Member("", "127.0.0.1:1", "Ready")),
		"an older version": testpeer.Members(40, false),
	} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, 41, nil, line+"\n", testpeer.Members(60, true), testpeer.Members(61, false)+"\nSILENT")
			f.expectVersions(t, 60, 61)
			f.expectCalls(t, "watch=1&after=41", "", "watch=1&after=60")
		})
	}
}

func TestWatchEndIsReportedWhenSubscriptionRequired(t *testing.T) {
	f := follow(t, 41, func(d *AgentClient) { d.mustSubscribe = true }, testpeer.Members(42, false)+"\n", testpeer.Members(43, false)+"\nSILENT")
	f.Subscribe()
	f.expectVersions(t, 42)
	<-f.failures
	f.Subscribe()
	f.expectVersions(t, 43)
	f.expectCalls(t, "watch=1&after=41", "watch=1&after=42")
}

func TestParseListUpdateReadsAllFields(t *testing.T) {
	m, err := ParseListUpdate([]byte(testpeer.Members(3, true, testpeer.Member("a", "127.0.0.1:1", "Ready"), testpeer.Member("b", "", "Gone"))))
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
	s := &testpeer.Discovery{Steps: steps, Calls: make(chan string, 100)}
	return serveDiscovery(t, s), s.Calls
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
func TestSwitchAgentFetchesListFromNewAddress(t *testing.T) {
	for name, onAsk := range map[string]bool{"pushed": false, "asked": true} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, 41, func(d *AgentClient) { d.mustSubscribe = onAsk; d.Subscribe() }, testpeer.Members(42, false)+"\nSILENT")
			f.expectVersions(t, 42)
			addr, calls := another(t, testpeer.Members(7, true), testpeer.Members(8, false)+"\nSILENT")
			f.SwitchAgent(addr)
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
func TestLastOfManySwitchesWins(t *testing.T) {
	f := follow(t, 41, nil, testpeer.Members(42, false)+"\nSILENT")
	f.expectVersions(t, 42)
	mute, heard := another(t)
	f.SwitchAgent(mute)
	<-heard
	watched := make(chan bool, 100)
	addr := serveDiscovery(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			io.WriteString(w, testpeer.Members(7, true))
			return
		}
		watched <- true
		<-r.Context().Done()
	}))
	for range 3 {
		f.SwitchAgent(mute)
		f.SwitchAgent(addr)
	}
	f.expectVersions(t, 7)
	<-watched
	f.SwitchAgent(addr)
	<-watched
}

// All has to be told again within 4 s of a move, though the first call meets silence.
func TestUnansweredRequestIsRetried(t *testing.T) {
	f := follow(t, 41, func(d *AgentClient) { d.firstByteTimeout = 200 * time.Millisecond }, "SILENT")
	mute, calls := another(t)
	f.SwitchAgent(mute)
	<-calls
	<-calls
	if 2*pushedFirstByteTimeout+minBackoff > 3*time.Second {
		t.Errorf("two calls in vain take %v each", pushedFirstByteTimeout)
	}
}
