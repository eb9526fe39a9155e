package frontend

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

var updateGolden = flag.Bool("update", false, "write testdata/wire.golden instead of comparing with it")

// wireCase is a request to a testProxy and the settings of that proxy.
type wireCase struct {
	name              string           // title of the case's section in the golden file
	request           string           // bytes that the client sends
	afterContinue     string           // bytes that the client sends after a response with status 100
	response          string           // bytes that the endpoint sends; "" means status 200 with the body "hi"
	bodyMemory        *body.MemoryPool // memory for bodies; nil turns streaming off, so that all bodies are buffered
	configure         func(*Options)   // changes the options that startProxy sets, if not nil
	configureClass    func(*Class)     // changes each class that startProxy sets, if not nil
	closesConnections bool             // whether every response closes its connection
}

// What the daemon sends to clients and endpoints is a contract with them: statuses, headers, texts, and whether the connection can
// serve another request. The golden file contains the expected bytes. Header fields are sorted in it, values that differ between runs
// are masked, and long bodies are replaced by their length and digest, since their split into chunks depends on timing.
func TestBytesOnTheWireMatchGoldenFile(t *testing.T) {
	const goldenPath = "testdata/wire.golden"
	if *updateGolden {
		var transcripts strings.Builder
		for _, c := range wireCases() {
			fmt.Fprintf(&transcripts, "%s%s\n%s", casePrefix, c.name, c.transcribe(t))
		}
		if err := os.WriteFile(goldenPath, []byte(transcripts.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	content, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{}
	for section := range strings.SplitSeq(strings.TrimPrefix(string(content), casePrefix), casePrefix) {
		name, transcript, _ := strings.Cut(section, "\n")
		want[name] = transcript
	}
	cases := wireCases()
	if len(cases) != len(want) {
		t.Errorf("%d test cases, but the golden file has %d", len(cases), len(want))
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.transcribe(t); got != want[c.name] {
				t.Errorf("got:\n%swant:\n%s", got, want[c.name])
			}
		})
	}
}

// casePrefix begins the title line of each case in the golden file.
const casePrefix = "== "

func wireCases() []wireCase {
	streamingMemory := body.NewMemoryPool(1 << 20)
	longBody := strings.Repeat("y", 3*body.BufferSize)
	const id, deadline = "Req-Id: r1\r\n", "Req-Deadline-Ms: 9000\r\n"
	head := func(methodAndTarget, fields string) string {
		return methodAndTarget + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
	}
	const chunkedBody = "2\r\nab\r\n1\r\nc\r\n0\r\nX-End: e\r\n\r\n"
	longChunked := fmt.Sprintf("%x\r\n%s\r\n0\r\nX-End: e\r\n\r\n", len(longBody), longBody)
	chunkedHead := head("POST /pay", id+deadline+"Transfer-Encoding: chunked\r\nTrailer: X-End\r\n")
	expectHead := head("POST /pay", id+deadline+"Content-Length: 3\r\nExpect: 100-continue\r\n")
	getRequest := head("GET /look", id+deadline)
	withForwarded := func(mode ForwardedMode) func(*Options) {
		return func(o *Options) { o.ForwardsUnchanged, o.Forwarded, o.Pseudonym = false, mode, "via" }
	}
	const clientHeaders = "X-Forwarded-For: 192.0.2.1\r\nX_Forwarded_For: 192.0.2.2\r\nForwarded: for=192.0.2.1\r\nVia: 1.0 x\r\n" +
		"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 2\r\nX-End: kept\r\n"
	getWithClientHeaders := head("GET /look?q=1", id+deadline+clientHeaders)
	return []wireCase{
		{name: "health", request: head("GET /_health", "")},
		{name: "HTTP/1.0", request: "GET /look HTTP/1.0\r\nHost: h\r\n\r\n"},
		{name: "a folded line", request: head("GET /look", id+deadline+"X: a\r\n b\r\n")},
		{name: "chunked, buffering", request: chunkedHead + chunkedBody},
		{name: "a Content-Length, too", bodyMemory: streamingMemory,
			request: head("POST /pay", id+deadline+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + chunkedBody},
		{name: "too long", request: head("POST /pay", id+deadline+"Content-Length: 2000000\r\n")},
		{name: "too long, chunked", request: chunkedHead + longChunked, bodyMemory: streamingMemory, configure: func(o *Options) { o.MaxBodyBytes = 100 }},
		{name: "no memory ever", request: requestText("pay", "r1", "small"), bodyMemory: body.NewMemoryPool(1)},
		{name: "no memory ever, streaming", request: requestText("pay", "r1", longBody), bodyMemory: body.NewMemoryPool(1)},
		{name: "no route", request: head("GET /none", id+deadline)},
		{name: "no plain path", request: head("OPTIONS *", id+deadline)},
		{name: "a path that is not normal", request: head("GET /look/%zz", id+deadline), configure: withForwarded(ForwardedSet)},
		{name: "no id", request: head("GET /look", deadline)},
		{name: "an id that is too long", request: head("GET /look", "Req-Id: "+strings.Repeat("i", 257)+"\r\n"+deadline)},
		{name: "no deadline", request: head("GET /look", id)},
		{name: "two deadlines", request: head("GET /look", id+deadline+deadline)},
		{name: "a deadline of 0", request: head("GET /look", id+"Req-Deadline-Ms: 0\r\n")},
		{name: "no idempotency key", request: head("POST /book", id+deadline+"Content-Length: 0\r\n")},
		{name: "a method that is not served", request: getRequest, configureClass: func(c *Class) { c.Methods = []string{"PUT", "POST"} }},
		{name: "a body that is not wanted", request: requestText("pay", "r1", "body"), configureClass: func(c *Class) { c.ForbidsBody = true }},
		{name: "GET", request: getRequest},
		{name: "HEAD", request: head("HEAD /look", id+deadline), response: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
		{name: "absolute form", request: head("GET http://h/look?a=b", id+deadline)},
		{name: "response without content", request: getRequest, configure: withForwarded(ForwardedDrop),
			response: "HTTP/1.1 204 No Content\r\nX-End: e\r\n\r\n"},
		{name: "forwarded is set", request: getWithClientHeaders, configure: withForwarded(ForwardedSet)},
		{name: "forwarded is appended", request: getWithClientHeaders, configure: withForwarded(ForwardedAppend)},
		{name: "forwarded is dropped", request: getWithClientHeaders, configure: withForwarded(ForwardedDrop)},
		{name: "forwarded is left", request: getWithClientHeaders, configure: withForwarded(ForwardedLeave)},
		{name: "headers of the response", request: getRequest, configure: withForwarded(ForwardedSet),
			response: "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: e\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "POST", request: requestText("pay", "r1", "body")},
		{name: "POST, streaming", request: requestText("pay", "r1", longBody), bodyMemory: streamingMemory},
		{name: "chunked", request: chunkedHead + chunkedBody, bodyMemory: streamingMemory},
		{name: "chunked, long", request: chunkedHead + longChunked, bodyMemory: streamingMemory},
		{name: "chunked, the deadline covers it", request: chunkedHead + longChunked, bodyMemory: streamingMemory,
			configureClass: func(c *Class) { c.DeadlineCoversStreams = true }},
		{name: "chunked, malformed", request: chunkedHead + "zz\r\n", bodyMemory: streamingMemory},
		{name: "Expect", request: expectHead, afterContinue: "abc", bodyMemory: streamingMemory},
		{name: "Expect, buffering", request: expectHead, afterContinue: "abc"},
		{name: "streaming response with a length", request: getRequest, bodyMemory: streamingMemory,
			response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: %d\r\n\r\n%s", len(longBody), longBody)},
		{name: "streaming response long enough to be spliced", request: getRequest, bodyMemory: streamingMemory,
			response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 3<<20, strings.Repeat("z", 3<<20))},
		{name: "streaming response in chunks", request: getRequest, bodyMemory: streamingMemory,
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n" + longChunked},
		{name: "streaming response that breaks", request: getRequest, bodyMemory: streamingMemory,
			response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(longBody), longBody)},
		{name: "streaming response in chunks that breaks", request: getRequest, bodyMemory: streamingMemory,
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				strings.TrimSuffix(longChunked, "0\r\nX-End: e\r\n\r\n")},
		{name: "error of the endpoint", request: head("POST /pay", id+deadline+"Content-Length: 0\r\n"),
			response: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops"},
		{name: "connections are to be closed", request: getRequest, closesConnections: true},
	}
}

// transcribe sends the request, then a health check on the same connection, and returns a transcript of what the endpoint and the client
// received.
func (c *wireCase) transcribe(t *testing.T) string {
	t.Helper()
	endpoint := &recordingEndpoint{response: c.response}
	if endpoint.response == "" {
		endpoint.response = testpeer.ResponseOK
	}
	options := proxyOptions{canCancel: true, bodyMemory: c.bodyMemory, configure: c.configure, configureClass: func(class *Class) {
		class.MaxStreamDuration = testpeer.Timeout
		if c.configureClass != nil {
			c.configureClass(class)
		}
	}}
	p := startProxy(t, options, testpeer.ServeTCP(t, endpoint.serve).Addr().String())
	p.server.SetCloseConnections(c.closesConnections)
	client := p.dialClient(t)
	_ = client.SetDeadline(time.Now().Add(testpeer.Timeout))
	written := make(chan struct{})
	go func() { // concurrent with the reads: the daemon may not read a rejected request to its end, and the write then blocks
		defer close(written)
		io.WriteString(client, c.request)
	}()
	in := bufio.NewReader(client)
	method, _, _ := strings.Cut(c.request, " ")
	responses, resp := transcribeResponse(in, method)
	if resp != nil && resp.StatusCode == http.StatusContinue {
		io.WriteString(client, c.afterContinue)
		var finalResponse string
		finalResponse, resp = transcribeResponse(in, method)
		responses += finalResponse
	}
	nextResult := "closed"
	if resp != nil && !resp.Close {
		<-written
		io.WriteString(client, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, resp := transcribeResponse(in, "GET"); resp != nil {
			nextResult = resp.Status
		}
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return endpoint.received.String() + responses + "next request: " + nextResult + "\n"
}

// recordingEndpoint records the first request that it receives. It sends fixed bytes in response to each request, and then closes the
// connection.
type recordingEndpoint struct {
	response string // bytes to send in response to each request

	mu       sync.Mutex
	received strings.Builder // transcript of the first request
}

func (e *recordingEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	head, r := readHead(in, http.ReadRequest)
	if r == nil {
		return
	}
	content := transcribeBody(r.Body)
	e.mu.Lock()
	if e.received.Len() == 0 {
		fmt.Fprintf(&e.received, "> %s%s%v\n", head, content, r.Trailer)
	}
	e.mu.Unlock()
	io.WriteString(conn, e.response)
}

// transcribeResponse reads one response and returns its transcript. The response is nil if none was received.
func transcribeResponse(in *bufio.Reader, method string) (string, *http.Response) {
	head, resp := readHead(in, func(in *bufio.Reader) (*http.Response, error) {
		return http.ReadResponse(in, &http.Request{Method: method})
	})
	if resp == nil {
		return "< no response\n", nil
	}
	return fmt.Sprintf("< %s%s%v\n", head, transcribeBody(resp.Body), resp.Trailer), resp
}

// maskedHeaders matches the header lines whose values differ between runs.
var maskedHeaders = regexp.MustCompile(`(?m)^(Date|Req-Deadline-Ms): .*$`)

// readHead reads the head of a request or response. It returns the head with its fields sorted, and the parsed message, whose body
// has not been read yet. Both are the zero value if the head is incomplete or
// malformed.
func readHead[M any](in *bufio.Reader, parse func(*bufio.Reader) (M, error)) (head string, message M) {
	var rawHead bytes.Buffer
	for {
		line, err := in.ReadString('\n')
		rawHead.WriteString(line)
		if err != nil {
			return "", message
		}
		if line == "\r\n" {
			break
		}
	}
	lines := strings.Split(strings.TrimRight(strings.ReplaceAll(rawHead.String(), "\r\n", "\n"), "\n"), "\n")
	slices.Sort(lines[1:])
	message, err := parse(bufio.NewReader(io.MultiReader(&rawHead, in)))
	if err != nil {
		var zero M
		return "", zero
	}
	return maskedHeaders.ReplaceAllString(strings.Join(lines, "\n"), "$1: masked") + "\n", message
}

// transcribeBody reads a body to its end and returns a transcript: the content of a short body, the length and digest of a long one, or
// only the error if the body breaks, since the number of bytes before that depends on timing.
func transcribeBody(r io.Reader) string {
	content, err := io.ReadAll(r)
	switch {
	case err != nil:
		return fmt.Sprintf("body breaks: %v, trailer ", err)
	case len(content) < 100:
		return fmt.Sprintf("body %q, trailer ", content)
	}
	return fmt.Sprintf("body of %d bytes, sha256 %x, trailer ", len(content), sha256.Sum256(content))
}
