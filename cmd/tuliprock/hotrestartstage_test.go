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

// hotRestartStage is the fake of what restarts a daemon: it owns the listening socket and the directory that its processes
// share, and runs a discovery and endpoints that count the requests by id.
type hotRestartStage struct {
	t                 *testing.T
	socket            *os.File
	addr              string
	dir               string
	discovery         string
	names             []string
	endpoints         []*testpeer.Endpoint
	startCount        int
	isDiscoverySilent bool // discovery accepts requests and responds to none

	mu           sync.Mutex
	requestsByID map[string]int
}

func newHotRestartStage(t *testing.T, endpoints int) *hotRestartStage {
	t.Helper()
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // as a platform's are
	l, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &hotRestartStage{t: t, addr: l.Addr().String(), dir: t.TempDir(), requestsByID: map[string]int{}}
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.socket.Close() })
	for i := range endpoints {
		p.names = append(p.names, fmt.Sprint("s-", i))
		p.endpoints = append(p.endpoints, testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			p.mu.Lock()
			p.requestsByID[r.Header.Get("Req-Id")]++
			p.mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/look/long") {
				return p.writeSlowly(nc)
			}
			time.Sleep(2 * time.Millisecond) // its work
			_, err := io.WriteString(nc, testpeer.ResponseOK)
			return err == nil
		}))
	}
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isDiscoverySilent {
			<-r.Context().Done()
			return
		}
		if r.URL.Query().Get("watch") == "" {
			_, _ = io.WriteString(w, p.memberList())
			return
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	p.discovery = d.Listener.Addr().String()
	return p
}

// longResponseParts is of how many parts a long response is, of 32 KiB each.
const longResponseParts = 40

// writeSlowly writes a long response within some 1.2 s.
func (p *hotRestartStage) writeSlowly(nc net.Conn) bool {
	part := strings.Repeat("z", 32<<10)
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longResponseParts*len(part))
	for i := 0; i < longResponseParts && err == nil; i++ {
		time.Sleep(30 * time.Millisecond)
		_, err = io.WriteString(nc, part)
	}
	return err == nil
}

func (p *hotRestartStage) memberList() string {
	var members []string
	for i, e := range p.endpoints {
		members = append(members, testpeer.Member(p.names[i], e.Addr, "Ready"))
	}
	return testpeer.Members(7, true, members...)
}

// stagedDaemon is a process of the daemon and its operators' address.
type stagedDaemon struct {
	*process
	admin string
}

func (p *hotRestartStage) startDaemon() *stagedDaemon {
	p.t.Helper()
	p.startCount++
	out := &stagedDaemon{admin: testpeer.FreeAddress(p.t)}
	// The endpoint list that it is started with is stale: it is empty.
	known := testpeer.Members(1, true)
	if p.isDiscoverySilent {
		known = p.memberList()
	}
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"admin_addr":%q,"discovery":%q,"seed":"7","limits":{"cores":1,"memory_mb":96,"sockets":512},"known":%s,"settings":%s}`,
		p.addr, out.admin, p.discovery, known, `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],"Permissions":{"TryLimit":4,"RetryAfter":true}}`)
	path := filepath.Join(p.t.TempDir(), fmt.Sprint(p.startCount, ".json"))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	}
	cmd := programCommand()
	cmd.ExtraFiles = []*os.File{p.socket}
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+path, "ROUTER_LISTEN_FD=3", "TMPDIR="+p.dir)
	out.process = &process{cmd: cmd}
	out.start(p.t)
	return out
}

func (p *stagedDaemon) callAdmin(t *testing.T, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", p.admin)
	if err != nil {
		return ""
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	_, _ = io.WriteString(nc, line+"\n")
	text, _ := io.ReadAll(nc)
	return string(text)
}

func (p *stagedDaemon) awaitAdmin(t *testing.T, line, want string) {
	t.Helper()
	testpeer.Eventually(t, line+" is answered with "+want, func() bool { return strings.HasPrefix(p.callAdmin(t, line), want) })
}

// backgroundLoad is clients that send requests all the time: two of three each on a persistent connection, the others on
// a new one for each request.
type backgroundLoad struct {
	stop   context.CancelFunc
	work   sync.WaitGroup
	served atomic.Int64
}

func (p *hotRestartStage) startLoad(callers int) *backgroundLoad {
	l := &backgroundLoad{}
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	for c := range callers {
		l.work.Go(func() {
			transport := &http.Transport{DisableKeepAlives: c%3 == 0}
			defer transport.CloseIdleConnections()
			client := http.Client{Transport: transport}
			for i := 0; ctx.Err() == nil; i++ {
				r, _ := http.NewRequest(http.MethodGet, "http://"+p.addr+"/look", nil)
				r.Header.Set("Req-Id", fmt.Sprint(c, "-", i))
				r.Header.Set("Req-Deadline-Ms", "5000")
				resp, err := client.Do(r)
				if err != nil {
					p.t.Errorf("caller %d, request %d: %v", c, i, err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(text) != "hi" {
					p.t.Errorf("caller %d, request %d: %d %q %v", c, i, resp.StatusCode, text, err)
					return
				}
				l.served.Add(1)
				time.Sleep(time.Duration(1+c%7) * time.Millisecond)
			}
		})
	}
	return l
}

// awaitServed waits until n more requests were served.
func (l *backgroundLoad) awaitServed(t *testing.T, n int64) {
	t.Helper()
	want := l.served.Load() + n
	testpeer.Eventually(t, fmt.Sprint(n, " more requests are served"), func() bool { return t.Failed() || l.served.Load() >= want })
}

func (p *hotRestartStage) stopLoad(l *backgroundLoad) {
	l.stop()
	l.work.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.requestsByID {
		if n != 1 {
			p.t.Errorf("%s came %d times", id, n)
		}
	}
}

// awaitExit waits until the process exits without error. One that does not exit in time gets SIGQUIT, and so prints the
// stacks of its goroutines.
func (p *stagedDaemon) awaitExit(t *testing.T) {
	t.Helper()
	stuck := time.AfterFunc(testpeer.Timeout, func() { _ = p.cmd.Process.Signal(syscall.SIGQUIT) })
	defer stuck.Stop()
	if err := p.wait(); err != nil {
		t.Fatalf("a process ends with %v: %s", err, &p.outputBuffer)
	}
}

// terminate sends SIGTERM and waits until the process exits without error.
func (p *stagedDaemon) terminate(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	p.awaitExit(t)
}
