package discovery

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// clientFixture is an AgentClient that runs against a scripted agent until the test ends.
type clientFixture struct {
	*AgentClient
	updates   chan ListUpdate // updates that the client reported
	watchEnds chan bool       // one value for each call of OnWatchEnd
	queries   chan string     // URL queries of the requests that the agent received
}

// startClient starts a client that knows the list at the given version. configure may be nil; otherwise it is called before Run. The
// agent responds to each request with the next step of its script.
func startClient(t *testing.T, version int64, configure func(*AgentClient), steps ...string) *clientFixture {
	t.Helper()
	addr, queries := serveScript(t, steps...)
	f := &clientFixture{updates: make(chan ListUpdate, 100), watchEnds: make(chan bool, 100), queries: queries}
	f.AgentClient = NewAgentClient(addr, &version, false, slog.New(slog.DiscardHandler))
	f.OnUpdate, f.OnWatchEnd = func(update ListUpdate) { f.updates <- update }, func() { f.watchEnds <- true }
	f.idleTimeout, f.firstByteTimeout = testpeer.Timeout, testpeer.Timeout
	if configure != nil {
		configure(f.AgentClient)
	}
	ctx := t.Context()
	go f.Run(ctx)
	return f
}

// serveScript starts an agent that responds to each request with the next of the response bodies in steps, and sends nothing once all of
// them are used up.
func serveScript(t *testing.T, steps ...string) (addr string, queries chan string) {
	t.Helper()
	agent := &testpeer.ScriptedAgent{Responses: steps, Queries: make(chan string, 100)}
	return serveHandler(t, agent), agent.Queries
}

func serveHandler(t *testing.T, h http.Handler) (addr string) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections() // server.Close would wait for a watch that is still open
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (f *clientFixture) expectQueries(t *testing.T, queries ...string) {
	t.Helper()
	for _, want := range queries {
		select {
		case got := <-f.queries:
			if got != want {
				t.Errorf("the agent received the query %q, want %q", got, want)
			}
		case <-time.After(testpeer.Timeout):
			t.Fatalf("the agent did not receive the query %q", want)
		}
	}
}

func (f *clientFixture) expectVersions(t *testing.T, versions ...int64) {
	t.Helper()
	for _, want := range versions {
		select {
		case update := <-f.updates:
			if *update.Version != want {
				t.Errorf("the client delivered version %d, want %d", *update.Version, want)
			}
		case <-time.After(testpeer.Timeout):
			t.Fatalf("the client did not deliver version %d", want)
		}
	}
}

func TestLostWatchResumesAfterLastVersion(t *testing.T) {
	f := startClient(t, 41, nil,
		"\n"+testpeer.EncodeMembers(43, false, testpeer.EncodeMember("a", "127.0.0.1:1", "Terminating"))+"\n\n"+testpeer.EncodeMembers(44, false)+"\n",
		testpeer.EncodeMembers(50, true, testpeer.EncodeMember("b", "127.0.0.1:2", "Ready"))+"\nSILENT")
	f.expectVersions(t, 43, 44, 50)
	f.expectQueries(t, "watch=1&after=41", "watch=1&after=44")
}

func TestSilentWatchIsReopened(t *testing.T) {
	f := startClient(t, 7, func(c *AgentClient) { c.idleTimeout = 200 * time.Millisecond },
		"\nSILENT", testpeer.EncodeMembers(8, false)+"\nSILENT")
	f.expectQueries(t, "watch=1&after=7", "watch=1&after=7")
	f.expectVersions(t, 8)
}

// After a malformed message an update may have been missed: the client fetches the complete list, and reports nothing until then.
func TestMalformedMessageRefetchesList(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":          "{nonsense",
		"no entries":       `{"version":42,"full":true}`,
		"no version":       `{"full":false,"servers":[]}`,
		"an unknown state": testpeer.EncodeMembers(42, false, testpeer.EncodeMember("a", "127.0.0.1:1", "Asleep")),
		"no address":       testpeer.EncodeMembers(42, false, testpeer.EncodeMember("a", "", "Ready")),
		"a bad address":    testpeer.EncodeMembers(42, false, testpeer.EncodeMember("a", "127.0.0.1:http", "Ready")),
		"no id":            testpeer.EncodeMembers(42, false, testpeer.EncodeMember("", "127.0.0.1:1", "Ready")),
		"an older version": testpeer.EncodeMembers(40, false),
	} {
		t.Run(name, func(t *testing.T) {
			f := startClient(t, 41, nil, line+"\n", testpeer.EncodeMembers(60, true), testpeer.EncodeMembers(61, false)+"\nSILENT")
			f.expectVersions(t, 60, 61)
			f.expectQueries(t, "watch=1&after=41", "", "watch=1&after=60")
		})
	}
}

func TestWatchEndIsReportedWhenSubscriptionIsRequired(t *testing.T) {
	f := startClient(t, 41, func(c *AgentClient) { c.mustSubscribe = true },
		testpeer.EncodeMembers(42, false)+"\n", testpeer.EncodeMembers(43, false)+"\nSILENT")
	f.Subscribe()
	f.expectVersions(t, 42)
	<-f.watchEnds
	f.Subscribe()
	f.expectVersions(t, 43)
	f.expectQueries(t, "watch=1&after=41", "watch=1&after=42")
}

// After SwitchAgent the watch of the old agent ends at once, and the complete list is fetched from the new agent, since the version of
// the old agent's list does not tell which updates of the new agent were missed.
func TestSwitchAgentFetchesListFromNewAddress(t *testing.T) {
	for name, mustSubscribe := range map[string]bool{"pushed": false, "subscribed": true} {
		t.Run(name, func(t *testing.T) {
			f := startClient(t, 41, func(c *AgentClient) { c.mustSubscribe = mustSubscribe; c.Subscribe() }, testpeer.EncodeMembers(42, false)+"\nSILENT")
			f.expectVersions(t, 42)
			addr, queries := serveScript(t, testpeer.EncodeMembers(7, true), testpeer.EncodeMembers(8, false)+"\nSILENT")
			f.SwitchAgent(addr)
			f.expectVersions(t, 7, 8)
			f.queries = queries
			f.expectQueries(t, "", "watch=1&after=7")
			if len(f.watchEnds) > 0 {
				t.Error("the switch was reported as the end of a watch")
			}
		})
	}
}

// SwitchAgent may be called before an earlier call is handled, with the address of an agent that sends nothing, and with the address
// of the current agent.
func TestLastOfManySwitchAgentCallsTakesEffect(t *testing.T) {
	f := startClient(t, 41, nil, testpeer.EncodeMembers(42, false)+"\nSILENT")
	f.expectVersions(t, 42)
	silentAddr, silentQueries := serveScript(t)
	f.SwitchAgent(silentAddr)
	<-silentQueries
	watched := make(chan bool, 100)
	addr := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			io.WriteString(w, testpeer.EncodeMembers(7, true))
			return
		}
		watched <- true
		<-r.Context().Done()
	}))
	for range 3 {
		f.SwitchAgent(silentAddr)
		f.SwitchAgent(addr)
	}
	f.expectVersions(t, 7)
	<-watched
	f.SwitchAgent(addr)
	<-watched
}

// The complete list must arrive within 4 s of a switch to another agent, even if the first request gets no response.
func TestUnansweredRequestIsRetried(t *testing.T) {
	f := startClient(t, 41, func(c *AgentClient) { c.firstByteTimeout = 200 * time.Millisecond }, "SILENT")
	silentAddr, queries := serveScript(t)
	f.SwitchAgent(silentAddr)
	<-queries
	<-queries
	if 2*pushedFirstByteTimeout+minBackoff > 3*time.Second {
		t.Errorf("two requests without a response take %v each and a backoff of %v, want at most 3s together", pushedFirstByteTimeout, minBackoff)
	}
}
