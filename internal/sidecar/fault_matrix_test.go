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

// Dimensions of the fault matrix. For each combination of a failing side, moment and fault a request must get one of the
// outcomes that the table in docs/operators/long-bodies.md promises, and run at most as often as the table says. The test
// reads that table; the values are those that the table uses.
var (
	matrixDirections   = []string{"up", "down"}             // direction of the long body
	matrixFailingSides = []string{"caller", "node", "both"} // side that fails: the client, the endpoint, or both
	// matrixMoments are the places in a message at which the fault occurs: in the message's head, after the first byte of the
	// long body, in the middle of that body, before its last byte, or after the body.
	matrixMoments = []string{"head", "first byte", "middle", "last byte", "after"}
	matrixFaults  = []string{"close", "reset", "silence", "garbage", "slow"} // what the failing side does
	matrixClasses = []string{"safe", "keyed", "unsafe"}                      // classes of requests: idempotent, with an idempotency key, not idempotent
)

// matrixCell is one cell of the fault matrix: one request with its fault, and what the endpoints observed of it.
type matrixCell struct {
	direction, failingSide, moment, fault, class string

	path          string        // path of the cell's requests, and name of its pool
	size          int           // size of the long body in bytes
	nodeFailed    chan struct{} // closed when the endpoint has failed
	exchangeEnded chan struct{} // closed when the first attempt has ended at the endpoint
	clientEnded   chan struct{} // closed when the client has its outcome
	retried       chan struct{} // closed when a second attempt has begun

	mu             sync.Mutex
	attempts       int            // number of attempts that reached an endpoint
	runs           int            // number of attempts whose complete request reached an endpoint
	connections    []*net.TCPConn // connections of the attempts in flight
	maxConnections int            // largest number of connections of attempts in flight at the same time

	failOnce, endOnce sync.Once // guard the closing of nodeFailed and of exchangeEnded
}

// newMatrixCell returns a cell of the fault matrix whose requests have the given path.
func newMatrixCell(path, direction, failingSide, moment, fault, class string) *matrixCell {
	c := &matrixCell{
		direction:     direction,
		failingSide:   failingSide,
		moment:        moment,
		fault:         fault,
		class:         class,
		path:          path,
		size:          2 << 20,
		nodeFailed:    make(chan struct{}),
		exchangeEnded: make(chan struct{}),
		clientEnded:   make(chan struct{}),
		retried:       make(chan struct{}),
	}
	stopsReading := fault == "silence" || fault == "slow"
	nodeStopsEarly := direction == "up" && c.fails("node") && (moment == "middle" || c.faultOffset() < 2 && stopsReading)
	clientStopsReading := direction == "down" && c.fails("caller") && stopsReading
	if nodeStopsEarly || clientStopsReading { // the kernel buffers on the way must not hold the complete body
		c.size = 48 << 20
	}
	return c
}

// newMatrixCells returns all cells of the fault matrix.
func newMatrixCells() []*matrixCell {
	var cells []*matrixCell
	for _, direction := range matrixDirections {
		for _, failingSide := range matrixFailingSides {
			for _, moment := range matrixMoments {
				for _, fault := range matrixFaults {
					for _, class := range matrixClasses {
						path := fmt.Sprintf("/c%d", len(cells))
						cells = append(cells, newMatrixCell(path, direction, failingSide, moment, fault, class))
					}
				}
			}
		}
	}
	return cells
}

// fails reports whether a side, "caller" (the client) or "node" (the endpoint), fails in this cell.
func (c *matrixCell) fails(side string) bool { return c.failingSide == side || c.failingSide == "both" }

// faultOffset returns how many bytes of the long body have been sent when the fault occurs.
func (c *matrixCell) faultOffset() int {
	return map[string]int{"head": 0, "first byte": 1, "middle": 1 << 20, "last byte": c.size - 1, "after": c.size}[c.moment]
}

// markNodeFailed records that the endpoint has failed.
func (c *matrixCell) markNodeFailed() { c.failOnce.Do(func() { close(c.nodeFailed) }) }

// longBodyBytes holds the bytes from which longBody takes all long bodies. All cells of the fault matrix share
// them, since allocating a body for each cell would take too much time.
var longBodyBytes = bytes.Repeat([]byte("0123456789abcdef"), 64<<20/16)

// longBody returns a body of the given size, at most 64 MiB. The bytes are shared and must not be changed.
func longBody(size int) []byte { return longBodyBytes[:size] }

// reset closes a connection with a TCP reset.
func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// expectation is one row of the table in docs/operators/long-bodies.md. The row says which outcomes are promised for the cells of
// the fault matrix that cellPattern selects.
type expectation struct {
	// cellPattern selects cells of the fault matrix by direction, failing side, moment, fault and class. Each element is "*",
	// which matches all values, or a list of values separated by commas.
	cellPattern [5]string
	outcomes    []string     // outcomes that the client may get, as classifyResponse names them
	maxRuns     int          // how often the request may run at an endpoint
	row         int          // number of this row in the table of long-bodies.md, for failure messages
	matchCount  atomic.Int32 // number of cells of the fault matrix to which this row applied
}

// readExpectations reads the table in docs/operators/long-bodies.md.
func readExpectations(t *testing.T) (rows []*expectation) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "long-bodies.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "| way | who fails | when | how | class |")
	if !found {
		t.Fatal("the page long-bodies.md has no table of faults")
	}
	for i, line := range strings.Split(table, "\n") {
		cols := strings.Split(strings.Trim(line, "| "), "|")
		if i < 2 {
			continue
		}
		if len(cols) != 7 {
			break
		}
		e := &expectation{row: i}
		for k := range cols {
			cols[k] = strings.TrimSpace(cols[k])
		}
		copy(e.cellPattern[:], cols)
		for outcome := range strings.SplitSeq(cols[5], ",") {
			e.outcomes = append(e.outcomes, strings.TrimSpace(outcome))
		}
		if e.maxRuns, err = strconv.Atoi(cols[6]); err != nil {
			t.Fatalf("row %d: %v", i, err)
		}
		rows = append(rows, e)
	}
	return rows
}

// appliesTo reports whether the row's cellPattern matches a cell of the fault matrix.
func (e *expectation) appliesTo(c *matrixCell) bool {
	for i, value := range []string{c.direction, c.failingSide, c.moment, c.fault, c.class} {
		if e.cellPattern[i] != "*" && !listContains(e.cellPattern[i], value) {
			return false
		}
	}
	return true
}

// listContains reports whether a list separated by commas contains a value.
func listContains(list, value string) bool {
	for element := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(element) == value {
			return true
		}
	}
	return false
}

// checkCell compares the outcome and the number of runs of a cell of the fault matrix with the first row of the table that applies
// to the cell. It returns an error if they are not what the row promises, if two attempts were in flight at once, or if no row applies.
func checkCell(c *matrixCell, outcome string, rows []*expectation) error {
	for _, e := range rows {
		if !e.appliesTo(c) {
			continue
		}
		e.matchCount.Add(1)
		switch {
		case !listContains(strings.Join(e.outcomes, ","), outcome):
			return fmt.Errorf("outcome %q, want one of %v (row %d)", outcome, e.outcomes, e.row)
		case c.runs > e.maxRuns:
			return fmt.Errorf("ran %d times, want at most %d (row %d)", c.runs, e.maxRuns, e.row)
		case c.maxConnections > 1:
			return fmt.Errorf("%d attempts in flight at once, want 1", c.maxConnections)
		}
		return nil
	}
	return errors.New("no row of the table applies to the cell")
}

// matrixFile returns an operators' file with a pool and a route for each cell of the fault matrix. All pools have the same two members.
func matrixFile(cells []*matrixCell, a, b string) string {
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
			`, c.path, a, b, c.path, c.path, c.class)
	}
	return file.String()
}

// Whichever side fails, at whatever moment and in whatever way, a request gets one of the outcomes that the operators'
// table promises, runs at most as often as promised, and never has two attempts in flight. Requests of the same class that
// follow get responses of their own, and no memory, goroutine or descriptor is leaked.
func TestFaultMatrixGivesPromisedOutcomes(t *testing.T) {
	rows := readExpectations(t)
	n := &matrixEndpoint{cells: map[string]*matrixCell{}, testEnded: make(chan struct{})}
	cells := newMatrixCells()
	for _, c := range cells {
		n.cells[c.path] = c
	}
	s := startFromFile(t, parseFile(t, matrixFile(cells, n.start(t), n.start(t))))
	for _, c := range cells { // a first request to each pool starts the pool's goroutines before goroutines are counted
		if sendProbeRequest(s.addressOf("one"), c, "first") != "first" {
			t.Fatalf("%s does not serve", c.path)
		}
	}
	goroutinesBefore, descriptorsBefore := countSettledGoroutines(), measureResources().descriptors
	var running sync.WaitGroup
	var failedCells atomic.Int32
	slots := make(chan bool, 16)
	for _, c := range cells {
		running.Go(func() {
			slots <- true
			defer func() { <-slots }()
			outcome := c.runClient(t, s.addressOf("one"))
			// Each of the two requests after the fault must get its own response, or be shed or fail.
			for i := range 2 {
				want := fmt.Sprintf("%s-%d", c.path[1:], i)
				if got := sendProbeRequest(s.addressOf("one"), c, want); got != want && got != "refused" && got != "failed" {
					t.Errorf("%s: a request after the fault got %q, want %q, refused or failed", c, got, want)
				}
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if err := checkCell(c, outcome, rows); err != nil {
				failedCells.Add(1)
				t.Errorf("%s: %v", c, err)
			}
		})
	}
	running.Wait()
	close(n.testEnded)
	for _, e := range rows {
		if e.matchCount.Load() == 0 {
			t.Errorf("row %d of the table applies to no cell", e.row)
		}
	}
	t.Logf("%d cells, of which %d are not as the table promises", len(cells), failedCells.Load())
	testpeer.Eventually(t, "all body memory is released", func() bool {
		reservedBytes, waiting := s.bodyMemory.InUse()
		return reservedBytes == 0 && waiting == 0
	})
	// Idle connections to endpoints may stay open: at most two for each pool, each with a goroutine at the endpoint.
	testpeer.Eventually(t, "goroutines end", func() bool { return runtime.NumGoroutine() <= goroutinesBefore+2*len(cells) })
	testpeer.Eventually(t, "descriptors are closed", func() bool { return measureResources().descriptors <= descriptorsBefore+4*len(cells) })
}

// String returns the cell's direction, failing side, moment, fault and class, for failure messages.
func (c *matrixCell) String() string {
	return strings.Join([]string{c.direction, c.failingSide, c.moment, c.fault, c.class}, ", ")
}

// countSettledGoroutines returns the smallest number of goroutines seen within 100 ms, so that goroutines that are about
// to end are not counted.
func countSettledGoroutines() int {
	n := runtime.NumGoroutine()
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		n = min(n, runtime.NumGoroutine())
	}
	return n
}

// The fault matrix's own checks must detect each kind of violation, and classify each kind of response.
func TestFaultMatrixDetectsViolations(t *testing.T) {
	rows := []*expectation{{cellPattern: [5]string{"up", "caller, both", "*", "close", "unsafe"}, outcomes: []string{"gone"}, maxRuns: 1}}
	cellWith := func(change func(*matrixCell)) *matrixCell {
		c := &matrixCell{direction: "up", failingSide: "both", moment: "head", fault: "close", class: "unsafe", runs: 1, maxConnections: 1}
		change(c)
		return c
	}
	if err := checkCell(cellWith(func(*matrixCell) {}), "gone", rows); err != nil {
		t.Error(err)
	}
	for name, row := range map[string]struct {
		c       *matrixCell
		outcome string
	}{
		"another outcome":      {cellWith(func(*matrixCell) {}), "served"},
		"two runs":             {cellWith(func(c *matrixCell) { c.runs = 2 }), "gone"},
		"two attempts at once": {cellWith(func(c *matrixCell) { c.maxConnections = 2 }), "gone"},
		"no row":               {cellWith(func(c *matrixCell) { c.failingSide = "node" }), "gone"},
		"a wrong response":     {cellWith(func(*matrixCell) {}), "wrong"},
	} {
		if checkCell(row.c, row.outcome, rows) == nil {
			t.Errorf("%s is not detected", name)
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
		if got := classifyResponse(bufio.NewReader(strings.NewReader(text)), []byte("done"), nil); got != want {
			t.Errorf("the response %q is classified as %q, want %q", text, got, want)
		}
	}
}
