package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
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

// stage stands in for what starts the daemon on a day on which its process is replaced: it holds the listening socket
// and a directory, and runs a discovery and endpoints that know which requests came.
type stage struct {
	t         *testing.T
	socket    *os.File
	addr      string
	dir       string
	discovery string
	names     []string
	endpoints []*testpeer.Endpoint
	starts    int
	silent    bool // discovery accepts calls and answers none

	mu   sync.Mutex
	came map[string]int // requests by id
}

func newStage(t *testing.T, endpoints int) *stage {
	t.Helper()
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // as a platform's are
	l, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &stage{t: t, addr: l.Addr().String(), dir: t.TempDir(), came: map[string]int{}}
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.socket.Close() })
	for i := range endpoints {
		p.names = append(p.names, fmt.Sprint("s-", i))
		p.endpoints = append(p.endpoints, testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			p.mu.Lock()
			p.came[r.Header.Get("Req-Id")]++
			p.mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/look/long") {
				return p.slowly(nc)
			}
			time.Sleep(2 * time.Millisecond) // its work
			_, err := io.WriteString(nc, testpeer.Served)
			return err == nil
		}))
	}
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.silent {
			<-r.Context().Done()
			return
		}
		if r.URL.Query().Get("watch") == "" {
			_, _ = io.WriteString(w, p.list())
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

const longParts = 40

// slowly gives a long answer over some 1.2 s.
func (p *stage) slowly(nc net.Conn) bool {
	part := strings.Repeat("z", 32<<10)
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longParts*len(part))
	for i := 0; i < longParts && err == nil; i++ {
		time.Sleep(30 * time.Millisecond)
		_, err = io.WriteString(nc, part)
	}
	return err == nil
}

func (p *stage) list() string {
	var members []string
	for i, e := range p.endpoints {
		members = append(members, testpeer.Member(p.names[i], e.Addr, "Ready"))
	}
	return testpeer.Members(7, true, members...)
}

// process is a daemon that was started, and where operators call it.
type process struct {
	*daemonRun
	admin string
}

func (p *stage) start() *process {
	p.t.Helper()
	p.starts++
	out := &process{admin: testpeer.FreePort(p.t)}
	// The list that it is started with is old: it names nobody.
	known := testpeer.Members(1, true)
	if p.silent {
		known = p.list()
	}
	config := fmt.Sprintf(`{"name":"n1","listen":%q,"admin_addr":%q,"discovery":%q,"seed":"7","limits":{"cores":1,"memory_mb":96,"sockets":512},"known":%s,"settings":%s}`,
		p.addr, out.admin, p.discovery, known, `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],"Permissions":{"TryLimit":4,"RetryAfter":true}}`)
	path := filepath.Join(p.t.TempDir(), fmt.Sprint(p.starts, ".json"))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	}
	cmd := program()
	cmd.ExtraFiles = []*os.File{p.socket}
	cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+path, "ROUTER_LISTEN_FD=3", "TMPDIR="+p.dir)
	out.daemonRun = &daemonRun{cmd: cmd}
	out.begin(p.t)
	return out
}

func (p *process) call(t *testing.T, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", p.admin)
	if err != nil {
		return ""
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(testpeer.Patience))
	_, _ = io.WriteString(nc, line+"\n")
	text, _ := io.ReadAll(nc)
	return string(text)
}

func (p *process) says(t *testing.T, line, want string) {
	t.Helper()
	testpeer.Until(t, line+" is answered with "+want, func() bool { return strings.HasPrefix(p.call(t, line), want) })
}

// load is callers that ask all the time, each on a connection that it keeps, and some on ever new ones.
type load struct {
	stop   context.CancelFunc
	work   sync.WaitGroup
	served atomic.Int64
}

func (p *stage) load(callers int) *load {
	l := &load{}
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

// more waits until so many more requests were served.
func (l *load) more(t *testing.T, n int64) {
	t.Helper()
	want := l.served.Load() + n
	testpeer.Until(t, fmt.Sprint(n, " more requests are served"), func() bool { return t.Failed() || l.served.Load() >= want })
}

func (p *stage) end(l *load) {
	l.stop()
	l.work.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.came {
		if n != 1 {
			p.t.Errorf("%s came %d times", id, n)
		}
	}
}

// exits waits for a process's end, which must be clean. One that does not end says what it waits for.
func (p *process) exits(t *testing.T) {
	t.Helper()
	stuck := time.AfterFunc(testpeer.Patience, func() { _ = p.cmd.Process.Signal(syscall.SIGQUIT) })
	defer stuck.Stop()
	if err := p.ended(); err != nil {
		t.Fatalf("a process ends with %v: %s", err, &p.spoken)
	}
}

// ends asks a process to end, and waits for that.
func (p *process) ends(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGTERM)
	p.exits(t)
}

// Two processes replace one another under load, twice: no request is lost, none comes twice, and what operators took out before
// stays out until they give it back, whichever process they call.
func TestAProcessIsReplacedUnderLoad(t *testing.T) {
	p := newStage(t, 3)
	first := p.start()
	first.says(t, "check", "SUCCESS")
	callers := p.load(12)
	callers.more(t, 50)
	first.says(t, "set-down s-1", "SUCCESS")
	time.Sleep(50 * time.Millisecond) // what was out is answered
	out := p.endpoints[1].Requests.Load()
	second := p.start()
	second.says(t, "check", "SUCCESS")
	first.ends(t)
	callers.more(t, 200)
	third := p.start()
	third.says(t, "check", "SUCCESS")
	if came := p.endpoints[1].Requests.Load() - out; came > 0 {
		t.Errorf("%d requests came to the one that is out", came)
	}
	second.says(t, "set-up s-1", "SUCCESS") // the one that is on its way out is called: the other hears of it
	second.ends(t)
	testpeer.Until(t, "s-1 is used again", func() bool { return t.Failed() || p.endpoints[1].Requests.Load() > out })
	p.end(callers)
	third.ends(t)
}

// A newer process that dies hands back: at once before it was ready, and after.
func TestAnOlderProcessTakesOverAgain(t *testing.T) {
	p := newStage(t, 2)
	first := p.start()
	first.says(t, "check", "SUCCESS")
	callers := p.load(6)
	callers.more(t, 20)
	second := p.start()
	second.signal(t, syscall.SIGKILL) // at its start
	_ = second.ended()
	callers.more(t, 50)
	callers.stop() // what a SIGKILL finds is lost
	callers.work.Wait()
	stays, err := net.Dial("tcp", p.addr) // a caller that keeps its connection: the first process may not go
	if err != nil {
		t.Fatal(err)
	}
	defer stays.Close()
	_, _ = io.WriteString(stays, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := stays.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	third := p.start()
	third.says(t, "check", "SUCCESS")
	first.says(t, "check", "FAILURE")
	third.signal(t, syscall.SIGKILL)
	_ = third.ended()
	first.says(t, "check", "SUCCESS")
	again := p.load(6)
	again.more(t, 50)
	again.stop()
	again.work.Wait()
	first.ends(t)
}

// One that was taken over from goes when all callers have, without any signal.
func TestOneThatIsReplacedGoes(t *testing.T) {
	p := newStage(t, 1)
	first := p.start()
	first.says(t, "check", "SUCCESS")
	second := p.start()
	second.says(t, "check", "SUCCESS")
	first.exits(t)
	callers := p.load(3)
	callers.more(t, 20)
	p.end(callers)
	second.ends(t)
}

// SIGHUP to both, and long answers under way, in the middle of a hand-over: all come whole, and the old process waits for them.
func TestLongAnswersOutliveAHandover(t *testing.T) {
	p := newStage(t, 2)
	first := p.start()
	first.says(t, "check", "SUCCESS")
	var work sync.WaitGroup
	for i := range 6 {
		work.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+p.addr+"/look/long", nil)
			r.Header.Set("Req-Id", fmt.Sprint("long-", i))
			r.Header.Set("Req-Deadline-Ms", "5000")
			resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != longParts*32<<10 {
				t.Errorf("%d bytes, %v", n, err)
			}
		})
	}
	testpeer.Until(t, "all are under way", func() bool { return p.endpoints[0].Requests.Load()+p.endpoints[1].Requests.Load() == 6 })
	second := p.start()
	first.signal(t, syscall.SIGHUP)
	second.says(t, "check", "SUCCESS")
	second.signal(t, syscall.SIGHUP)
	first.ends(t)
	work.Wait()
	callers := p.load(3)
	callers.more(t, 20)
	p.end(callers)
	second.ends(t)
}

// Where discovery is silent a newcomer goes by the list that it was started with, after a while; one that is told to end
// before has taken nobody.
func TestAHandoverBesideASilentDiscovery(t *testing.T) {
	p := newStage(t, 1)
	p.silent = true
	first := p.start()
	first.says(t, "check", "SUCCESS")
	callers := p.load(3)
	callers.more(t, 20)
	second := p.start()
	testpeer.Until(t, "the second one listens to operators", func() bool { return strings.HasPrefix(second.call(t, "check"), "FAILURE") })
	second.ends(t)
	first.says(t, "check", "SUCCESS")
	callers.more(t, 20)
	third := p.start()
	third.says(t, "check", "SUCCESS")
	first.ends(t)
	callers.more(t, 20)
	p.end(callers)
}

// Thousands of callers that connect and stop half way keep nobody out: operators, and callers that ask, are answered, and
// the daemon keeps to its descriptors.
func TestHalfOpenCallersKeepNobodyOut(t *testing.T) {
	const limit, half = 512, 2000
	p := newStage(t, 1)
	d := p.start()
	d.says(t, "check", "SUCCESS")
	var open []net.Conn
	defer func() {
		for _, nc := range open {
			nc.Close()
		}
	}()
	answered := func(line, want string) {
		t.Helper()
		began := time.Now()
		if got := d.call(t, line); !strings.HasPrefix(got, want) {
			t.Errorf("%s with %d half open: %q", line, len(open), got)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s with %d half open: answered after %v", line, len(open), took)
		}
	}
	for i := range half {
		nc, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, nc)
		_, _ = io.WriteString(nc, []string{"", "GET /look HTTP/1.1\r\nReq-", "GET"}[i%3])
		if i%400 != 399 {
			continue
		}
		answered("check", "SUCCESS")
		answered("vars", "edge_router.")
		r, _ := http.NewRequest(http.MethodGet, "http://"+p.addr+"/look", nil)
		r.Header.Set("Req-Id", fmt.Sprint("real-", i))
		r.Header.Set("Req-Deadline-Ms", "20000")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("a caller that asks, with %d half open: %d", len(open), resp.StatusCode)
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil || len(files) > limit {
			t.Errorf("%d descriptors of %d, %v", len(files), limit, err)
		}
	}
}

// descriptors counts what a process has open; 0: it has ended.
func (p *process) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(files)
}

// A process is replaced in the middle of a crowd that connects and stops half way, with callers that ask beside it: both
// processes together keep to the limit on descriptors, and nobody who asks is lost.
func TestAHandoverInACrowd(t *testing.T) {
	const limit = 512
	p := newStage(t, 2)
	first := p.start()
	first.says(t, "check", "SUCCESS")
	callers := p.load(4)
	callers.more(t, 20)
	ctx, stop := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	for range 8 {
		crowd.Go(func() {
			var open []net.Conn
			for i := 0; ctx.Err() == nil; i++ {
				nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.addr)
				if err != nil {
					break
				}
				_, _ = io.WriteString(nc, []string{"", "GET /look HTTP/1.1\r\nReq-"}[i%2])
				if open = append(open, nc); len(open) > 100 {
					open[0].Close()
					open = open[1:]
				}
				time.Sleep(2 * time.Millisecond)
			}
			for _, nc := range open {
				nc.Close()
			}
		})
	}
	most := 0
	watched := make(chan struct{})
	var others []*process
	var mu sync.Mutex
	go func() {
		defer close(watched)
		for ctx.Err() == nil {
			sum := 0
			mu.Lock()
			for _, d := range append([]*process{first}, others...) {
				sum += d.descriptors()
			}
			mu.Unlock()
			most = max(most, sum)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	testpeer.Until(t, "the crowd fills the first process", func() bool { return first.descriptors() > 200 })
	second := p.start()
	mu.Lock()
	others = append(others, second)
	mu.Unlock()
	second.says(t, "check", "SUCCESS")
	first.ends(t)
	callers.more(t, 50)
	stop()
	crowd.Wait()
	<-watched
	p.end(callers)
	if most > limit {
		t.Errorf("%d descriptors of %d at once", most, limit)
	}
	second.ends(t)
}

// Long bodies both ways at once stay under the daemon's memory, and come whole. BODIES=50x32 sets how many, of how many
// MB; small figures are for every day.
func TestLongBodiesStayUnderTheMemory(t *testing.T) {
	callers, size := 16, 4
	if given := os.Getenv("BODIES"); given != "" {
		if _, err := fmt.Sscanf(given, "%dx%d", &callers, &size); err != nil {
			t.Fatal(err)
		}
	}
	const limit = 96 << 10 // kB
	text := make([]byte, size<<20)
	for i := range text {
		text[i] = byte(rand.Uint32())
	}
	sum := sha256.Sum256(text)
	p := newStage(t, 0)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		if _, err := io.Copy(h, r.Body); err != nil || !bytes.Equal(h.Sum(nil), sum[:]) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write(text)
	}))
	t.Cleanup(e.Close)
	p.names, p.endpoints = []string{"s-0"}, []*testpeer.Endpoint{{Addr: e.Listener.Addr().String()}}
	d := p.start()
	d.says(t, "check", "SUCCESS")
	var work sync.WaitGroup
	var refused atomic.Int32
	for i := range callers {
		work.Go(func() {
			for try := 0; ; try++ {
				r, _ := http.NewRequest(http.MethodPost, "http://"+p.addr+"/pay", bytes.NewReader(text))
				r.Header.Set("Req-Id", fmt.Sprint(i, "-", try))
				r.Header.Set("Req-Deadline-Ms", "60000")
				resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
				if err != nil { // a refusal may come before the body has gone, and end the connection
					refused.Add(1)
				} else {
					h := sha256.New()
					n, err := io.Copy(h, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						if err != nil || n != int64(len(text)) || !bytes.Equal(h.Sum(nil), sum[:]) {
							t.Errorf("%d: %d bytes, %v", i, n, err)
						}
						return
					}
					if resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("%d: %d", i, resp.StatusCode)
						return
					}
					refused.Add(1)
				}
				if try > 100 {
					t.Errorf("%d: never served", i)
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	work.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peak := 0
	if _, err := fmt.Sscan(rest, &peak); err != nil || peak > limit {
		t.Errorf("peak %d kB of %d, %v", peak, limit, err)
	}
	t.Logf("%d bodies of %d MB each way at once: peak %d kB, %d refused at first", callers, size, peak, refused.Load())
}

// A descriptor that is not the socket at the listen address is told in one line, and nothing starts.
func TestAWrongDescriptor(t *testing.T) {
	p := newStage(t, 1)
	p.addr = testpeer.FreePort(t)
	d := p.start()
	if err := d.ended(); err == nil {
		t.Error("it started")
	}
	if said := d.String(); strings.Count(said, "\n") != 1 || !strings.Contains(said, "listens at") {
		t.Errorf("%s", said)
	}
}
