package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// runAsServerEnv is the environment variable that makes the test binary a server for a measurement. Its value is the kind of
// server ("node", "bulk", "splice" or "proxy"), the address that it listens at, and the addresses that it forwards to, if any.
const runAsServerEnv = "TULIPROCK_TEST_PEER"

// runServer runs the server that a value of runAsServerEnv describes. It returns only when the server fails.
func runServer(description string) {
	words := strings.Fields(description)
	var handler http.Handler
	switch words[0] {
	case "node":
		body := []byte(strings.Repeat("x", 512))
		handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = w.Write(body)
		})
	case "bulk":
		handler = http.HandlerFunc(serveBulk)
	case "splice":
		fmt.Fprintln(os.Stderr, serveSplice(words[1], words[2]))
		return
	case "proxy":
		var nextTarget atomic.Uint64
		targets := words[2:]
		handler = &httputil.ReverseProxy{
			Rewrite: func(r *httputil.ProxyRequest) {
				r.SetURL(&url.URL{Scheme: "http", Host: targets[nextTarget.Add(1)%uint64(len(targets))]})
				r.SetXForwarded()
			},
			Transport: &http.Transport{MaxIdleConnsPerHost: 500},
		}
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(words[1], handler))
}

// startServerProcess starts a process on one core that is a server for a measurement. The process gets words, separated by spaces,
// in the variable runAsServerEnv. startServerProcess waits until the server accepts connections, and returns the process id.
func startServerProcess(t *testing.T, words ...string) int {
	t.Helper()
	p := &process{cmd: programCommand()}
	p.cmd.Env = append(p.cmd.Env, runAsServerEnv+"="+strings.Join(words, " "), "GOMAXPROCS=1")
	p.start(t)
	for end := time.Now().Add(testpeer.Timeout); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", words[1])
		if err == nil {
			nc.Close()
			return p.cmd.Process.Pid
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
