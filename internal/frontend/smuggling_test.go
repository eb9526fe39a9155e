package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// A request must not hide in the body of another one, on any path and wherever its head begins among the bytes that are read at once:
// net/http takes such a head for the next request unless the connection is closed first.
func TestRequestHiddenInBodyIsNotServed(t *testing.T) {
	const lastChunk = "0\r\n\r\n"
	hidden := requestText("look", "hidden", "")
	chunk := fmt.Sprintf("%x\r\n%s\r\n%s", len(hidden), hidden, lastChunk)
	sizeLineLength := strings.Index(chunk, "\r\n") + len("\r\n")
	length := fmt.Sprintf("Content-Length: %d\r\n", len(lastChunk)+len(hidden))
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, path := range []string{healthPath, "/pay", "/none"} {
		head := func(version, fields string) string {
			return "POST " + path + " HTTP/" + version + "\r\nHost: h\r\nReq-Id: outer\r\nReq-Deadline-Ms: 9000\r\n" + fields
		}
		first := requestText("look", "first", "")
		for name, parts := range map[string][]string{
			"chunks in HTTP/1.0":          {head("1.0", fmt.Sprintf("Connection: keep-alive\r\nContent-Length: %d\r\n%s\r\n", sizeLineLength, chunked)) + chunk},
			"behind a chunked request":    {head("1.1", chunked+"\r\n"+lastChunk) + head("1.1", length+chunked+"\r\n"+lastChunk+hidden)},
			"behind a request":            {first + head("1.1", length+chunked+"\r\n"+lastChunk+hidden)},
			"head in two reads":           {first + head("1.1", length), "X: y\r\n" + chunked + "\r\n" + lastChunk + hidden},
			"head in two reads, in order": {first + head("1.1", chunked), "X: y\r\n" + length + "\r\n" + lastChunk + hidden},
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				var hiddenCount atomic.Int64
				e := testpeer.NewEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
					if r.Header.Get("Req-Id") == "hidden" {
						hiddenCount.Add(1)
					}
					io.WriteString(conn, testpeer.ResponseOK)
					return true
				})
				p := startProxy(t, proxyOptions{bodyMemory: body.NewMemoryPool(1 << 20)}, e.Addr)
				client := p.dialClient(t)
				_ = client.SetDeadline(time.Now().Add(testpeer.Timeout / 4))
				in := bufio.NewReader(client)
				for i, part := range parts {
					if i > 0 {
						resp, err := http.ReadResponse(in, nil)
						if err != nil {
							t.Fatal(err)
						}
						_, _ = io.Copy(io.Discard, resp.Body)
					}
					io.WriteString(client, part)
				}
				_, _ = io.Copy(io.Discard, in) // until the daemon closes the connection
				if n := hiddenCount.Load(); n > 0 {
					t.Errorf("the hidden request reached the endpoint %d times, want never", n)
				}
			})
		}
	}
}
