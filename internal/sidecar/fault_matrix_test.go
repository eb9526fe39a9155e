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

// The fault matrix: whoever fails, whenever and however, each request gets the one response that the operators' page
// promises (docs/operators/long-bodies.md, which this test reads), and runs no more often than it says there. The values
// are those of the page's table.
var (
	matrixDirections   = []string{"up", "down"}
	matrixFailingSides = []string{"caller", "node", "both"}
	matrixMoments      = []string{"head", "first byte", "middle", "last byte", "after"}
	matrixFaults       = []string{"close", "reset", "silence", "garbage", "slow"}
	matrixClasses      = []string{"safe", "keyed", "unsafe"}
)

// cell is one cell of the matrix: how it is played, and what was seen.
type cell struct {
	direction, failingSide, moment, fault, class string

	name          string        // and path
	size          int           // of the long body
	failed        chan struct{} // closed when the node has failed
	exchangeEnded chan struct{} // closed when the first exchange at a node is over
	clientEnded   chan struct{} // closed when the client has its outcome
	retried       chan struct{} // closed when a second attempt has begun

	mu              sync.Mutex
	attempts, runs  int
	connections     []*net.TCPConn // of attempts
	mostConnections int            // at once

	failOnce, endOnce sync.Once
}

// newCell makes the cell that is played under a path.
func newCell(name, direction, failingSide, moment, fault, class string) *cell {
	c := &cell{
		direction:     direction,
		failingSide:   failingSide,
		moment:        moment,
		fault:         fault,
		class:         class,
		name:          name,
		size:          2 << 20,
		failed:        make(chan struct{}),
		exchangeEnded: make(chan struct{}),
		clientEnded:   make(chan struct{}),
		retried:       make(chan struct{}),
	}
	isUnread := fault == "silence" || fault == "slow"
	nodeStopsEarly := direction == "up" && c.fails("node") && (moment == "middle" || c.offset() < 2 && isUnread)
	clientStopsReading := direction == "down" && c.fails("caller") && isUnread
	if nodeStopsEarly || clientStopsReading { // more than the system's buffers take
		c.size = 48 << 20
	}
	return c
}

// newCells makes all cells of the matrix.
func newCells() []*cell {
	var cells []*cell
	for _, direction := range matrixDirections {
		for _, failingSide := range matrixFailingSides {
			for _, moment := range matrixMoments {
				for _, fault := range matrixFaults {
					for _, class := range matrixClasses {
						name := fmt.Sprintf("/c%d", len(cells))
						cells = append(cells, newCell(name, direction, failingSide, moment, fault, class))
					}
				}
			}
		}
	}
	return cells
}

// fails tells whether a side, "caller" or "node", is to fail.
func (c *cell) fails(side string) bool { return c.failingSide == side || c.failingSide == "both" }

// offset is how many bytes of a body have been sent when the fault comes.
func (c *cell) offset() int {
	return map[string]int{"head": 0, "first byte": 1, "middle": 1 << 20, "last byte": c.size - 1, "after": c.size}[c.moment]
}

func (c *cell) fail() { c.failOnce.Do(func() { close(c.failed) }) }

// longText is shared by all cells: making one for each would take them too much time.
var longText = bytes.Repeat([]byte("0123456789abcdef"), 64<<20/16)

func textOf(size int) []byte { return longText[:size] }

// reset ends a connection so that the peer sees a reset.
func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// expectation is a row of the page's table. "*" stands for all values, and lists are separated by commas.
type expectation struct {
	of       [5]string // direction, failing side, moment, fault, class
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

// judge returns an error if a cell is not as the page has it.
func judge(c *cell, outcome string, rows []*expectation) error {
	for _, e := range rows {
		if !e.covers(c) {
			continue
		}
		e.matches.Add(1)
		switch {
		case !listContains(strings.Join(e.outcomes, ","), outcome):
			return fmt.Errorf("answered %q, want %v (row %d)", outcome, e.outcomes, e.line)
		case c.runs > e.runs:
			return fmt.Errorf("ran %d times, %d allowed (row %d)", c.runs, e.runs, e.line)
		case c.mostConnections > 1:
			return fmt.Errorf("%d attempts in flight at once", c.mostConnections)
		}
		return nil
	}
	return errors.New("no row of the page covers it")
}

// matrixFile is an operators' file with a pool and a route for each cell. All pools have the same two members.
func matrixFile(cells []*cell, a, b string) string {
	file := strings.Builder{}
	file.WriteString(`format = 1
		class = [
			{ name = "safe", effect = "safe", deadline = "4s" },
			{ name = "keyed", effect = "keyed", window = "1m", deadline = "4s" },
			{ name = "unsafe", effect = "unsafe", deadline = "4s" },
		]
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
	for _, c := range cells {
		fmt.Fprintf(&file, `
			[[pool]]
			name = %q
			begins = "last_byte"
			flow_idle = "1500ms"
			flow_rate = 20000
			cold_for = "0s"
			[[pool.member]]
			address = %q
			[[pool.member]]
			address = %q
			[[route]]
			path = %q
			pool = %q
			class = %q
			`, c.name, a, b, c.name, c.name, c.class)
	}
	return file.String()
}

func TestFaultMatrix(t *testing.T) {
	rows := readExpectations(t)
	n := &matrixNode{cells: map[string]*cell{}, testEnded: make(chan struct{})}
	cells := newCells()
	for _, c := range cells {
		n.cells[c.name] = c
	}
	s := startFromFile(t, parseFile(t, matrixFile(cells, n.start(t), n.start(t))))
	for _, c := range cells { // so that each pool has its goroutines before they are counted
		if sendProbe(s.addressOf("one"), c, "first") != "first" {
			t.Fatalf("%s does not serve", c.name)
		}
	}
	before, files := settledGoroutines(), measureResources().descriptors
	var busy sync.WaitGroup
	var bad atomic.Int32
	slots := make(chan bool, 16)
	for _, c := range cells {
		busy.Go(func() {
			slots <- true
			defer func() { <-slots }()
			answer := c.playClient(t, s.addressOf("one"))
			// The next request gets a response of its own, or none.
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
	testpeer.Eventually(t, "all body memory is released", func() bool {
		held, waiting := s.bodyMemory.InUse()
		return held == 0 && waiting == 0
	})
	// Idle connections to nodes may stay open: two a pool at most, with a goroutine at the node each.
	testpeer.Eventually(t, "goroutines end", func() bool { return runtime.NumGoroutine() <= before+2*len(cells) })
	testpeer.Eventually(t, "descriptors are closed", func() bool { return measureResources().descriptors <= files+4*len(cells) })
}

func (c *cell) String() string {
	return strings.Join([]string{c.direction, c.failingSide, c.moment, c.fault, c.class}, ", ")
}

// settledGoroutines is the least number of goroutines in 100 ms.
func settledGoroutines() int {
	n := runtime.NumGoroutine()
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		n = min(n, runtime.NumGoroutine())
	}
	return n
}

// The judge of the matrix must detect each violation.
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
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone":                   "served",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo":                     "cut",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone":                   "wrong",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ndo":                     "wrong",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n": "cut",
		"HTTP/1.1 503 No\r\n\r\n":                                            "refused",
		"":                                                                   "no answer",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                       "wrong",
		"HTTP/1.1 408 No\r\n\r\n":                                            "408",
	} {
		if got := outcome(bufio.NewReader(strings.NewReader(text)), []byte("done"), nil); got != want {
			t.Errorf("%q is %q, want %q", text, got, want)
		}
	}
}
