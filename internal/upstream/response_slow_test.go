package upstream

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/balance"
)

// A response that its endpoint is still writing must not be thrown away because it takes long: the request has run, and only its deadline
// bounds it. One that stops must be given up soon, while a retry could still help.
func TestBufferedResponseIsReadAsLongAsItsEndpointWrites(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 20\r\n\r\n"
	text := head + strings.Repeat("z", 20)
	for _, row := range []struct {
		name   string
		pause  time.Duration // pause before each byte
		length int           // number of bytes that the endpoint sends
		want   balance.Result
	}{
		{"slow", minBufferedResponseTimeout - time.Millisecond, len(text), balance.OK},
		{"stops in the head", time.Millisecond, len(head) / 2, balance.ErrorResponse},
		{"stops in the body", time.Millisecond, len(head) + 10, balance.ErrorResponse},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newPipeExchange(t)
				outcomes := make(chan outcome, 1)
				go func() { outcomes <- x.run(t.Context(), x.request.encodeHead(t.Context())) }()
				if _, err := http.ReadRequest(bufio.NewReader(x.endpoint)); err != nil {
					t.Fatal(err)
				}
				var lastByteAt time.Time
				for _, c := range text[:row.length] {
					time.Sleep(row.pause)
					io.WriteString(x.endpoint, string(c))
					lastByteAt = time.Now()
				}
				o := <-outcomes
				if o.result != row.want {
					t.Errorf("result %v, want %v", o.result, row.want)
				}
				if took := time.Since(lastByteAt); took > minBufferedResponseTimeout {
					t.Errorf("the exchange ended %v after the last byte, want at most %v", took, minBufferedResponseTimeout)
				}
				x.endpoint.Close()
			})
		})
	}
}
