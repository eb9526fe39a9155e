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

// serveFunc writes the agent's response to a request. query is the request's URL query, and n its number, counted from 1.
type serveFunc func(agent *scriptedAgent, w io.Writer, query string, n int)

// scriptedAgent is a discovery agent in virtual time, with a record of what a client requested and delivered.
type scriptedAgent struct {
	serve       serveFunc // called for each request, on a new goroutine
	startedAt   time.Time
	mu          sync.Mutex
	queries     []string        // URL queries of all requests; guarded by mu until the client has ended
	versions    []int64         // versions of the updates that the client delivered
	deliveredAt []time.Duration // when the client delivered each of the versions, as a time since startedAt
}

// runScript runs a client that knows the list at version 7 against a scripted agent for the duration d, and returns the agent
// afterwards.
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
			agent.versions, agent.deliveredAt = append(agent.versions, *update.Version), append(agent.deliveredAt, agent.elapsed())
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); client.Run(ctx) }()
		time.Sleep(d) // sleeps in virtual time, which takes no real time
		synctest.Wait()
		stop()
		<-ended
		time.Sleep(2 * time.Minute) // sleeps in virtual time until the agent's goroutines have ended
	})
	return agent
}

// serveConn reads one request, records it and serves it.
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

// elapsed returns the time since the agent's start.
func (a *scriptedAgent) elapsed() time.Duration { return time.Since(a.startedAt) }

// sendHeartbeats sends heartbeats on a watch. The last one is sent when the time until has elapsed since the agent's start.
func (a *scriptedAgent) sendHeartbeats(w io.Writer, until time.Duration) {
	for a.elapsed() <= until {
		writeChunk(w, "\n")
		time.Sleep(min(2*time.Second, until-a.elapsed()+1)) // sleeps in virtual time, which takes no real time
	}
}

// openStream writes the header of a chunked response. Write errors are ignored, since the client closes the connection whenever it
// abandons a response.
func openStream(w io.Writer) {
	io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// writeChunk writes one chunk of a chunked response. Write errors are ignored, since the client closes the connection whenever it
// abandons a response.
func writeChunk(w io.Writer, text string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

// writeResponse writes a complete response with a Content-Length. Write errors are ignored, since the client closes the connection
// whenever it abandons a response.
func writeResponse(w io.Writer, text string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// The platform expects a sidecar to have received an update 6 s after the sidecar's watch fell silent. The client must deliver the update
// by then, even if its next two requests fail as well, because they get no response or open a watch that sends nothing.
func TestUpdateMissedBySilentWatchArrivesInTime(t *testing.T) {
	const silentFrom = 10 * time.Second
	for name, serveNothing := range map[string]func(io.Writer){
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
					serveNothing(w)
				case query == "":
					writeResponse(w, testpeer.EncodeMembers(8, true))
				default:
					openStream(w)
					writeChunk(w, testpeer.EncodeMembers(8, false)+"\n")
				}
			})
			if len(agent.versions) == 0 {
				t.Errorf("no update was delivered within 6 s of the silence, queries %q", agent.queries)
			}
		})
	}
}

// When an agent comes back after a long silence, it responds to pending requests, and the platform expects a sidecar to receive the
// agent's updates at once. So the client must always have a request pending, except during a short backoff.
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
			time.Sleep(max(upAt-agent.elapsed(), 0)) // sleeps in virtual time, which takes no real time
			openStream(w)
			writeChunk(w, testpeer.EncodeMembers(8, false)+"\n")
		})
		if len(agent.deliveredAt) == 0 || agent.deliveredAt[0] < upAt || agent.deliveredAt[0]-upAt > 2*minBackoff {
			rt.Fatalf("the agent was down until %v and updates were delivered at %v, want the first within %v", upAt, agent.deliveredAt, 2*minBackoff)
		}
	})
}

// After the complete list has been fetched, a watch that sends only heartbeats stays open.
func TestWatchWithOnlyHeartbeatsIsKept(t *testing.T) {
	agent := runScript(t, 50*time.Second, func(agent *scriptedAgent, w io.Writer, query string, _ int) {
		if query == "" {
			writeResponse(w, testpeer.EncodeMembers(8, true))
			return
		}
		openStream(w)
		time.Sleep(2 * time.Second) // sleeps in virtual time, which takes no real time
		agent.sendHeartbeats(w, time.Minute)
	})
	if want := []string{"watch=1&after=7", "", "watch=1&after=8"}; fmt.Sprint(agent.queries) != fmt.Sprint(want) {
		t.Errorf("queries %q, want %q", agent.queries, want)
	}
}

// A message that begins but does not end is malformed, whether it stops or goes on without end. The complete list is then fetched at
// once, not only after the idle timeout.
func TestUnfinishedMessageRefetchesList(t *testing.T) {
	const chunkBytes = 64 << 10
	for name, c := range map[string]struct {
		furtherChunks int
		timeLimit     time.Duration // longest time until the complete list is delivered; after it, requests might go to a member that is draining
	}{
		"message stops":        {0, 500 * time.Millisecond},
		"message is unbounded": {2 * maxMessageBytes / chunkBytes, pushedFirstByteTimeout - 1},
	} {
		t.Run(name, func(t *testing.T) {
			agent := runScript(t, c.timeLimit, func(agent *scriptedAgent, w io.Writer, query string, n int) {
				if query == "" {
					writeResponse(w, testpeer.EncodeMembers(9, true))
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
				t.Errorf("delivered versions %v, want version 9 alone; queries %q", agent.versions, agent.queries)
			}
		})
	}
}

// indentedList is the complete list at version 8, of one member whose ID has braces and quotes.
const indentedList = "{\n  \"version\": 8,\n  \"full\": true,\n  \"servers\": [\n    {\n      \"id\": \"a } \\\" {\",\n" +
	"      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"Ready\"\n    }\n  ]\n}\n"

// Lists may be indented, and messages may arrive in parts. However the stream of a watch is split, at any byte or into single bytes, the
// client delivers the same updates and need not fetch the complete list.
func TestWatchSplitAtEveryByteDeliversTheSameUpdates(t *testing.T) {
	stream := "\n" + indentedList + "\n\n" + testpeer.EncodeMembers(9, false, testpeer.EncodeMember("b", "127.0.0.1:2", "Terminating")) + "\r\n" +
		indentedList + testpeer.EncodeMembers(10, false) + "\n\n"
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
			t.Errorf("split at %d: delivered versions %v, want [8 9 8 10]; queries %q, want one", splitAt, agent.versions, agent.queries)
		}
	}
}

// Over a real socket, a watch delivers an indented list and a change after it.
func TestWatchReadsIndentedList(t *testing.T) {
	f := startClient(t, 7, nil, indentedList+testpeer.EncodeMembers(9, false)+"\nSILENT")
	f.expectVersions(t, 8, 9)
	f.expectQueries(t, "watch=1&after=7")
}
