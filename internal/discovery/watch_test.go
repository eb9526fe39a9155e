package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tuliprock/internal/testkit/testpeer"
)

// serveFunc writes the response to the agent's nth request, counted from 1.
type serveFunc func(agent *scriptedAgent, w io.Writer, query string, n int)

// scriptedAgent is an agent in virtual time. serve is called on a goroutine of its own for each request.
type scriptedAgent struct {
	serve      serveFunc
	startedAt  time.Time
	mu         sync.Mutex
	queries    []string        // guarded by mu until the client has ended
	versions   []int64         // that the client delivered
	receivedAt []time.Duration // the instant of each version, since startedAt
}

// runScript runs a client, which knows the list at version 7, against a scripted agent for d, and returns the agent as it is then.
func runScript(t *testing.T, d time.Duration, serve serveFunc) (agent *scriptedAgent) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		version := int64(7)
		agent = &scriptedAgent{serve: serve, startedAt: time.Now()}
		client := NewAgentClient("agent:1", &version, false, slog.New(slog.DiscardHandler))
		dial := func(context.Context, string, string) (net.Conn, error) {
			clientConn, agentConn := net.Pipe()
			go agent.serveConn(agentConn)
			return clientConn, nil
		}
		client.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
		client.OnUpdate = func(update ListUpdate) {
			agent.versions, agent.receivedAt = append(agent.versions, *update.Version), append(agent.receivedAt, agent.elapsed())
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); client.Run(ctx) }()
		time.Sleep(d) // virtual
		synctest.Wait()
		stop()
		<-ended
		time.Sleep(2 * time.Minute) // virtual: the agent's goroutines end
	})
	return agent
}

func (a *scriptedAgent) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	a.mu.Lock()
	a.queries = append(a.queries, r.URL.RawQuery)
	n := len(a.queries)
	a.mu.Unlock()
	a.serve(a, conn, r.URL.RawQuery, n)
	_, _ = reader.ReadByte() // blocks until the client closes the connection
}

func (a *scriptedAgent) elapsed() time.Duration { return time.Since(a.startedAt) }

// sendHeartbeats keeps a watch alive. The last heartbeat is sent at the instant until.
func (a *scriptedAgent) sendHeartbeats(w io.Writer, until time.Duration) {
	for a.elapsed() <= until {
		writeChunk(w, "\n")
		time.Sleep(min(2*time.Second, until-a.elapsed()+1)) // virtual
	}
}

// openStream writes the header of a chunked response, writeChunk a part of its body, and writeResponse a complete response. Their
// errors are ignored, since the client closes a connection whenever it gives up a response.
func openStream(w io.Writer) {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func writeChunk(w io.Writer, text string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func writeResponse(w io.Writer, text string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// An update that a silent watch misses arrives within the 6 s after which it counts as received, though the next two requests meet
// silence, too: whether they are accepted and get no response, or open a watch that sends nothing.
func TestUpdateMissedBySilentWatchArrivesInTime(t *testing.T) {
	const silentFrom = 10 * time.Second
	for name, serveSilently := range map[string]func(io.Writer){
		"requests without a response":        func(io.Writer) {},
		"watches that open and send nothing": openStream,
	} {
		t.Run(name, func(t *testing.T) {
			agent := runScript(t, silentFrom+6*time.Second, func(agent *scriptedAgent, w io.Writer, query string, n int) {
				switch {
				case n == 1:
					openStream(w)
					agent.sendHeartbeats(w, silentFrom)
				case n < 4:
					serveSilently(w)
				case query == "":
					writeResponse(w, testpeer.Members(8, true))
				default:
					openStream(w)
					writeChunk(w, testpeer.Members(8, false)+"\n")
				}
			})
			if len(agent.versions) == 0 {
				t.Errorf("no update 6 s after the silence began, queries %q", agent.queries)
			}
		})
	}
}

// An agent that is silent for long answers the requests that wait when it returns, and its updates then count as received at once:
// except for a short backoff, one request always waits.
func TestUpdateArrivesAtOnceWhenAgentReturns(t *testing.T) {
	const downAt = 5 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		upAt := downAt + time.Duration(rapid.IntRange(int(5*time.Second), int(60*time.Second)).Draw(rt, "down for"))
		agent := runScript(t, upAt+2*time.Second, func(agent *scriptedAgent, w io.Writer, _ string, n int) {
			if n == 1 {
				openStream(w)
				agent.sendHeartbeats(w, downAt)
				return
			}
			time.Sleep(max(upAt-agent.elapsed(), 0)) // virtual
			openStream(w)
			writeChunk(w, testpeer.Members(8, false)+"\n")
		})
		if len(agent.receivedAt) == 0 || agent.receivedAt[0] < upAt || agent.receivedAt[0]-upAt > 2*minBackoff {
			rt.Fatalf("down until %v, updates received after %v", upAt, agent.receivedAt)
		}
	})
}

// A watch that sends only heartbeats while nothing changes is kept, after the complete list was fetched once.
func TestWatchWithOnlyHeartbeatsIsKept(t *testing.T) {
	agent := runScript(t, 50*time.Second, func(agent *scriptedAgent, w io.Writer, query string, _ int) {
		if query == "" {
			writeResponse(w, testpeer.Members(8, true))
			return
		}
		openStream(w)
		time.Sleep(2 * time.Second) // virtual
		agent.sendHeartbeats(w, time.Minute)
	})
	if want := []string{"watch=1&after=7", "", "watch=1&after=8"}; fmt.Sprint(agent.queries) != fmt.Sprint(want) {
		t.Errorf("queries %q, want %q", agent.queries, want)
	}
}

// A message that begins and does not end is malformed, whether it stops or never ends: the complete list is fetched at once, and not
// when the watch has been silent.
func TestUnfinishedMessageRefetchesList(t *testing.T) {
	const chunkBytes = 64 << 10
	for name, c := range map[string]struct {
		furtherChunks int
		within        time.Duration // for an update delivered later would come after the draining member was used
	}{
		"it stops":        {0, 500 * time.Millisecond},
		"it is unbounded": {2 * maxMessageBytes / chunkBytes, pushedFirstByteTimeout - 1},
	} {
		t.Run(name, func(t *testing.T) {
			agent := runScript(t, c.within, func(agent *scriptedAgent, w io.Writer, query string, n int) {
				if query == "" {
					writeResponse(w, testpeer.Members(9, true))
					return
				}
				openStream(w)
				if n > 1 {
					agent.sendHeartbeats(w, time.Minute)
					return
				}
				writeChunk(w, "\n")
				writeChunk(w, `{"version":8,"full":false,"servers":[`+"\n")
				for range c.furtherChunks {
					writeChunk(w, strings.Repeat(" ", chunkBytes))
				}
			})
			if len(agent.versions) != 1 || agent.versions[0] != 9 {
				t.Errorf("versions %v, queries %q", agent.versions, agent.queries)
			}
		})
	}
}

const indentedList = "{\n  \"version\": 8,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a } \\\" {\",\n" +
	"      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"Ready\"\n    }\n  ]\n}\n"

// Lists may be indented and arrive in parts: a watch split at any byte, or into single bytes, delivers the same updates, and the
// complete list need not be fetched.
func TestWatchSplitAtEveryByteDeliversTheSameUpdates(t *testing.T) {
	stream := "\n" + indentedList + "\n\n" + testpeer.Members(9, false, testpeer.Member("b", "127.0.0.1:2", "Terminating")) + "\r\n" +
		indentedList + testpeer.Members(10, false) + "\n\n"
	for splitAt := range len(stream) {
		parts := []string{stream[:splitAt], stream[splitAt:]}
		if splitAt == 0 {
			parts = strings.Split(stream, "")
		}
		agent := runScript(t, time.Second, func(_ *scriptedAgent, w io.Writer, _ string, _ int) {
			openStream(w)
			for _, part := range parts {
				writeChunk(w, part)
			}
		})
		if fmt.Sprint(agent.versions) != "[8 9 8 10]" || len(agent.queries) != 1 {
			t.Errorf("split at %d: versions %v, queries %q", splitAt, agent.versions, agent.queries)
		}
	}
}

// The same over a socket: an indented list, and a change.
func TestWatchReadsIndentedList(t *testing.T) {
	f := startClient(t, 7, nil, indentedList+testpeer.Members(9, false)+"\nSILENT")
	f.expectVersions(t, 8, 9)
	f.expectQueries(t, "watch=1&after=7")
}
