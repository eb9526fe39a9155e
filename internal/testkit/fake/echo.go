package fake

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

const maxEchoBody = 64 << 10 // bytes of a request's that are read

// EchoHandler is a node that says which request came to it: the simplest to try a daemon with.
func EchoHandler(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEchoBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// Who asked may have left before the answer: that shows at its end.
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

// EchoServer is a server for Echo on an address, which it still has to listen on.
func EchoServer(addr string) *http.Server {
	return &http.Server{Addr: addr, Handler: EchoHandler(addr), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
}
