package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// hotRestartHarness stands in for the platform that hot-restarts a daemon. It owns the listening socket and the directory that the
// daemon's processes share, and runs a fake discovery service and endpoints that count their requests by id.
type hotRestartHarness struct {
	t                 *testing.T
	listenSocket      *os.File // listening socket that each process inherits
	listenAddr        string   // address of listenSocket
	sharedDir         string   // directory that all processes share, passed to them as TMPDIR
	discoveryAddr     string   // address of the fake discovery service
	endpointIDs       []string // id of each endpoint, by its index in endpoints
	endpoints         []*testpeer.Endpoint
	startCount        int  // number of processes that startDaemon has started
	isDiscoverySilent bool // whether the discovery service accepts requests but does not respond

	mu           sync.Mutex
	requestsByID map[string]int // number of requests that arrived at any endpoint, by Req-Id; guarded by mu
}

// newHotRestartHarness starts the discovery service and the given number of endpoints, but no daemon.
func newHotRestartHarness(t *testing.T, endpoints int) *hotRestartHarness {
	t.Helper()
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false) // the platform's sockets are plain TCP
	l, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := &hotRestartHarness{t: t, listenAddr: l.Addr().String(), sharedDir: t.TempDir(), requestsByID: map[string]int{}}
	if h.listenSocket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.listenSocket.Close() })
	for i := range endpoints {
		h.endpointIDs = append(h.endpointIDs, fmt.Sprint("s-", i))
		h.endpoints = append(h.endpoints, testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			h.mu.Lock()
			h.requestsByID[r.Header.Get("Req-Id")]++
			h.mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/look/long") {
				return h.writeLongResponse(nc)
			}
			if r.URL.Path == "/pay/slow" {
				time.Sleep(2 * time.Second)
			}
			time.Sleep(2 * time.Millisecond) // time that the endpoint works on a request
			_, err := io.WriteString(nc, testpeer.ResponseOK)
			return err == nil
		}))
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.isDiscoverySilent {
			<-r.Context().Done()
			return
		}
		if r.URL.Query().Get("watch") == "" {
			_, _ = io.WriteString(w, h.memberList())
			return
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	h.discoveryAddr = discovery.Listener.Addr().String()
	return h
}

// longResponseParts is the number of parts of a long response. Each part has 32 KiB.
const longResponseParts = 40

// writeLongResponse writes a long response, which takes about 1.2 s, and reports whether all writes succeeded.
func (h *hotRestartHarness) writeLongResponse(nc net.Conn) bool {
	part := strings.Repeat("z", 32<<10)
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longResponseParts*len(part))
	for i := 0; i < longResponseParts && err == nil; i++ {
		time.Sleep(30 * time.Millisecond)
		_, err = io.WriteString(nc, part)
	}
	return err == nil
}

// memberList returns the endpoint list as the discovery service sends it.
func (h *hotRestartHarness) memberList() string {
	var members []string
	for i, e := range h.endpoints {
		members = append(members, testpeer.EncodeMember(h.endpointIDs[i], e.Addr, "Ready"))
	}
	return testpeer.EncodeMembers(7, true, members...)
}

// harnessDaemon is a process of the daemon that the harness started.
type harnessDaemon struct {
	*process
	adminAddr string // address at which the process takes operators' commands
}

// startDaemon starts a process of the daemon, which replaces a running one by a hot restart. startDaemon does not wait until the
// process is ready.
func (h *hotRestartHarness) startDaemon() *harnessDaemon {
	h.t.Helper()
	h.startCount++
	d := &harnessDaemon{adminAddr: testpeer.FreeAddress(h.t)}
	// If the discovery service responds, the configured endpoint list is empty, and has an older version than that of the service.
	// If the service is silent, the configured list is complete.
	configuredList := testpeer.EncodeMembers(1, true)
	if h.isDiscoverySilent {
		configuredList = h.memberList()
	}
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"admin_addr":%q,"discovery":%q,"seed":"7","limits":{"cores":1,"memory_mb":96,"sockets":512},"known":%s,"settings":%s}`,
		h.listenAddr, d.adminAddr, h.discoveryAddr, configuredList, `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],"Permissions":{"TryLimit":4,"RetryAfter":true}}`)
	path := filepath.Join(h.t.TempDir(), fmt.Sprint(h.startCount, ".json"))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		h.t.Fatal(err)
	}
	cmd := programCommand()
	cmd.ExtraFiles = []*os.File{h.listenSocket}
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+path, "ROUTER_LISTEN_FD=3", "TMPDIR="+h.sharedDir)
	d.process = &process{cmd: cmd}
	d.start(h.t)
	return d
}

// callAdmin sends a command line to the process's admin address and returns the response, or "" if nothing listens there.
func (d *harnessDaemon) callAdmin(t *testing.T, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", d.adminAddr)
	if err != nil {
		return ""
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	_, _ = io.WriteString(nc, line+"\n")
	text, _ := io.ReadAll(nc)
	return string(text)
}

// awaitAdmin repeats a command until the response begins with want.
func (d *harnessDaemon) awaitAdmin(t *testing.T, line, want string) {
	t.Helper()
	testpeer.Eventually(t, "the response to "+line+" begins with "+want, func() bool { return strings.HasPrefix(d.callAdmin(t, line), want) })
}

// backgroundLoad is a set of clients that send requests until they are stopped. Two of three clients use a persistent
// connection, the others a new connection for each request.
type backgroundLoad struct {
	stop        context.CancelFunc
	clients     sync.WaitGroup
	servedCount atomic.Int64
}

// startLoad starts the given number of clients. A response other than the endpoint's fails the test.
func (h *hotRestartHarness) startLoad(clients int) *backgroundLoad {
	l := &backgroundLoad{}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	for c := range clients {
		l.clients.Go(func() {
			transport := &http.Transport{DisableKeepAlives: c%3 == 0}
			defer transport.CloseIdleConnections()
			client := http.Client{Transport: transport}
			for i := 0; ctx.Err() == nil; i++ {
				r, _ := http.NewRequest(http.MethodGet, "http://"+h.listenAddr+"/look", nil)
				r.Header.Set("Req-Id", fmt.Sprint(c, "-", i))
				r.Header.Set("Req-Deadline-Ms", "5000")
				resp, err := client.Do(r)
				if err != nil {
					h.t.Errorf("client %d, request %d: %v", c, i, err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(text) != "hi" {
					h.t.Errorf("client %d, request %d: status %d, body %q, error %v, want 200 and the body \"hi\"", c, i, resp.StatusCode, text, err)
					return
				}
				l.servedCount.Add(1)
				time.Sleep(time.Duration(1+c%7) * time.Millisecond)
			}
		})
	}
	return l
}

// awaitServed waits until n more requests have been served, or the test has failed.
func (l *backgroundLoad) awaitServed(t *testing.T, n int64) {
	t.Helper()
	want := l.servedCount.Load() + n
	testpeer.Eventually(t, fmt.Sprint(n, " more requests have been served"), func() bool { return t.Failed() || l.servedCount.Load() >= want })
}

// stopLoad stops the clients, and checks that each request arrived at the endpoints exactly once.
func (h *hotRestartHarness) stopLoad(l *backgroundLoad) {
	l.stop()
	l.clients.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, n := range h.requestsByID {
		if n != 1 {
			h.t.Errorf("request %s arrived at the endpoints %d times, want once", id, n)
		}
	}
}

// awaitExit waits until the process exits, and requires that it exits without error. If it does not exit in time it gets
// SIGQUIT, so that it prints the stacks of its goroutines.
func (d *harnessDaemon) awaitExit(t *testing.T) {
	t.Helper()
	timer := time.AfterFunc(testpeer.Timeout, func() { _ = d.cmd.Process.Signal(syscall.SIGQUIT) })
	defer timer.Stop()
	if err := d.wait(); err != nil {
		t.Fatalf("the process exited with %v, want no error: %s", err, &d.outputBuffer)
	}
}

// terminate sends SIGTERM, waits until the process exits, and requires that it exits without error.
func (d *harnessDaemon) terminate(t *testing.T) {
	t.Helper()
	d.signal(t, syscall.SIGTERM)
	d.awaitExit(t)
}
