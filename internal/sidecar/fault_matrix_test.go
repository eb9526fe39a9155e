package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// The fault matrix: whoever fails, whenever and however, each request gets the one answer that the operators' page
// promises (docs/operators/long-bodies.md, which this test reads), and runs no more often than it says there.

var (
	ways     = []string{"up", "down"}
	whos     = []string{"caller", "node", "both"}
	whens    = []string{"head", "first byte", "middle", "last byte", "after"}
	hows     = []string{"close", "reset", "silence", "garbage", "slow"}
	classes3 = []string{"safe", "keyed", "unsafe"}
)

// cell is one cell of the matrix: how it is played, and what came of it.
type cell struct {
	way, who, when, how, class string
	name                       string
	size                       int           // of the long body
	failed                     chan struct{} // closed when the node has done its worst
	ended                      chan struct{} // closed when the first exchange at a node is over
	done                       chan struct{} // closed when the caller is

	mu              sync.Mutex
	tries, runs     int
	open            []*net.TCPConn // of attempts
	mostOpen        int
	again           chan struct{} // closed when a second attempt has begun
	failOnce, ender sync.Once
}

func (c *cell) fails(who string) bool { return c.who == who || c.who == "both" }

// offset is how much of a body has gone when the failure comes.
func (c *cell) offset() int {
	return map[string]int{"head": 0, "first byte": 1, "middle": 1 << 20, "last byte": c.size - 1, "after": c.size}[c.when]
}

func (c *cell) fail() { c.failOnce.Do(func() { close(c.failed) }) }

// longest is one text for all: cells that are busy with their own would starve one another.
var longest = bytes.Repeat([]byte("0123456789abcdef"), 64<<20/16)

func text(size int) []byte { return longest[:size] }

// reset ends a connection so that the peer sees a reset.
func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// matrixNode serves all cells, by path.
type matrixNode struct {
	cells map[string]*cell
	end   chan struct{}
}

func (n *matrixNode) start(t *testing.T) string {
	return testpeer.Accept(t, func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetReadBuffer(256 << 10) // so that most of what is not read does not go out
		n.serve(nc)
	}).Addr().String()
}

func (n *matrixNode) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if probe := r.URL.Query().Get("probe"); probe != "" {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(probe), probe)
			continue
		}
		if c := n.cells[r.URL.Path]; c == nil || !n.play(c, nc, r) {
			return
		}
	}
}

// play is one attempt; false: the connection is to be closed.
func (n *matrixNode) play(c *cell, nc net.Conn, r *http.Request) bool {
	c.mu.Lock()
	c.tries++
	first := c.tries == 1
	if c.tries == 2 {
		close(c.again)
	}
	c.open = append(c.open, nc.(*net.TCPConn))
	c.mostOpen = max(c.mostOpen, established(c.open))
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.open = slices.DeleteFunc(c.open, func(o *net.TCPConn) bool { return o == nc })
		c.mu.Unlock()
		c.ender.Do(func() { close(c.ended) })
	}()
	bad := first && c.fails("node")
	if bad && c.way == "up" && c.when != "after" {
		if _, err := io.CopyN(io.Discard, r.Body, int64(c.offset())); err != nil {
			return false
		}
		return n.misbehave(c, nc, func() { r.Body.Read(make([]byte, 1)) })
	}
	if !same(r.Body, c) {
		return false
	}
	c.mu.Lock()
	c.runs++
	c.mu.Unlock()
	head, answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", c.size), text(c.size)
	chunked := bad && c.way == "down" && c.how == "garbage"
	switch {
	case c.way == "up":
		answer = []byte("done")
		head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	case chunked:
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if !bad {
		_, err := (&net.Buffers{[]byte(head), answer}).WriteTo(nc)
		return err == nil
	}
	dribble := []byte(head)
	switch {
	case c.way == "up": // it has all, and nothing is said yet
	case c.when == "head":
		if c.how != "garbage" {
			io.WriteString(nc, head[:20])
			dribble = dribble[20:]
		}
	case chunked:
		part := answer[:c.offset()]
		fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(part), part)
		if c.when == "after" {
			io.WriteString(nc, "0\r\n\r\n")
		}
	default:
		_, _ = (&net.Buffers{[]byte(head), answer[:c.offset()]}).WriteTo(nc)
		dribble = answer[c.offset():]
	}
	if c.way == "down" && c.when == "after" { // a reset would take what is still under way with it
		select {
		case <-c.done:
		case <-n.end:
		}
	}
	return n.misbehave(c, nc, func() {
		if len(dribble) > 0 {
			_, _ = nc.Write(dribble[:1])
			dribble = dribble[1:]
		}
	})
}

// same tells whether a request's body is the one that was sent.
func same(in io.Reader, c *cell) bool {
	want := []byte("hi")
	if c.way == "up" {
		want = text(c.size)
	}
	n, err := asWanted(in, want)
	return err == nil && n == len(want)
}

// established counts the connections that their peer has not closed: a node that does not read can't tell otherwise.
func established(list []*net.TCPConn) (n int) {
	for _, nc := range list {
		raw, err := nc.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil && info.State == unix.BPF_TCP_ESTABLISHED {
				n++
			}
		})
	}
	return n
}

// misbehave fails as the cell says. slowly is a step of one that is too slow.
func (n *matrixNode) misbehave(c *cell, nc net.Conn, slowly func()) bool {
	defer c.fail()
	switch c.how {
	case "close":
		return false
	case "reset":
		reset(nc)
		return false
	case "garbage":
		io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
	case "slow":
		c.fail()
		for range 200 {
			select {
			case <-n.end:
				return false
			case <-time.After(100 * time.Millisecond):
				slowly()
			}
		}
	}
	c.fail()
	<-n.end
	return false
}

// caller plays the caller's side and tells what it was answered.
func (c *cell) caller(t *testing.T, addr string) string {
	defer close(c.done)
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer nc.Close()
	_ = nc.(*net.TCPConn).SetReadBuffer(256 << 10)
	_ = nc.SetDeadline(time.Now().Add(2 * testpeer.Patience))
	chunked := c.way == "up" && c.fails("caller") && c.how == "garbage"
	method, framing, sends := http.MethodPost, fmt.Sprintf("Content-Length: %d", c.size), text(c.size)
	switch {
	case chunked:
		framing = "Transfer-Encoding: chunked"
	case c.way == "down":
		framing, sends = "Content-Length: 2", []byte("hi")
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nIdempotency-Key: k\r\n%s\r\n\r\n", method, c.name, c.name[1:], framing)
	if c.fails("caller") && c.when == "head" {
		io.WriteString(nc, head[:20])
		return c.misbehave(nc, func() { io.WriteString(nc, "x") })
	}
	io.WriteString(nc, head)
	send := func(part []byte) {
		if chunked && len(part) > 0 {
			fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
			return
		}
		_, _ = nc.Write(part)
	}
	if c.way == "down" {
		send(sends)
		return c.receive(nc)
	}
	if c.fails("caller") {
		send(sends[:c.offset()])
		if chunked && c.when == "after" {
			io.WriteString(nc, "0\r\n\r\n")
		}
		left := sends[c.offset():]
		return c.misbehave(nc, func() {
			if len(left) > 0 {
				send(left[:1])
				left = left[1:]
			}
		})
	}
	go func() { // the beginning, and the rest once the node has failed: it must not be there to be swallowed by buffers
		first := len(sends)
		if c.when == "head" || c.when == "first byte" {
			first = body.Held
		}
		send(sends[:first])
		goOn := c.again
		if c.how == "silence" || c.how == "slow" {
			goOn = c.failed
		}
		select {
		case <-goOn:
		case <-c.done:
		}
		send(sends[first:])
	}()
	return outcome(bufio.NewReader(nc), []byte("done"), nil)
}

// misbehave fails while a request is sent.
func (c *cell) misbehave(nc net.Conn, slowly func()) string {
	want := []byte("done")
	if c.way == "down" {
		want = text(c.size)
	}
	switch c.how {
	case "close":
		return "gone"
	case "reset":
		reset(nc)
		return "gone"
	case "garbage":
		io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
	case "slow":
		over := make(chan bool)
		defer close(over)
		go func() {
			for range 200 {
				select {
				case <-over:
					return
				case <-time.After(100 * time.Millisecond):
					slowly()
				}
			}
		}()
	}
	return outcome(bufio.NewReader(nc), want, nil)
}

// receive reads a long answer, and fails on the way if the cell says so.
func (c *cell) receive(nc net.Conn) string {
	in := bufio.NewReader(nc)
	if !c.fails("caller") {
		return outcome(in, text(c.size), nil)
	}
	return outcome(in, text(c.size), func(got io.Reader) (so int, gone bool, broken error) {
		so, err := asWanted(io.LimitReader(got, int64(c.offset())), text(c.offset()))
		if err == nil && so < c.offset() {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return so, false, err
		}
		switch c.how {
		case "close":
			nc.Close()
			return so, true, nil
		case "reset":
			reset(nc)
			return so, true, nil
		case "garbage":
			io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
		case "silence":
			for end := time.Now().Add(6 * time.Second); c.when != "last byte" && c.when != "after" && time.Now().Before(end) && established([]*net.TCPConn{nc.(*net.TCPConn)}) > 0; {
				time.Sleep(5 * time.Millisecond)
			}
		case "slow":
			for b := make([]byte, 1); ; {
				select {
				case <-c.ended:
					return so, false, nil
				case <-time.After(100 * time.Millisecond):
				}
				n, err := got.Read(b)
				if n > 0 && b[0] != text(so + 1)[so] {
					return so, false, errOther
				}
				if so += n; err == io.EOF {
					return so, false, nil
				} else if err != nil {
					return so, false, err
				}
			}
		}
		return so, false, nil
	})
}

// errOther is an answer that is not the one wanted.
var errOther = errors.New("another answer")

// asWanted reads to the end and tells how much of what is wanted came. It holds no more than a part: to set 48 MB aside took a reader up
// to 1.47 s under the race detector, four copies at a time on two cores, and who does not read for 1.5 s is cut off.
func asWanted(got io.Reader, want []byte) (n int, err error) {
	for part := make([]byte, 64<<10); err == nil; {
		var k int
		if k, err = got.Read(part); !bytes.HasPrefix(want[n:], part[:k]) {
			return n, errOther
		}
		n += k
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// outcome reads an answer and says what it is. midway tells how much of it has come as wanted.
func outcome(in *bufio.Reader, want []byte, midway func(io.Reader) (int, bool, error)) string {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	got := 0
	if midway != nil && resp.StatusCode == http.StatusOK {
		var gone bool
		if got, gone, err = midway(resp.Body); gone {
			return "gone"
		}
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		var n int
		n, err = asWanted(resp.Body, want[got:])
		got += n
	}
	switch {
	case resp.StatusCode == http.StatusBadGateway:
		return "failed"
	case resp.StatusCode == http.StatusServiceUnavailable:
		return "refused"
	case resp.StatusCode != http.StatusOK:
		return strconv.Itoa(resp.StatusCode)
	case err != nil && !errors.Is(err, errOther):
		return "cut"
	case err == nil && got == len(want):
		return "served"
	}
	return "wrong"
}

// expectation is a row of the page's table. "*" stands for all, and lists are divided by commas.
type expectation struct {
	of      [5]string // way, who, when, how, class
	answers []string
	runs    int
	line    int
	met     atomic.Int32
}

func expectations(t *testing.T) (rows []*expectation) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "long-bodies.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "| way | who fails | when | how | class |")
	if !found {
		t.Fatal("the page has no table")
	}
	for i, line := range strings.Split(table, "\n") {
		cols := strings.Split(strings.Trim(line, "| "), "|")
		if i < 2 {
			continue
		}
		if len(cols) != 7 {
			break
		}
		e := &expectation{line: i}
		for k := range cols {
			cols[k] = strings.TrimSpace(cols[k])
		}
		copy(e.of[:], cols)
		for a := range strings.SplitSeq(cols[5], ",") {
			e.answers = append(e.answers, strings.TrimSpace(a))
		}
		if e.runs, err = strconv.Atoi(cols[6]); err != nil {
			t.Fatalf("row %d: %v", i, err)
		}
		rows = append(rows, e)
	}
	return rows
}

func (e *expectation) covers(c *cell) bool {
	for i, is := range []string{c.way, c.who, c.when, c.how, c.class} {
		if e.of[i] != "*" && !listContains(e.of[i], is) {
			return false
		}
	}
	return true
}

func listContains(list, what string) bool {
	for one := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(one) == what {
			return true
		}
	}
	return false
}

// judge says what is wrong with a cell; nothing: it is as the page has it.
func judge(c *cell, answer string, rows []*expectation) error {
	for _, e := range rows {
		if !e.covers(c) {
			continue
		}
		e.met.Add(1)
		switch {
		case !listContains(strings.Join(e.answers, ","), answer):
			return fmt.Errorf("answered %q, want %v (row %d)", answer, e.answers, e.line)
		case c.runs > e.runs:
			return fmt.Errorf("ran %d times, %d allowed (row %d)", c.runs, e.runs, e.line)
		case c.mostOpen > 1:
			return fmt.Errorf("%d attempts out at once", c.mostOpen)
		}
		return nil
	}
	return errors.New("no row of the page covers it")
}

func TestFaultMatrix(t *testing.T) {
	rows := expectations(t)
	n := &matrixNode{cells: map[string]*cell{}, end: make(chan struct{})}
	var cells []*cell
	a, b := n.start(t), n.start(t)
	file := strings.Builder{}
	file.WriteString(`format = 1
		class = [{ name = "safe", effect = "safe", deadline = "4s" }, { name = "keyed", effect = "keyed", window = "1m", deadline = "4s" }, { name = "unsafe", effect = "unsafe", deadline = "4s" }]
		[daemon]
		body_memory_mb = 64
		[[listener]]
		name = "one"
		address = "127.0.0.1:0"
		body_bytes = 1073741824
		head_timeout = "4s"
		flow_idle = "1500ms"
		flow_rate = 20000
		`)
	for _, way := range ways {
		for _, who := range whos {
			for _, when := range whens {
				for _, how := range hows {
					for _, class := range classes3 {
						c := &cell{way: way, who: who, when: when, how: how, class: class, name: fmt.Sprintf("/c%d", len(cells)),
							failed: make(chan struct{}), ended: make(chan struct{}), done: make(chan struct{}), again: make(chan struct{}), size: 2 << 20}
						// Where somebody does not read, more than the system's buffers take.
						if way == "up" && c.fails("node") && (when == "middle" || c.offset() < 2 && (how == "silence" || how == "slow")) || way == "down" && c.fails("caller") && (how == "silence" || how == "slow") {
							c.size = 48 << 20
						}
						cells = append(cells, c)
						n.cells[c.name] = c
						fmt.Fprintf(&file, "[[pool]]\nname = %q\nbegins = \"last_byte\"\nflow_idle = \"1500ms\"\nflow_rate = 20000\ncold_for = \"0s\"\n[[pool.member]]\naddress = %q\n[[pool.member]]\naddress = %q\n[[route]]\npath = %q\npool = %q\nclass = %q\n",
							c.name, a, b, c.name, c.name, class)
					}
				}
			}
		}
	}
	s := startFromFile(t, parseFile(t, file.String()))
	for _, c := range cells { // each pool has its goroutines before they are counted
		if probe(s.addressOf("one"), c, "first") != "first" {
			t.Fatalf("%s does not serve", c.name)
		}
	}
	before, files := settled(), use().descriptors
	var busy sync.WaitGroup
	var bad atomic.Int32
	room := make(chan bool, 16)
	for _, c := range cells {
		busy.Go(func() {
			room <- true
			defer func() { <-room }()
			answer := c.caller(t, s.addressOf("one"))
			// Whoever comes next gets an answer of its own, or none.
			for i := range 2 {
				want := fmt.Sprintf("%s-%d", c.name[1:], i)
				if got := probe(s.addressOf("one"), c, want); got != want && got != "refused" && got != "failed" {
					t.Errorf("%s: the next request got %q", c, got)
				}
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if err := judge(c, answer, rows); err != nil {
				bad.Add(1)
				t.Errorf("%s: %v", c, err)
			}
		})
	}
	busy.Wait()
	close(n.end)
	for _, e := range rows {
		if e.met.Load() == 0 {
			t.Errorf("row %d of the page covers nothing", e.line)
		}
	}
	t.Logf("%d cells, %d not as the page has them", len(cells), bad.Load())
	testpeer.Until(t, "all memory for bodies is given back", func() bool {
		held, waiting := s.bodyMemory.Held()
		return held == 0 && waiting == 0
	})
	// Idle connections to nodes may stay: two a pool at most, with a goroutine at the node each.
	testpeer.Until(t, "goroutines end", func() bool { return runtime.NumGoroutine() <= before+2*len(cells) })
	testpeer.Until(t, "descriptors are closed", func() bool { return use().descriptors <= files+4*len(cells) })
}

func (c *cell) String() string {
	return strings.Join([]string{c.way, c.who, c.when, c.how, c.class}, ", ")
}

func probe(addr string, c *cell, text string) string {
	r, _ := http.NewRequest(http.MethodGet, "http://"+addr+c.name+"?probe="+text, nil)
	r.Header.Set("Idempotency-Key", text)
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return string(got)
	case http.StatusServiceUnavailable:
		return "refused"
	case http.StatusBadGateway:
		return "failed"
	}
	return resp.Status
}

func settled() int {
	n := runtime.NumGoroutine()
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		n = min(n, runtime.NumGoroutine())
	}
	return n
}

// The judge of the matrix must find what is wrong.
func TestFaultMatrixDetectsViolations(t *testing.T) {
	rows := []*expectation{{of: [5]string{"up", "caller, both", "*", "close", "unsafe"}, answers: []string{"gone"}, runs: 1}}
	as := func(change func(*cell)) *cell {
		c := &cell{way: "up", who: "both", when: "head", how: "close", class: "unsafe", runs: 1, mostOpen: 1}
		change(c)
		return c
	}
	if err := judge(as(func(*cell) {}), "gone", rows); err != nil {
		t.Error(err)
	}
	for name, row := range map[string]struct {
		c      *cell
		answer string
	}{
		"another answer": {as(func(*cell) {}), "served"},
		"two runs":       {as(func(c *cell) { c.runs = 2 }), "gone"},
		"two at once":    {as(func(c *cell) { c.mostOpen = 2 }), "gone"},
		"no row":         {as(func(c *cell) { c.who = "node" }), "gone"},
		"no such answer": {as(func(*cell) {}), "wrong"},
	} {
		if judge(row.c, row.answer, rows) == nil {
			t.Errorf("%s passes", name)
		}
	}
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone": "served", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo": "cut", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone": "wrong",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ndo": "wrong", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n": "cut", "HTTP/1.1 503 No\r\n\r\n": "refused", "": "no answer",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": "wrong", "HTTP/1.1 408 No\r\n\r\n": "408",
	} {
		if got := outcome(bufio.NewReader(strings.NewReader(text)), []byte("done"), nil); got != want {
			t.Errorf("%q is %q, want %q", text, got, want)
		}
	}
}
