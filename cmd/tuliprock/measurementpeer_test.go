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

// runAsPeerEnv makes the test binary a peer of a measurement: "node", "bulk", "splice" or "proxy", followed by the address
// that it listens at and those that it forwards to.
const runAsPeerEnv = "TULIPROCK_TEST_PEER"

// runPeer runs such a peer until it fails.
func runPeer(what string) {
	words := strings.Fields(what)
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
		var turn atomic.Uint64
		targets := words[2:]
		handler = &httputil.ReverseProxy{
			Rewrite: func(r *httputil.ProxyRequest) {
				r.SetURL(&url.URL{Scheme: "http", Host: targets[turn.Add(1)%uint64(len(targets))]})
				r.SetXForwarded()
			},
			Transport: &http.Transport{MaxIdleConnsPerHost: 500},
		}
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(words[1], handler))
}

// startPeer starts a peer as a process on one core, waits until it accepts connections, and returns its process id.
func startPeer(t *testing.T, words ...string) int {
	t.Helper()
	s := &process{cmd: programCommand()}
	s.cmd.Env = append(s.cmd.Env, runAsPeerEnv+"="+strings.Join(words, " "), "GOMAXPROCS=1")
	s.start(t)
	for end := time.Now().Add(testpeer.Timeout); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", words[1])
		if err == nil {
			nc.Close()
			return s.cmd.Process.Pid
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}
