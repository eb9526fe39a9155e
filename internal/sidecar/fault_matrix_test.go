package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// The fault matrix: whoever fails, whenever and however, each request gets the one answer that the operators' page
// promises (docs/operators/long-bodies.md, which this test reads), and runs no more often than it says there.

var (
	matrixDirections   = []string{"up", "down"}
	matrixFailingSides = []string{"caller", "node", "both"}
	matrixMoments      = []string{"head", "first byte", "middle", "last byte", "after"}
	matrixFaults       = []string{"close", "reset", "silence", "garbage", "slow"}
	matrixClasses      = []string{"safe", "keyed", "unsafe"}
)

// cell is one cell of the matrix: how it is played, and what came of it.
type cell struct {
	direction, failingSide, moment, fault, class string
	name                                         string
	size                                         int           // of the long body
	failed                                       chan struct{} // closed when the node has done its worst
	exchangeEnded                                chan struct{} // closed when the first exchange at a node is over
	clientEnded                                  chan struct{} // closed when the caller is

	mu                sync.Mutex
	attempts, runs    int
	connections       []*net.TCPConn // of attempts
	mostConnections   int
	retried           chan struct{} // closed when a second attempt has begun
	failOnce, endOnce sync.Once
}

func (c *cell) fails(who string) bool { return c.failingSide == who || c.failingSide == "both" }

// offset is how much of a body has gone when the failure comes.
func (c *cell) offset() int {
	return map[string]int{"head": 0, "first byte": 1, "middle": 1 << 20, "last byte": c.size - 1, "after": c.size}[c.moment]
}

func (c *cell) fail() { c.failOnce.Do(func() { close(c.failed) }) }

// longText is one text for all: cells that are busy with their own would starve one another.
var longText = bytes.Repeat([]byte("0123456789abcdef"), 64<<20/16)

func textOf(size int) []byte { return longText[:size] }

// reset ends a connection so that the peer sees a reset.
func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// expectation is a row of the page's table. "*" stands for all, and lists are divided by commas.
type expectation struct {
	of       [5]string // way, who, when, how, class
	outcomes []string
	runs     int
	line     int
	matches  atomic.Int32
}

func readExpectations(t *testing.T) (rows []*expectation) {
	t.Helper()
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
			e.outcomes = append(e.outcomes, strings.TrimSpace(a))
		}
		if e.runs, err = strconv.Atoi(cols[6]); err != nil {
			t.Fatalf("row %d: %v", i, err)
		}
		rows = append(rows, e)
	}
	return rows
}

func (e *expectation) covers(c *cell) bool {
	for i, is := range []string{c.direction, c.failingSide, c.moment, c.fault, c.class} {
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
		e.matches.Add(1)
		switch {
		case !listContains(strings.Join(e.outcomes, ","), answer):
			return fmt.Errorf("answered %q, want %v (row %d)", answer, e.outcomes, e.line)
		case c.runs > e.runs:
			return fmt.Errorf("ran %d times, %d allowed (row %d)", c.runs, e.runs, e.line)
		case c.mostConnections > 1:
			return fmt.Errorf("%d attempts out at once", c.mostConnections)
		}
		return nil
	}
	return errors.New("no row of the page covers it")
}

func TestFaultMatrix(t *testing.T) {
	rows := readExpectations(t)
	n := &matrixNode{cells: map[string]*cell{}, testEnded: make(chan struct{})}
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
	for _, way := range matrixDirections {
		for _, who := range matrixFailingSides {
			for _, when := range matrixMoments {
				for _, how := range matrixFaults {
					for _, class := range matrixClasses {
						c := &cell{direction: way, failingSide: who, moment: when, fault: how, class: class, name: fmt.Sprintf("/c%d", len(cells)),
							failed: make(chan struct{}), exchangeEnded: make(chan struct{}), clientEnded: make(chan struct{}), retried: make(chan struct{}), size: 2 << 20}
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
		if sendProbe(s.addressOf("one"), c, "first") != "first" {
			t.Fatalf("%s does not serve", c.name)
		}
	}
	before, files := settledGoroutines(), measureResources().descriptors
	var busy sync.WaitGroup
	var bad atomic.Int32
	room := make(chan bool, 16)
	for _, c := range cells {
		busy.Go(func() {
			room <- true
			defer func() { <-room }()
			answer := c.playClient(t, s.addressOf("one"))
			// Whoever comes next gets an answer of its own, or none.
			for i := range 2 {
				want := fmt.Sprintf("%s-%d", c.name[1:], i)
				if got := sendProbe(s.addressOf("one"), c, want); got != want && got != "refused" && got != "failed" {
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
	close(n.testEnded)
	for _, e := range rows {
		if e.matches.Load() == 0 {
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
	testpeer.Until(t, "descriptors are closed", func() bool { return measureResources().descriptors <= files+4*len(cells) })
}

func (c *cell) String() string {
	return strings.Join([]string{c.direction, c.failingSide, c.moment, c.fault, c.class}, ", ")
}

func settledGoroutines() int {
	n := runtime.NumGoroutine()
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		n = min(n, runtime.NumGoroutine())
	}
	return n
}

// The judge of the matrix must find what is wrong.
func TestFaultMatrixDetectsViolations(t *testing.T) {
	rows := []*expectation{{of: [5]string{"up", "caller, both", "*", "close", "unsafe"}, outcomes: []string{"gone"}, runs: 1}}
	as := func(change func(*cell)) *cell {
		c := &cell{direction: "up", failingSide: "both", moment: "head", fault: "close", class: "unsafe", runs: 1, mostConnections: 1}
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
		"two at once":    {as(func(c *cell) { c.mostConnections = 2 }), "gone"},
		"no row":         {as(func(c *cell) { c.failingSide = "node" }), "gone"},
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
