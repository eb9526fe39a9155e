package fake

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

const maxEchoBody = 64 << 10 // bytes

// EchoHandler answers with the request that it received, preceded by the name. It is the simplest node to try a daemon
// with. A body of more than 64 KiB is answered with 400.
func EchoHandler(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEchoBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// Write errors are ignored: the client may have left.
		_, _ = fmt.Fprintf(w, "%s: %s %s, %d bytes\n", name, r.Method, r.RequestURI, len(body))
		var names []string
		for n := range r.Header {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			_, _ = fmt.Fprintf(w, "%s: %q\n", n, r.Header[n])
		}
	})
}

// EchoServer is a server with an EchoHandler for an address. It does not listen yet.
func EchoServer(addr string) *http.Server {
	return &http.Server{Addr: addr, Handler: EchoHandler(addr), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
}
