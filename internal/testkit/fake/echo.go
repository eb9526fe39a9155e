package fake

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

const maxEchoBody = 64 << 10 // largest size in bytes of a request's body

// EchoHandler returns a handler that responds with a description of the request: its method, URI, body length and headers.
// The first line begins with the given name, and each further line holds a header. A request with a body of more than 64 KiB
// gets status 400. The handler serves as a simple endpoint to try a daemon with.
func EchoHandler(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEchoBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// The error is ignored, since the client may have closed the connection.
		_, _ = fmt.Fprintf(w, "%s: %s %s, %d bytes\n", name, r.Method, r.RequestURI, len(body))
		var headerNames []string
		for n := range r.Header {
			headerNames = append(headerNames, n)
		}
		slices.Sort(headerNames)
		for _, n := range headerNames {
			_, _ = fmt.Fprintf(w, "%s: %q\n", n, r.Header[n])
		}
	})
}

// NewEchoServer returns an HTTP server with an EchoHandler. The given address is that of the server and also the handler's name.
// The caller starts the server.
func NewEchoServer(addr string) *http.Server {
	return &http.Server{Addr: addr, Handler: EchoHandler(addr), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
}
